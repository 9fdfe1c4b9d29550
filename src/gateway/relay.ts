/**
 * News of the store that a node hears from its aggregator in place of reading it for itself.
 *
 * Load pattern answered: each node read each change of upstreams, configuration and nodes, so that priced calls grew
 * with nodes times changes: 92 a node and minute at 23 nodes.
 *
 * Failure guarded against: the aggregator is cut off from the store, or dies, and its members go on by what is old: a
 * leaving upstream gets requests, a route that was removed is served. Each answer tells how long ago the store was heard
 * of; beyond a bound that leaves time for a reading of its own, a member follows the store itself until it is told
 * something younger.
 */
import { SECOND } from '../clock.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { News } from '../gossip/index.js'
import type { Replica } from './replica.js'

/** How a node follows the store: others depend on what it reads, others tell it, or neither. */
export type FollowingRole = 'telling' | 'told' | 'alone'

/** One followed prefix as the relay sees it. */
export interface RelayedPrefix {
  readonly replica: Replica
  /** Age of what is told from which on this node reads for itself. */
  readonly oldest: Milliseconds
  /** Time at which the store was last heard of, directly or through others; undefined before the first time. */
  readonly heardAt: () => Milliseconds | undefined
}

/** Passes news of the store on between nodes. */
export interface Relay {
  add (prefix: string, followed: RelayedPrefix): void
  /** What this node has, as it asks for more. */
  known (): Record<string, number>
  role (): FollowingRole
  /** What another node lacks that has `known`. */
  newsFor (known: Readonly<Record<string, number>>): News[]
  /** Takes an answer in to a question that was sent at `sentAt`. */
  take (news: readonly News[], sentAt: Milliseconds): void
  /** When others last heard of the store, as far as they told; undefined when they told nothing. */
  toldAt (prefix: string): Milliseconds | undefined
  /** What was told is too old, or nothing was: the node reads for itself. */
  isStale (prefix: string): boolean
}

/** Members ask each 0.4 s; where none has for this time they have gone elsewhere, or this node has. */
const LAST_ASKED: Milliseconds = 3 * SECOND

/**
 * @example
 * const relay = createRelay(clock)
 * relay.take(answer.news, sentAt)
 */
export function createRelay (clock: Clock): Relay {
  const followed = new Map<string, RelayedPrefix>()
  const told = new Map<string, Milliseconds>()
  let askedAt = -Infinity
  let answeredAt = -Infinity

  return {
    add: (prefix, one) => { followed.set(prefix, one) },
    known: () => Object.fromEntries([...followed].map(([prefix, { replica }]) => [prefix, replica.revision()])),
    role: () => {
      if (clock.now() - askedAt < LAST_ASKED) return 'telling'
      return clock.now() - answeredAt < LAST_ASKED ? 'told' : 'alone'
    },
    newsFor: (known) => {
      askedAt = clock.now()
      return [...followed].flatMap(([prefix, { replica, heardAt }]) => {
        const heard = heardAt()
        const revision = known[prefix]
        if (heard === undefined || revision === undefined) return []
        return [{ prefix, age: Math.round(clock.now() - heard), ...replica.since(revision) }]
      })
    },
    take: (news, sentAt) => {
      answeredAt = clock.now()
      for (const one of news) {
        const known = followed.get(one.prefix)
        if (known === undefined) continue
        known.replica.apply(one)
        told.set(one.prefix, Math.max(told.get(one.prefix) ?? -Infinity, sentAt - one.age))
      }
    },
    toldAt: (prefix) => told.get(prefix),
    isStale: (prefix) => {
      const at = told.get(prefix)
      return at === undefined || clock.now() - at > followed.get(prefix)!.oldest
    }
  }
}
