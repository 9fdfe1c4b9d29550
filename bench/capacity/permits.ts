/** Permits as a role: two exchanges with the owner of a fingerprint for each request, none without requests. */
import { randomBytes } from 'node:crypto'
import { createSystemClock } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import { sha256 } from '../../src/credentials.js'
import { createPermits } from '../../src/entry/permits.js'
import type { Permits } from '../../src/entry/permits.js'
import { classNameSchema, organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import { createSuspicionClient } from '../../src/peer/suspicion-client.js'
import type { Request } from '../../src/request/index.js'
import { PACKET_BYTES } from '../agreement/message-cost.js'
import { SIZES } from '../agreement/measure.js'
import { HOME, listenAsPeer, PEER, PEER_KEY, REQUESTS_PER_SECOND } from './peer-pair.js'
import type { CapacityRole } from './role.js'
import { createCountedConnections, measureCost, OPEN_CONNECTION_PACKET_BYTES } from './sockets.js'
import type { Cost } from './sockets.js'

const REQUESTS = 1_000
const EXCHANGES_A_REQUEST = 2

/** A peer closes a connection that was idle for so many seconds, Node.js' default. */
const IDLE_SECONDS = 5

export const permits: CapacityRole = {
  name: 'permits',
  measure: async () => {
    const cost = await measurePermits()
    return [
      {
        role: 'permits, at 4 requests/s',
        quantity: 'messages a node, B/s',
        module: 'entry/permits',
        points: SIZES.map((nodes) => ({ nodes, value: bytesPerNode(nodes, cost) }))
      },
      {
        role: 'permits, at 4 requests/s',
        quantity: 'processor time a node, us/s',
        module: 'entry/permits',
        points: SIZES.map((nodes) => ({ nodes, value: remoteShare(nodes) * REQUESTS_PER_SECOND * cost.processorMicroseconds }))
      }
    ]
  }
}

/**
 * Cost of one acquire and one release at another node, both ends together.
 *
 * @example
 * const { bytes } = await measurePermits()
 */
export async function measurePermits (): Promise<Cost> {
  const owner = new AbortController()
  const counted = createCountedConnections(1)
  const clock = createHastyClock()
  const client = createSuspicionClient({ connections: counted.connections, freshConnections: counted.connections, peerKey: PEER_KEY, clock, signal: owner.signal })
  const { handlers } = createPermits({ own: PEER, nodes: () => [], client, clock })
  let released = (): void => {}
  const peer = await listenAsPeer({}, { ...handlers, release: (end) => { handlers.release(end); released() } })
  const asking = createPermits({ own: HOME, nodes: () => [peer.record], client, clock })
  try {
    return await measureCost(counted, REQUESTS, async () => {
      const end = new Promise<void>((resolve) => { released = resolve })
      await acquireAndRelease(asking, owner.signal)
      await end
    })
  } finally {
    owner.abort()
    await counted.connections.destroy()
    await peer.close()
  }
}

/** A release waits a millisecond for company rather than 25: there is none, and its cost is the same. */
function createHastyClock (): Clock {
  const clock = createSystemClock()
  return { ...clock, sleep: (_delay, signal) => clock.sleep(1, signal) }
}

async function acquireAndRelease (asking: Permits, signal: AbortSignal): Promise<void> {
  const permit = await asking.acquire(newRequest(), 1, signal)
  permit.end('answered', true)
}

function newRequest (): Request {
  const id = requestIdFor(HOME, randomBytes(16).toString('base64url'))
  return {
    id,
    organisation: organisationNameSchema.parse('tejo'),
    class: classNameSchema.parse('service-plan'),
    idempotent: true,
    fingerprint: sha256(id),
    work: { kind: 'model', body: { model: classNameSchema.parse('service-plan'), messages: [], stream: true, max_tokens: 500 } }
  }
}

/** A node pays as the one that asks and as the one that owns fingerprints of others. */
function bytesPerNode (nodes: number, cost: Cost): number {
  const exchanges = EXCHANGES_A_REQUEST * REQUESTS_PER_SECOND * remoteShare(nodes)
  const secondsBetween = (nodes - 1) / exchanges
  const packets = secondsBetween < IDLE_SECONDS ? OPEN_CONNECTION_PACKET_BYTES : PACKET_BYTES
  return 2 * (REQUESTS_PER_SECOND * remoteShare(nodes) * cost.bytes + exchanges * packets)
}

/** Share of fingerprints that another node owns. */
function remoteShare (nodes: number): number {
  return (nodes - 1) / nodes
}
