/**
 * Store updates that a member receives from its aggregator instead of reading the store itself.
 *
 * If every node read every change of upstreams, configuration and node records, the number of charged calls would grow
 * with the number of nodes times the number of changes: 92 calls per node and minute with 23 nodes.
 *
 * Failure guarded against: the aggregator loses its connection to the store, or dies, and its members continue with stale
 * data. They dispatch requests to an upstream that is leaving, or serve a route that has been removed. Each update
 * therefore carries the time since the last answer of the store. If this age exceeds a limit, which leaves time for a
 * read, the member reads the store itself until it receives a younger update.
 */
import { SECOND } from '../clock.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { StoreUpdate } from '../gossip/index.js'
import type { PrefixReplica } from './replica.js'

/** Role of a node in reading the store: 'telling' if other nodes depend on its reads, 'told' if it receives updates from another node, 'alone' otherwise. */
export type StoreReadRole = 'telling' | 'told' | 'alone'

/** A followed prefix whose updates are exchanged. */
export interface SharedPrefix {
  readonly replica: PrefixReplica
  /** Maximum age of received updates before this node reads the store itself. */
  readonly maxAge: Milliseconds
  /** Time of the last known answer of the store, received directly or through another node; undefined before the first. */
  readonly lastContactAt: () => Milliseconds | undefined
}

/** Exchanges store updates between nodes. */
export interface StoreUpdateExchange {
  /** Adds a prefix whose updates this node exchanges. */
  add (prefix: string, shared: SharedPrefix): void
  /** Latest revision that this node has, by prefix, as sent with a request for updates. */
  known (): Record<string, number>
  /** Present role of this node. */
  role (): StoreReadRole
  /** Updates that another node lacks, given the revisions that it has. */
  updatesFor (known: Readonly<Record<string, number>>): StoreUpdate[]
  /** Applies the updates of an answer to a request that was sent at `sentAt`. */
  receive (updates: readonly StoreUpdate[], sentAt: Milliseconds): void
  /** Time of the last answer of the store that received updates account for; undefined when none were received. */
  lastReceivedAt (prefix: string): Milliseconds | undefined
  /** Whether received updates are too old, or none were received, so that this node has to read the store itself. */
  isStale (prefix: string): boolean
}

/** Time after the last request of a member, or the last answer of an aggregator, at which this node leaves the role. Members send a request every 0.4 s. */
const ROLE_TIMEOUT: Milliseconds = 3 * SECOND

/**
 * Creates the exchange of store updates of one node.
 *
 * @example
 * const storeUpdates = createStoreUpdateExchange(clock)
 * storeUpdates.receive(answer.news, sentAt)
 */
export function createStoreUpdateExchange (clock: Clock): StoreUpdateExchange {
  const prefixes = new Map<string, SharedPrefix>()
  const receivedAt = new Map<string, Milliseconds>()
  let lastRequestAt = -Infinity
  let lastAnswerAt = -Infinity

  return {
    add: (prefix, shared) => { prefixes.set(prefix, shared) },
    known: () => Object.fromEntries([...prefixes].map(([prefix, { replica }]) => [prefix, replica.revision()])),
    role: () => {
      if (clock.now() - lastRequestAt < ROLE_TIMEOUT) return 'telling'
      return clock.now() - lastAnswerAt < ROLE_TIMEOUT ? 'told' : 'alone'
    },
    updatesFor: (known) => {
      lastRequestAt = clock.now()
      return [...prefixes].flatMap(([prefix, { replica, lastContactAt }]) => {
        const contactAt = lastContactAt()
        const revision = known[prefix]
        if (contactAt === undefined || revision === undefined) return []
        return [{ prefix, age: Math.round(clock.now() - contactAt), ...replica.since(revision) }]
      })
    },
    receive: (updates, sentAt) => {
      lastAnswerAt = clock.now()
      for (const update of updates) {
        const shared = prefixes.get(update.prefix)
        if (shared === undefined) continue
        shared.replica.apply(update)
        receivedAt.set(update.prefix, Math.max(receivedAt.get(update.prefix) ?? -Infinity, sentAt - update.age))
      }
    },
    lastReceivedAt: (prefix) => receivedAt.get(prefix),
    isStale: (prefix) => {
      const at = receivedAt.get(prefix)
      return at === undefined || clock.now() - at > prefixes.get(prefix)!.maxAge
    }
  }
}
