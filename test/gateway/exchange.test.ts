import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import type { UpstreamSignals } from '../../src/backpressure/index.js'
import { createRequestFormat } from '../../platform/format.js'
import { createSystemClock } from '../../src/clock.js'
import { createUpstreamConnections } from '../../src/gateway/exchange.js'
import type { ExchangeStart } from '../../src/gateway/exchange.js'
import { createRandom } from '../../src/random.js'
import { upstreamRecord } from '../placement/records.js'
import { readText } from './read-body.js'

const clock = createSystemClock()

describe('an exchange with an upstream', () => {
  const cleanups: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  const unframedHead = 'HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nConnection: close\r\n\r\nhalf'

  // Guards against status 500 for a caller while another upstream serves: opening a connection throws, and no outcome tells that nothing ran.
  it('has not run if opening a connection throws', async () => {
    const connections = createUpstreamConnections({ format: createRequestFormat(), clock, random: createRandom(1), relayNodes: () => [], failureDomain: 'a' })
    cleanups.push(() => connections.close())
    for (const address of ['127.0.0.1:65536', 'no address']) {
      const started = await connections.start(upstreamRecord('u', { address }), { id: 'r1', method: 'POST', path: '/', headers: [], body: undefined }, new AbortController().signal)
      assert.deepEqual(started, { kind: 'not-run', reason: 'unreachable' })
    }
  })

  it('accepts an answer without a length, which ends with its connection', async () => {
    assert.equal(await bodyOf(await exchangeWith((socket) => { socket.end(unframedHead) })), 'half')
  })

  // Guards against a truncated answer that looks complete: the upstream sends no length, and its connection is reset.
  it('fails if the connection is reset within an answer without a length', async () => {
    const reset = await exchangeWith((socket) => {
      socket.write(unframedHead)
      setImmediate(() => setImmediate(() => socket.resetAndDestroy()))
    })
    await assert.rejects(bodyOf(reset), /was reset/)
  })

  // Guards against half an answer that looks whole: libuv reports a reset that comes together with bytes as the end of the connection.
  it('fails if the connection is reset together with the bytes of an answer without a length', async () => {
    const started = await exchangeWith((socket) => {
      socket.write(unframedHead)
      socket.resetAndDestroy()
    })
    await assert.rejects(bodyOf(started))
  })

  // Guards against a whole answer that is thrown away, since the reset comes together with its last bytes.
  it('accepts an answer of the announced length whose connection is reset together with its bytes', async () => {
    const started = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwhole')
      socket.resetAndDestroy()
    })
    assert.equal(await bodyOf(started), 'whole')
  })

  // Guards against a truncated answer that looks complete: the upstream's process dies, which closes the connection as after a complete answer.
  it('fails if the upstream ends with an answer without a length', async () => {
    const ended = await exchangeWith((socket, endUpstream) => {
      endUpstream()
      socket.end(unframedHead)
    })
    await assert.rejects(bodyOf(ended), /the upstream ended/)
  })

  // Guards against a process that ends with all its requests: an answer without a length ends while its caller has yet to read what came before.
  it('is read to its end although the connection ends while the reader is busy', async () => {
    for (const framing of ['Connection: close\r\n\r\n', 'Transfer-Encoding: chunked\r\n\r\n', 'Content-Length: 30\r\n\r\n']) {
      const part = (text: string): string => framing.startsWith('Transfer') ? `a\r\n${text}\r\n` : text
      let sendRest = (): void => {}
      const started = await exchangeWith((socket) => {
        socket.write(`HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\n${framing}${part('1234567890')}`)
        sendRest = () => {
          socket.write(part('abcdefghij'))
          socket.end(`${part('ABCDEFGHIJ')}${framing.startsWith('Transfer') ? '0\r\n\r\n' : ''}`)
        }
      })
      if (started.kind !== 'answered') assert.fail(started.kind)
      let text = ''
      await started.answer.body.read(async (chunk) => {
        if (text === '') sendRest()
        text += String(chunk)
        await clock.sleep(50)
      })
      assert.equal(text, '1234567890abcdefghijABCDEFGHIJ', framing)
    }
  })

  // Guards against half an answer that looks whole: its transfer coding ends with `chunked` and is another one for the parser, for which the end
  // or the reset of the connection then ends the answer.
  it('rejects an answer with any transfer coding but chunks', async () => {
    for (const coding of ['gzip', 'x-chunked', 'gzip, chunked', 'chunked, chunked', 'chunked\t', 'chunked;chunked', '"chunked', 'gzip\r\nTransfer-Encoding: chunked']) {
      const head = unframedHead.replace('Connection: close', `Transfer-Encoding: ${coding}`)
      for (const end of [(socket: Socket) => socket.end(), (socket: Socket) => socket.resetAndDestroy()]) {
        const { kind } = await exchangeWith((socket) => { socket.write(head, () => end(socket)) })
        assert.equal(kind, 'broken', coding)
      }
    }
  })

  it('accepts an answer of the announced length, and fails if it ends early', async () => {
    const whole = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwhole') })
    assert.equal(await bodyOf(whole), 'whole')
    const truncated = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 5\r\n\r\nwho') })
    await assert.rejects(bodyOf(truncated))
    const chunks = await exchangeWith((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n') })
    await assert.rejects(bodyOf(chunks))
  })

  // Guards against running a booking twice: the upstream answers one request twice, the second copy is read as the
  // answer to the next request on the connection, and that request is treated as not run and is sent again.
  it('treats an answer with the id of another request as broken, whatever its status', async () => {
    const result = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Hornbeamgap-Request-Id: other\r\nX-Hornbeamgap-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    })
    assert.deepEqual(result, { kind: 'broken', reason: 'the answer belongs to another request', by: 'answer' })
  })

  // Guards against taking a crashed upstream for a leaving one: its address now belongs to another upstream that is
  // leaving.
  it('reports the signals of its upstream, but not those of another upstream at the same address', async () => {
    const heard: UpstreamSignals[] = []
    const leaving = { leaving: true, rateLimit: 2, maxRefusals: undefined, retryAfter: undefined }
    const head = 'X-Hornbeamgap-Request-Id: r1\r\nServer-Leaving: 1\r\nServer-Limit: 2\r\nContent-Length: 0\r\n\r\n'
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 200 OK\r\n${head}`) }, heard)
    assert.deepEqual(heard, [leaving])
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 421 Misdirected Request\r\n${head}`) }, heard)
    await exchangeWith((socket) => { socket.end(`HTTP/1.1 200 OK\r\nX-Hornbeamgap-Instance-Id: other\r\n${head}`) }, heard)
    assert.deepEqual(heard, [leaving])
  })

  it('reports a request as not run if no connection was opened or the upstream says so', async () => {
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

  it('reports that a request may have run if the connection is closed without an answer', async () => {
    const result = await exchangeWith((socket) => { socket.end() })
    assert.equal(result.kind, 'broken')
  })

  // Guards against a final answer that comes seconds after the time limit: all connections to the upstream are busy, and a
  // request that waits for one is only aborted once it has one.
  it('ends at once if it is aborted while it waits for a connection, and is not sent later', async () => {
    const received: string[] = []
    let release = (): void => {}
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.on('data', (data) => {
        received.push(data.toString())
        release = () => socket.write('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 0\r\n\r\n')
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    cleanups.push(() => new Promise((resolve) => server.close(resolve)))
    const connections = createUpstreamConnections({ format: createRequestFormat(), clock, random: createRandom(1), relayNodes: () => [], failureDomain: 'a' })
    cleanups.unshift(() => connections.close())
    const upstream = upstreamRecord('i-1', { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, slots: 1 })
    connections.setConnectionLimit(upstream.service, 1)
    const send = (id: string, signal: AbortSignal): Promise<ExchangeStart> => connections.start(upstream, { id, method: 'GET', path: `/${id}`, headers: ['x-hornbeamgap-request-id', id], body: undefined }, signal)
    const first = send('r1', new AbortController().signal)
    const controller = new AbortController()
    const second = send('r2', controller.signal)
    while (received.length === 0) await new Promise((resolve) => setImmediate(resolve))
    controller.abort()
    assert.equal((await second).kind, 'unsent')
    release()
    assert.equal((await first).kind, 'answered')
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    assert.deepEqual(received.map((text) => text.slice(0, 7)), ['GET /r1'])
  })

  // Guards against a request that arrives seconds after it was given up: its path was cut, and the kernel goes on sending what a closed connection holds.
  for (const { name, answer } of [
    { name: 'unanswered', answer: () => {} },
    { name: 'being answered', answer: (socket: Socket) => { socket.write('HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\nContent-Length: 100\r\n\r\nhalf') } },
    { name: 'being answered without a length', answer: (socket: Socket) => { socket.write(unframedHead) } }
  ]) {
    it(`resets the connection of a request that is given up ${name}`, async () => {
      const controller = new AbortController()
      const end = new Promise<string>((resolve) => {
        const started = exchangeWith((socket) => {
          socket.on('error', (error: NodeJS.ErrnoException) => resolve(String(error.code)))
          socket.once('end', () => resolve('closed'))
          answer(socket)
          if (name === 'unanswered') controller.abort(new Error('given up'))
        }, [], controller.signal)
        started.then((result) => { if (result.kind === 'answered') controller.abort(new Error('given up')) }, () => {})
      })
      assert.equal(await end, 'ECONNRESET')
    })
  }

  /** Sends one request to a server that calls `answer` when the first bytes arrive; `endUpstream` makes it accept no further connection. */
  async function exchangeWith (answer: (socket: Socket, endUpstream: () => void) => void, heard: UpstreamSignals[] = [], signal = new AbortController().signal): Promise<ExchangeStart> {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => answer(socket, () => server.close()))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    cleanups.push(() => new Promise((resolve) => server.close(resolve)))
    return start((server.address() as AddressInfo).port, heard, signal)
  }

  function start (port: number, heard: UpstreamSignals[] = [], signal = new AbortController().signal): Promise<ExchangeStart> {
    const connections = createUpstreamConnections({ format: createRequestFormat(), clock, random: createRandom(1), relayNodes: () => [], failureDomain: 'a', onSignals: (_upstream, signals) => { heard.push(signals) } })
    cleanups.unshift(() => connections.close())
    const upstream = upstreamRecord('i-1', { address: `127.0.0.1:${port}`, slots: 1 })
    return connections.start(upstream, { id: 'r1', method: 'GET', path: '/', headers: ['x-hornbeamgap-request-id', 'r1'], body: undefined }, signal)
  }

  async function bodyOf (started: ExchangeStart): Promise<string> {
    assert.equal(started.kind, 'answered')
    return started.kind === 'answered' ? readText(started.answer.body) : ''
  }
})
