import assert from 'node:assert/strict'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { callerConnections, createCallerServer, limitCallers } from '../../src/gateway/listener.js'

describe('the callers\' listener', () => {
  const handled: string[] = []
  const malformed: string[] = []
  const server = createCallerServer((request, response) => {
    handled.push(request.url ?? '')
    request.resume()
    if (request.url !== '/held') response.end('answered')
  }, (code) => malformed.push(code))

  before(async () => {
    limitCallers(server, { headerBytes: 1_000, bodyBytes: 1_000, headerTime: 300, idleTime: 15_000 })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  })

  after(async () => {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  /** Sends bytes and reads until the server closes the connection. */
  function exchange (...pieces: string[]): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      let received = ''
      socket.on('data', (piece) => { received += String(piece) })
      socket.on('error', () => {})
      socket.on('close', () => resolve(received))
      for (const piece of pieces) socket.write(piece)
    })
  }

  // One caller's request hides a second one: the front takes the body's end from one header, a server behind
  // it from the other, and the rest is run as a request of nobody.
  it('refuses ambiguous framing and hands nothing of it on', async () => {
    const before = handled.length
    const both = await exchange('POST /both HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n')
    assert.match(both, /^HTTP\/1\.1 400 /)
    const twice = await exchange('POST /twice HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde')
    assert.match(twice, /^HTTP\/1\.1 400 /)
    const odd = await exchange('POST /odd HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n')
    assert.match(odd, /^HTTP\/1\.1 400 /)
    assert.equal(handled.slice(before).includes('/hidden'), false)
    assert.ok(malformed.length >= 3)
  })

  it('closes a connection whose header does not come in time, with a clear status', async () => {
    assert.match(await exchange('GET /slow HTTP/1.1\r\nHost: a\r\n'), /^HTTP\/1\.1 408 /)
  })

  // The answer to a caller's first request is still being made when garbage follows on the connection; an
  // error that is written at once would be read as the first request's answer.
  it('writes no error where another answer is due', async () => {
    assert.equal(await exchange('GET /held HTTP/1.1\r\nHost: a\r\n\r\n', 'no request at all\r\n\r\n'), '')
  })

  // Every request is refused though upstreams are idle: callers hold all descriptors of the process, and no
  // connection to an upstream can be opened.
  it('leave descriptors for upstreams', () => {
    assert.equal(callerConnections(4_100), 2_660)
    assert.equal(callerConnections(100), 1, 'a node with few descriptors still listens')
  })
})
