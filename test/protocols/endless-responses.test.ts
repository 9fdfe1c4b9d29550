/** Responses without end, to the calls that nodes make themselves. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it, mock } from 'node:test'
import { createEngineCalls } from '../../platform/engines.js'
import { createSystemClock } from '../../src/clock.js'
import { addressSchema } from '../../src/identifiers.js'
import type { Address } from '../../src/identifiers.js'
import { createEngine } from '../../src/protocols/engine.js'
import { createConnections, createFreshConnections, readBody, send } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { callPlainService } from '../../src/protocols/plain-service.js'
import { readEvents } from '../../src/protocols/server-sent-events.js'
import { serveEndlessUpstream } from '../../stand-ins/machines/endless-upstream.js'
import type { EndlessAnswer, EndlessUpstream } from '../../stand-ins/machines/endless-upstream.js'
import { upstreamRecord } from '../placement/records.js'

const clock = createSystemClock()
const never = new AbortController().signal
const MB = 1_000_000

/** Bytes that a connection holds. */
const MAX_BUFFERED = 12 * MB

const HEAD = 'HTTP/1.1 200 OK\r\n'
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\nX-Stream-Handle: h\r\n\r\n`

const NO_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'line ends': { begin: () => '', repeated: '\r\n' },
  'informational answers': { begin: () => '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'the extension of a chunk': { begin: () => `${HEAD}Transfer-Encoding: chunked\r\n\r\n5;`, repeated: 'x' }
}

describe('a response without end', () => {
  const cleanups: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  async function serve (answer: EndlessAnswer): Promise<{ readonly upstream: EndlessUpstream, readonly address: Address }> {
    const upstream = await serveEndlessUpstream('u-1', answer)
    cleanups.push(upstream.close)
    return { upstream, address: addressSchema.parse(upstream.address) }
  }

  function connectionsOf (create: (connections: number) => Connections): Connections {
    const connections = create(4)
    cleanups.unshift(() => connections.destroy())
    return connections
  }

  /** Resolves when nothing is sent any more. */
  async function untilClosed ({ open, sent }: EndlessUpstream): Promise<number> {
    while (open() > 0) await clock.sleep(5)
    return sent.reduce((sum, bytes) => sum + bytes, 0)
  }

  for (const [name, answer] of Object.entries(NO_ANSWERS)) {
    for (const create of [createConnections, createFreshConnections]) {
      // Guards against a call that reads, until its timeout, what can't become an answer.
      it(`that consists of ${name} ends its call at once (${create.name})`, async () => {
        const { upstream, address } = await serve(answer)
        const call = send(connectionsOf(create), { address, method: 'GET', path: '/', idleTimeout: 10_000 }).then((response) => readBody(response, address))
        await assert.rejects(call, /make up no answer/)
        assert.ok(await untilClosed(upstream) <= MAX_BUFFERED)
      })
    }
  }

  // Guards against a node that is killed for its memory by the report of one engine.
  it('is read up to a bound by calls of engines and plain services', async () => {
    const { upstream, address } = await serve({ begin: () => `${HEAD}\r\n[`, repeated: '1,' })
    const connections = connectionsOf(createConnections)
    await assert.rejects(createEngine(connections, address).load(), /larger than/)
    await assert.rejects(callPlainService(connections, address, { method: 'GET', path: '/', headers: [], body: '' }, { signal: never }), /larger than/)
    await assert.rejects(createEngineCalls(connections).move(upstreamRecord('u', { address }), 'r1', upstreamRecord('v', {}), never), /larger than/)
    const sent = await untilClosed(upstream)
    assert.ok(sent <= 2 * 16_777_216 + 3 * MAX_BUFFERED, `${sent / MB} MB`)
  })

  for (const [name, repeated] of Object.entries({ 'one event': 'x', comments: ': waiting\n\n', 'empty lines': '\n' })) {
    // Guards against a stream of an engine that takes the processor time of all other requests and brings nothing.
    it(`that consists of ${name} ends the stream of an engine`, async () => {
      const { upstream, address } = await serve({ begin: () => `${STREAM_HEAD}${name === 'one event' ? 'data: ' : ''}`, repeated })
      const stream = await createEngine(connectionsOf(createConnections), address).start({ model: 'm', body: { messages: [] }, priority: 1, signal: never } as never)
      await assert.rejects(async () => { for await (const event of stream.events) assert.fail(String(event)) }, /too long/)
      assert.ok(await untilClosed(upstream) <= MAX_BUFFERED)
    })
  }

  // Guards against a process that ends with all its requests: a response without a length ends while its reader is busy.
  it('does not matter to a reader that is busy when another response ends with its connection', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(`${HEAD}\r\n${'x'.repeat(200_000)}`)
        setTimeout(() => socket.end('x'.repeat(100_000)), 20)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    cleanups.push(() => new Promise((resolve) => server.close(resolve)))
    const address = addressSchema.parse(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    const { body } = await send(connectionsOf(createConnections), { address, method: 'GET', path: '/', idleTimeout: 10_000 })
    let size = 0
    for await (const chunk of body) {
      size += (chunk as Buffer).length
      await clock.sleep(30)
    }
    assert.equal(size, 300_000)
  })
})

describe('a server-sent event', () => {
  // Guards against an event that takes the processor time of all other requests: it comes in many small pieces.
  it('is searched once, however many pieces it comes in', async () => {
    const pieces = 2_000
    async function * chunks (): AsyncIterable<Uint8Array> {
      yield Buffer.from('data: ')
      for (let index = 0; index < pieces; index += 1) yield Buffer.from('x'.repeat(100))
      yield Buffer.from('\r')
      yield Buffer.from('\n\r\n')
    }
    const split = mock.method(String.prototype, 'split')
    try {
      const events = []
      for await (const event of readEvents(chunks())) events.push(event.data.length)
      assert.deepEqual(events, [pieces * 100])
      assert.ok(split.mock.callCount() < 10, `split ${split.mock.callCount()} times`)
    } finally {
      split.mock.restore()
    }
  })
})
