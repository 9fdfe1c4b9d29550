import assert from 'node:assert/strict'
import { createSystemClock } from '../../src/clock.js'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import type { UpstreamSignals } from '../../src/backpressure/index.js'
import { createRequestFormat } from '../../platform/format.js'
import { createUpstreamConnections } from '../../src/gateway/exchange.js'
import type { ExchangeStart } from '../../src/gateway/exchange.js'
import { upstreamRecord } from '../placement/records.js'

describe('an exchange with an upstream', () => {
  const closing: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of closing.splice(0)) await close() })

  // A caller gets the first half of a booking's confirmation as a complete answer: the upstream sends no
  // length, so that the end of the connection ends the answer, and then its process dies, which ends the
  // connection as well, by a reset or in the same way as one that has said everything.
  it('takes no answer without a length, whether its connection ends or is reset', async () => {
    const head = 'HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nConnection: close\r\n\r\nhalf'
    const reset = await exchangeWith((socket) => {
      socket.write(head)
      setImmediate(() => setImmediate(() => socket.resetAndDestroy()))
    })
    assert.equal(reset.kind, 'broken')
    const ended = await exchangeWith((socket) => { socket.end(head) })
    assert.equal(ended.kind, 'broken')
  })

  it('passes an answer on that ends where its length says, and none that ends before', async () => {
    const whole = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwhole') })
    assert.equal(await bodyOf(whole), 'whole')
    const torn = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwho') })
    await assert.rejects(bodyOf(torn))
    const chunks = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n') })
    await assert.rejects(bodyOf(chunks))
  })

  // Two vans arrive: the upstream answers a request twice, the second copy is read as the answer to the
  // next booking on the connection, which is told as not run and sent again.
  it('takes an answer that names another request for none, whatever it claims', async () => {
    const result = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Hornbeamgap-Request-Id: other\r\nX-Hornbeamgap-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    })
    assert.equal(result.kind, 'broken')
  })

  // An upstream that has crashed is taken for one that leaves: its address is another's by now, which does.
  it('hears what an answer says of its upstream, and not what another one says at its address', async () => {
    const heard: UpstreamSignals[] = []
    const leaving = { leaving: true, rateLimit: 2, retryAfter: undefined }
    const head = 'X-Hornbeamgap-Request-Id: r1\r\nServer-Leaving: 1\r\nServer-Limit: 2\r\nContent-Length: 0\r\n\r\n'
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 200 OK\r\n${head}`) }, heard)
    assert.deepEqual(heard, [leaving])
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 421 Misdirected Request\r\n${head}`) }, heard)
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 200 OK\r\nX-Hornbeamgap-Instance-Id: other\r\n${head}`) }, heard)
    assert.deepEqual(heard, [leaving])
  })

  it('tells a request as not run where no connection came about or the upstream says so', async () => {
    const refused = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Hornbeamgap-Request-Id: r1\r\nX-Hornbeamgap-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    })
    assert.deepEqual(refused, { kind: 'not-run', reason: 'full' })
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    await new Promise((resolve) => server.close(resolve))
    assert.deepEqual(await start(port), { kind: 'not-run', reason: 'unreachable' })
  })

  it('says of a connection that is closed without an answer that the request may have run', async () => {
    const result = await exchangeWith((socket) => { socket.end() })
    assert.equal(result.kind, 'broken')
  })

  /** Sends one request to a server that answers its first bytes as told. */
  async function exchangeWith (answer: (socket: Socket) => void, heard: UpstreamSignals[] = []): Promise<ExchangeStart> {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => answer(socket))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    closing.push(() => new Promise((resolve) => server.close(resolve)))
    return start((server.address() as AddressInfo).port, heard)
  }

  function start (port: number, heard: UpstreamSignals[] = []): Promise<ExchangeStart> {
    const connections = createUpstreamConnections(createRequestFormat(), createSystemClock(), () => {}, (_upstream, signals) => { heard.push(signals) })
    closing.unshift(() => connections.close())
    const upstream = upstreamRecord('i-1', { address: `127.0.0.1:${port}`, slots: 1 })
    return connections.start(upstream, { id: 'r1', method: 'GET', path: '/', headers: ['x-hornbeamgap-request-id', 'r1'], body: undefined }, new AbortController().signal)
  }

  async function bodyOf (started: ExchangeStart): Promise<string> {
    assert.equal(started.kind, 'answered')
    return started.kind === 'answered' ? started.answer.body.text() : ''
  }
})
