import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { RequestListener, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { holdReading, paceReading, PORTION_BYTES, releaseReading } from '../../src/caller/paced-reading.js'
import { createRequestMemory } from '../../src/caller/request-memory.js'
import type { RequestMemory } from '../../src/caller/request-memory.js'
import { createSystemClock } from '../../src/clock.js'
import { closeServer } from '../../src/protocols/listen.js'
import { waitUntil } from '../wait-until.js'

const clock = createSystemClock()

const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'

const ONE_BYTE_CHUNK = '1\r\nx\r\n'

/** More than a turn of the event loop reads of all connections. */
const MANY_CHUNKS = ONE_BYTE_CHUNK.repeat(50_000)

describe('the reading of callers\' connections', () => {
  const cleanups: (() => unknown)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0).reverse()) await close() })

  async function serve (handle: RequestListener, memory: RequestMemory = createRequestMemory(32_000_000, clock)): Promise<Server> {
    const server = createServer(handle)
    paceReading(server, memory)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    cleanups.push(() => closeServer(server))
    return server
  }

  function open (server: Server): Socket {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    cleanups.push(() => socket.destroy())
    return socket
  }

  const pieces: RequestListener = (request, response) => {
    request.resume()
    request.on('end', () => response.end('whole'))
  }

  // Guards against a turn of the event loop in which all that callers have sent is parsed.
  it('parses a bounded number of pieces in each turn of the event loop', async () => {
    let inTurn = 0
    let mostInTurn = 0
    let all = 0
    const server = await serve((request) => request.on('data', () => {
      if (inTurn === 0) setImmediate(() => { inTurn = 0 })
      inTurn += 1
      all += 1
      mostInTurn = Math.max(mostInTurn, inTurn)
    }))
    for (let index = 0; index < 16; index += 1) open(server).write(HEAD + MANY_CHUNKS)
    await waitUntil(() => all === 16 * 50_000, { clock, what: 'all pieces' })
    // 32 KiB that come, 16 and 8 KiB of the queues, with a portion more of each.
    const mostBytes = 32_768 + 16_384 + 8_192 + 3 * PORTION_BYTES
    assert.ok(mostInTurn <= mostBytes / ONE_BYTE_CHUNK.length, `${mostInTurn} pieces in one turn`)
  })

  // Guards against slowing ordinary requests down.
  it('reads a request of a usual size in the turn in which it comes', async () => {
    let isNextTurn = false
    let readInTurn: boolean | undefined
    const server = await serve((request) => {
      setImmediate(() => { isNextTurn = true })
      request.resume()
      request.on('end', () => { readInTurn = !isNextTurn })
    })
    open(server).write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6000\r\n\r\n${'x'.repeat(6_000)}`)
    await waitUntil(() => readInTurn !== undefined, { clock, what: 'the whole request' })
    assert.equal(readInTurn, true)
  })

  // Guards against a wait for all that others have sent.
  it('serves an ordinary request before the rest of large ones', async () => {
    const order: string[] = []
    const server = await serve((request, response) => {
      request.resume()
      request.on('end', () => {
        order.push(request.url!)
        response.end()
      })
    })
    for (let index = 0; index < 4; index += 1) open(server).write(HEAD.replace('/', '/large') + MANY_CHUNKS + '0\r\n\r\n')
    await waitUntil(() => server.listening, { clock, what: 'the server' })
    open(server).write('GET /ordinary HTTP/1.1\r\nhost: a\r\n\r\n')
    await waitUntil(() => order.length === 5, { clock, what: 'all requests' })
    assert.equal(order[0], '/ordinary')
  })

  // Guards against node:http, which resumes a connection at the end of each message.
  it('parses no more than a portion of a connection that is held, until it is released', async () => {
    const waiting: ServerResponse[] = []
    let connection: Socket | undefined
    const server = await serve((request, response) => {
      connection = request.socket
      holdReading(request.socket)
      waiting.push(response)
    })
    open(server).write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(1_000))
    await waitUntil(() => waiting.length > 0, { clock, what: 'the first request' })
    await clock.sleep(50)
    const first = waiting.length
    assert.ok(first <= PORTION_BYTES / 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'.length, `${first} requests`)
    releaseReading(connection!)
    await waitUntil(() => waiting.length > first, { clock, what: 'further requests' })
  })

  // Guards against bytes that are neither parsed nor counted.
  it('counts what is not parsed, and closes a connection for which there is no room', async () => {
    const memory = createRequestMemory(20_000, clock)
    let held: Socket | undefined
    const server = await serve((request) => {
      held = request.socket
      holdReading(request.socket)
    }, memory)
    const [first, second] = [open(server), open(server)]
    let isClosed = false
    second.on('close', () => { isClosed = true })
    second.resume()
    first.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(2_000))
    await waitUntil(() => memory.bytes() > PORTION_BYTES, { clock, what: 'unread bytes' })
    const ofFirst = held!
    second.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(2_000))
    await waitUntil(() => isClosed, { clock, what: 'the end of the second' })
    ofFirst.destroy()
    await waitUntil(() => memory.bytes() === 0, { clock, what: 'the memory given back' })
  })

  // Guards against a caller that has left and isn't noticed, and one whose last bytes are lost.
  it('reads to the end of a connection', async () => {
    let left = 0
    const server = await serve((request, response) => {
      response.on('close', () => { left += 1 })
      pieces(request, response)
    })
    const whole = open(server)
    let answer = ''
    whole.on('data', (bytes) => { answer += String(bytes) })
    whole.end(HEAD + MANY_CHUNKS + '0\r\n\r\n')
    await waitUntil(() => answer.endsWith('whole\r\n0\r\n\r\n') || answer.endsWith('whole'), { clock, what: 'the answer' })
    open(server).end(HEAD + MANY_CHUNKS)
    await waitUntil(() => left === 2, { clock, what: 'the end of the broken request' })
  })

  // Guards against a refusal that is taken back by what its caller still sends.
  it('drops what comes after the answer that ends a connection', async () => {
    let malformed = 0
    const server = await serve(pieces)
    server.on('clientError', (_error, socket) => {
      malformed += 1
      socket.write('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
      socket.end()
    })
    const caller = open(server)
    let answer = ''
    caller.on('data', (bytes) => { answer += String(bytes) })
    caller.write('no request\r\n\r\n'.repeat(2_000))
    await waitUntil(() => answer.startsWith('HTTP/1.1 400'), { clock, what: 'the refusal' })
    assert.equal(malformed, 1)
  })
})
