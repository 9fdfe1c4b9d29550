import assert from 'node:assert/strict'
import { createServer, get } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { createRequestFormat } from '../../platform/format.js'
import { createSystemClock } from '../../src/clock.js'
import { createAnswerPace } from '../../src/gateway/answer-pace.js'
import { createUpstreamConnections } from '../../src/gateway/exchange.js'
import { createHeldAnswers } from '../../src/gateway/held-answers.js'
import { createRandom } from '../../src/random.js'
import { relayEvents } from '../../src/gateway/stream-relay.js'
import type { RelayEnd, StreamProgress } from '../../src/gateway/stream-relay.js'
import { closeServer } from '../../src/protocols/listen.js'
import { upstreamRecord } from '../placement/records.js'

const clock = createSystemClock()
const EVENT = `data: ${'x'.repeat(65_536)}\n\n`
const EVENTS = 1_000
const HELD_BYTES = 4_194_304

interface Relay {
  readonly port: number
  readonly progress: StreamProgress
  readonly end: Promise<RelayEnd>
  /** Events that the upstream has handed to its connection. */
  sent (): number
  /** Whether the upstream's connection has been closed before its answer was complete. */
  isCancelled (): boolean
}

describe('the relay of a stream', () => {
  const cleanups: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  async function serve (handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<number> {
    const server: Server = createServer(handle)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    cleanups.unshift(() => closeServer(server))
    return (server.address() as AddressInfo).port
  }

  /** A server that relays the events of an upstream, which sends them as fast as its connection takes them. */
  async function startRelay (): Promise<Relay> {
    let sent = 0
    let isCancelled = false
    const upstreamPort = await serve((_request, response) => {
      response.writeHead(200, { 'x-hornbeamgap-request-id': 'r1' })
      response.on('close', () => { isCancelled = !response.writableFinished })
      const send = (): void => {
        while (sent < EVENTS) {
          sent += 1
          if (!response.write(EVENT)) return
        }
        response.end()
      }
      response.on('drain', send)
      send()
    })
    const connections = createUpstreamConnections({ format: createRequestFormat(), clock, random: createRandom(1), relayNodes: () => [], failureDomain: 'a' })
    const progress: StreamProgress = { lastId: undefined, events: 0, version: undefined }
    let finish = (_end: RelayEnd): void => {}
    const end = new Promise<RelayEnd>((resolve) => { finish = resolve })
    const port = await serve((_request, response) => {
      const controller = new AbortController()
      response.on('close', () => { if (!response.writableFinished) controller.abort('caller-gone') })
      connections.start(upstreamRecord('u', { address: `127.0.0.1:${upstreamPort}` }), { id: 'r1', method: 'GET', path: '/', headers: [], body: undefined }, controller.signal).then(async (start) => {
        assert.equal(start.kind, 'answered')
        if (start.kind !== 'answered') return
        const relayed = await relayEvents(start.answer, response, progress, () => {}, { held: createHeldAnswers(HELD_BYTES).open(), pace: createAnswerPace(clock)(), signal: controller.signal })
        response.end()
        finish(relayed)
      }).catch((error) => finish({ kind: 'broken', reason: String(error), by: 'answer' }))
    })
    cleanups.unshift(() => connections.close())
    return { port, progress, end, sent: () => sent, isCancelled: () => isCancelled }
  }

  function connectTo (port: number): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => { get({ host: '127.0.0.1', port, agent: false }, resolve).on('error', reject) })
  }

  /** Waits until the upstream has sent no event for some time. */
  async function untilStalled (relay: Relay): Promise<void> {
    for (let before = -1; before !== relay.sent();) {
      before = relay.sent()
      await clock.sleep(200)
    }
  }

  // Guards against a slow caller that fills the memory of the node with the events of a fast upstream.
  it('pauses the upstream while the caller does not read, and then passes on every event whole', async () => {
    const relay = await startRelay()
    const response = await connectTo(relay.port)
    await untilStalled(relay)
    assert.ok(relay.sent() < EVENTS, `the upstream has sent ${relay.sent()} events to a caller that reads none`)
    let received = 0
    for await (const chunk of response) received += (chunk as Buffer).length
    assert.equal(received, EVENT.length * EVENTS)
    assert.deepEqual(await relay.end, { kind: 'whole' })
    assert.equal(relay.progress.events, EVENTS)
  })

  // Guards against an engine that generates for nobody: the caller disconnects while it is slow and its events wait.
  it('closes the connection to the upstream when a slow caller disconnects', async () => {
    const relay = await startRelay()
    const response = await connectTo(relay.port)
    await untilStalled(relay)
    response.destroy()
    assert.equal((await relay.end).kind, 'broken')
    while (!relay.isCancelled()) await clock.sleep(10)
  })
})
