/** Connections to upstreams, directly or through other nodes, over real sockets. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { serveTunnels } from '../../src/gateway/tunnels.js'
import { createUpstreamConnector } from '../../src/gateway/upstream-connector.js'
import type { UpstreamConnector } from '../../src/gateway/upstream-connector.js'
import { createUpstreamPaths, MAX_ASKED_RELAYS } from '../../src/paths/index.js'
import type { RelayNode } from '../../src/paths/index.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import { listenOnFreePort } from '../listening.js'
import { upstreamRecord } from '../placement/records.js'

const CONNECTIONS = 20
const NODES = 8
const clock = createSystemClock()

/** A node without a direct path, other nodes that may have one, and the number of times that they were asked. */
interface World {
  readonly connector: UpstreamConnector
  readonly upstream: UpstreamRecord
  asked (): number
}

describe('connections to an upstream without a direct path', () => {
  const cleanups: (() => void)[] = []
  afterEach(() => { for (const close of cleanups.splice(0)) close() })

  async function unusedAddress (): Promise<string> {
    const server = createTcpServer()
    const address = await listenOnFreePort(server)
    server.close()
    await once(server, 'close')
    return address
  }

  async function listeningAddress (): Promise<string> {
    const sockets = new Set<Socket>()
    const server = createTcpServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
    })
    cleanups.push(() => {
      for (const socket of sockets) socket.destroy()
      server.close()
    })
    return listenOnFreePort(server)
  }

  /** @param reached address at which the other nodes reach the upstream */
  async function createWorld (reached: string): Promise<World> {
    const upstream = upstreamRecord('u-1', { address: await unusedAddress() })
    let asked = 0
    const nodes = await Promise.all(Array.from({ length: NODES }, async (_, index): Promise<RelayNode> => {
      const server = createServer()
      const tunnels = serveTunnels(server, { clock, find: () => { asked += 1; return { ...upstream, address: reached } } })
      cleanups.push(() => {
        tunnels.close()
        server.close()
      })
      return { name: `node-${index}`, failureDomain: 'a', peer: await listenOnFreePort(server) }
    }))
    const connector = createUpstreamConnector({ clock, random: createRandom(1), paths: createUpstreamPaths(), relayNodes: () => nodes, failureDomain: 'a' })
    return { connector, upstream, asked: () => asked }
  }

  async function connectOften ({ connector, upstream }: World): Promise<readonly (string | undefined)[]> {
    const results = await Promise.allSettled(Array.from({ length: CONNECTIONS }, () => connector.connect(upstream)))
    return results.map((result) => {
      if (result.status === 'rejected') return undefined
      cleanups.push(() => result.value.stream.destroy())
      return result.value.relay
    })
  }

  // Guards against load that grows with each crash: all requests at an upstream that has ended ask all nodes for a path to it.
  it('ask other nodes once while none of them has a path either', async () => {
    const world = await createWorld(await unusedAddress())
    assert.deepEqual(await connectOften(world), Array(CONNECTIONS).fill(undefined))
    assert.ok(world.asked() <= MAX_ASKED_RELAYS, `${world.asked()} nodes were asked`)
    await connectOften(world)
    assert.ok(world.asked() <= MAX_ASKED_RELAYS, `${world.asked()} nodes were asked`)
  })

  it('are all relayed where another node has a path', async () => {
    const world = await createWorld(await listeningAddress())
    const relays = await connectOften(world)
    assert.ok(relays.every((relay) => relay !== undefined), 'a connection failed')
  })
})
