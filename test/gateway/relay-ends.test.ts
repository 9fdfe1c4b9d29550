/** Answers on relayed connections whose relaying node ends, over real sockets. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { createRequestFormat } from '../../platform/format.js'
import { createSystemClock } from '../../src/clock.js'
import { createUpstreamConnections } from '../../src/gateway/exchange.js'
import type { ExchangeStart, UpstreamAnswer } from '../../src/gateway/exchange.js'
import { serveTunnels } from '../../src/gateway/tunnels.js'
import type { RelayNode } from '../../src/paths/index.js'
import { createRandom } from '../../src/random.js'
import { listenOnFreePort } from '../listening.js'
import { upstreamRecord } from '../placement/records.js'
import { readText } from './read-body.js'

const HEAD = 'HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: r1\r\n'
const UNFRAMED = `${HEAD}Connection: close\r\n\r\n`
const EVENT = 'id: 1\ndata: one\n\n'

/** A node that relays. */
interface Relay {
  readonly node: RelayNode
  /** Ends its connections as the kernel ends those of a killed process, and accepts no other. */
  kill (): void
}

describe('an answer on a relayed connection', () => {
  const cleanups: (() => unknown)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  async function startRelay (name: string, upstreamAddress: string): Promise<Relay> {
    const server = createServer()
    const tunnels = serveTunnels(server, { clock: createSystemClock(), find: () => upstreamRecord('i-1', { address: upstreamAddress }) })
    const peer = await listenOnFreePort(server)
    function kill (): void {
      server.close()
      tunnels.close()
    }
    cleanups.push(kill)
    return { node: { name, failureDomain: 'a', peer }, kill }
  }

  /** An address at which nothing listens, so that connections to it are relayed. */
  async function lostPath (): Promise<string> {
    const server = createTcpServer()
    const address = await listenOnFreePort(server)
    server.close()
    return address
  }

  /**
   * Sends a request through a relay to an upstream that answers with these bytes. Once the first of them have arrived, the upstream is
   * reached through another relay as well.
   *
   * @returns the answer, the relay that carries it, and the upstream's end of the connection
   */
  async function answerThroughRelay (bytes: string): Promise<{ readonly answer: UpstreamAnswer, readonly relay: Relay, readonly upstream: Socket }> {
    const accepted: Socket[] = []
    const server = createTcpServer((socket) => {
      accepted.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => socket.write(bytes))
    })
    const address = await listenOnFreePort(server)
    cleanups.push(() => {
      for (const socket of accepted) socket.destroy()
      server.close()
    })
    const [relay, other] = await Promise.all(['b', 'c'].map((name) => startRelay(name, address)))
    let relayNodes = [relay!.node]
    const connections = createUpstreamConnections({ format: createRequestFormat(), clock: createSystemClock(), random: createRandom(1), relayNodes: () => relayNodes, failureDomain: 'a' })
    cleanups.unshift(() => connections.close())
    const started: ExchangeStart = await connections.start(upstreamRecord('i-1', { address: await lostPath() }), { id: 'r1', method: 'GET', path: '/', headers: ['x-hornbeamgap-request-id', 'r1'], body: undefined }, new AbortController().signal)
    if (started.kind !== 'answered') throw new Error(`not answered: ${started.kind}`)
    relayNodes = [relay!.node, other!.node]
    return { answer: started.answer, relay: relay!, upstream: accepted[0]! }
  }

  const endings = {
    'between two events': EVENT,
    'within an event': `${EVENT}id: 2\nda`,
    'before the first event': ''
  }

  // Guards against half an answer that looks whole: its relaying node is killed, and the upstream, which is sound, is reached by another way.
  for (const [where, body] of Object.entries(endings)) {
    it(`fails if it has no length and its relaying node is killed ${where}`, async () => {
      const { answer, relay } = await answerThroughRelay(UNFRAMED + body)
      const read = readText(answer.body)
      relay.kill()
      await assert.rejects(read)
    })
  }

  it('is whole if it has no length and the upstream ends it', async () => {
    const { answer, upstream } = await answerThroughRelay(UNFRAMED + EVENT)
    const read = readText(answer.body)
    upstream.end(EVENT)
    assert.equal(await read, EVENT + EVENT)
  })

  it('fails if it has no length and the upstream resets its connection', async () => {
    const { answer, upstream } = await answerThroughRelay(UNFRAMED + EVENT)
    const read = readText(answer.body)
    upstream.resetAndDestroy()
    await assert.rejects(read)
  })

  for (const [framing, bytes] of Object.entries({ length: `${HEAD}Content-Length: 20\r\n\r\nhalf`, chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n` })) {
    it(`fails if it has ${framing} and its relaying node is killed`, async () => {
      const { answer, relay } = await answerThroughRelay(bytes)
      const read = readText(answer.body)
      relay.kill()
      await assert.rejects(read)
    })
  }

  // Guards against the loss of an answer that has come whole: its reader is slow, and its relaying node is killed meanwhile.
  it('is delivered if it had come whole before its relaying node was killed', async () => {
    const body = 'x'.repeat(10_000)
    const { answer, relay } = await answerThroughRelay(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`)
    await createSystemClock().sleep(50)
    relay.kill()
    assert.equal(await readText(answer.body), body)
  })
})
