import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createRequestMemory } from '../../src/caller/request-memory.js'
import { createSystemClock } from '../../src/clock.js'
import { applyCallerLimits, connectionLimits, createCallerServer } from '../../src/gateway/listener.js'

describe('the callers\' listener', () => {
  const handled: string[] = []
  const malformed: string[] = []
  const server = createCallerServer((request, response) => {
    handled.push(request.url ?? '')
    request.resume()
    if (request.url === '/last') response.setHeader('connection', 'close')
    if (request.url === '/slow') setTimeout(() => response.end('answer to /slow'), 30)
    else if (request.url !== '/held') response.end(`answer to ${request.url}`)
  }, createRequestMemory(1_000_000, createSystemClock()), (code) => malformed.push(code))

  before(async () => {
    applyCallerLimits(server, { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 300, idleTimeout: 15_000 })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  })

  after(async () => {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  /** Sends bytes and reads until the server closes the connection. */
  function exchangeBytes (...chunks: string[]): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      let received = ''
      socket.on('data', (piece) => { received += String(piece) })
      socket.on('error', () => {})
      socket.on('close', () => resolve(received))
      for (const piece of chunks) socket.write(piece)
    })
  }

  // Guards against request smuggling: two servers take the end of the body from different headers, and the rest of the
  // body is run as a request that no caller sent.
  it('refuses ambiguous framing and passes no part of it to the handler', async () => {
    const before = handled.length
    const bothLengths = await exchangeBytes('POST /both HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n')
    assert.match(bothLengths, /^HTTP\/1\.1 400 /)
    const twoLengths = await exchangeBytes('POST /twice HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde')
    assert.match(twoLengths, /^HTTP\/1\.1 400 /)
    const unknownCoding = await exchangeBytes('POST /odd HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n')
    assert.match(unknownCoding, /^HTTP\/1\.1 400 /)
    assert.equal(handled.slice(before).includes('/hidden'), false)
    assert.ok(malformed.length >= 3)
  })

  it('answers 408 and closes the connection if the header does not arrive in time', async () => {
    assert.match(await exchangeBytes('GET /slow HTTP/1.1\r\nHost: a\r\n'), /^HTTP\/1\.1 408 /)
  })

  // Guards against a request that is run although its answer can't be sent: the connection ends with the answer before it.
  it('handles pipelined requests one after another, and none behind an answer that ends the connection', async () => {
    const before = handled.length
    const received = await exchangeBytes('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /last HTTP/1.1\r\nHost: a\r\n\r\nGET /behind HTTP/1.1\r\nHost: a\r\n\r\n')
    assert.deepEqual(handled.slice(before), ['/first', '/slow', '/last'])
    assert.deepEqual(received.match(/answer to \/[a-z]+/g), ['answer to /first', 'answer to /slow', 'answer to /last'])
  })

  // Guards against a connection that stands still once so many requests wait that no more are read.
  it('handles all of many pipelined requests', async () => {
    const before = handled.length
    const paths = Array.from({ length: 40 }, (_, index) => `/number-${index}`)
    await exchangeBytes(...paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`), 'GET /last HTTP/1.1\r\nHost: a\r\n\r\n')
    assert.deepEqual(handled.slice(before), [...paths, '/last'])
  })

  // Guards against a misattributed error: malformed bytes follow while the first request of a connection is still being
  // answered, and an error written at once would be read as the answer to that request.
  it('writes no error while another request is being answered', async () => {
    assert.equal(await exchangeBytes('GET /held HTTP/1.1\r\nHost: a\r\n\r\n', 'no request at all\r\n\r\n'), '')
  })

  // Guards against callers that use up all file descriptors: no connection to an upstream can be opened, and every
  // request is refused although upstreams are idle.
  it('leaves file descriptors for upstreams', () => {
    assert.deepEqual(connectionLimits(4_100), { front: 2_660, directory: 380, check: 76 })
    assert.deepEqual(connectionLimits(100), { front: 1, directory: 8, check: 8 }, 'a node with few descriptors still accepts connections')
  })
})
