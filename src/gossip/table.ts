/**
 * States of all nodes as one node has heard them (push-pull anti-entropy: Demers et al., Epidemic
 * algorithms for replicated database maintenance, 1987). Each node writes its own state only, so the
 * highest sequence of an incarnation is the latest.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { GossipMessage, NodeState, Versions } from './types.js'

/** States of nodes. */
export interface GossipTable {
  /** Replaces this node's own state. */
  publish (state: NodeState): void
  /** Takes a message in. @returns the states that were news */
  take (message: GossipPart, now: Milliseconds): NodeState[]
  /** States that a peer lacks, with their ages; all, while nothing is known of it. */
  missing (peer: string | undefined, now: Milliseconds): Pick<GossipMessage, 'states' | 'ages'>
  versions (): Versions
  /** Other nodes that were heard of lately, directly or not. */
  live (now: Milliseconds): NodeState[]
  /** Since the live node that was silent for the longest time was heard of; undefined when there is no other. */
  oldest (now: Milliseconds): Milliseconds | undefined
  /** All other incarnations that aren't forgotten yet, dead ones included. */
  all (): NodeState[]
}

/** What the table takes of a message. */
export type GossipPart = Pick<GossipMessage, 'from' | 'versions' | 'states' | 'ages'>

/** A state that hasn't risen for this time is of a node that is dead or cut off. */
export const SILENT_AFTER: Milliseconds = 3 * SECOND

/** How long a dead incarnation's last words are kept: its usage goes into the report of its last window. */
const FORGET_AFTER: Milliseconds = 30 * SECOND

/** A dead incarnation's last words aren't passed on after this time: long before any node forgets it. */
const PASSED_ON: Milliseconds = 12 * SECOND

interface Heard {
  readonly state: NodeState
  readonly at: Milliseconds
}

/**
 * @param own incarnation of this node
 * @example
 * const table = createGossipTable(incarnation)
 * table.publish(state)
 * table.take(message, clock.now())
 */
export function createGossipTable (own: string): GossipTable {
  const heard = new Map<string, Heard>()
  const known = new Map<string, Versions>()
  let self: NodeState | undefined

  /**
   * Failure guarded against: a node that has forgotten a dead one hears of it again from one that hasn't
   * yet, takes it for news, and callers are sent to its address for another while. A state keeps the age
   * that it had at its sender, and one that is too old to be passed on isn't taken either.
   */
  function take (message: GossipPart, now: Milliseconds): NodeState[] {
    known.set(message.from, message.versions)
    const news: NodeState[] = []
    for (const state of message.states) {
      const at = now - (message.ages[state.incarnation] ?? 0)
      if (state.incarnation === own || now - at > PASSED_ON) continue
      const last = heard.get(state.incarnation)
      if (last !== undefined && last.state.sequence >= state.sequence) continue
      heard.set(state.incarnation, { state, at })
      news.push(state)
    }
    for (const [incarnation, { at }] of heard) {
      if (now - at < FORGET_AFTER) continue
      heard.delete(incarnation)
      known.delete(incarnation)
    }
    return news
  }

  function versions (): Versions {
    const all: Record<string, number> = {}
    for (const [incarnation, { state }] of heard) all[incarnation] = state.sequence
    if (self !== undefined) all[own] = self.sequence
    return all
  }

  return {
    publish: (state) => { self = state },
    take,
    missing: (peer, now) => {
      const has = peer === undefined ? {} : known.get(peer) ?? {}
      const passed = [...heard.values()].filter(({ at }) => now - at < PASSED_ON)
      if (self !== undefined) passed.push({ state: self, at: now })
      const lacking = passed.filter(({ state }) => state.incarnation !== peer && (has[state.incarnation] ?? -1) < state.sequence)
      return {
        states: lacking.map(({ state }) => state),
        ages: Object.fromEntries(lacking.map(({ state, at }) => [state.incarnation, Math.round(now - at)]))
      }
    },
    versions,
    live: (now) => latestLives([...heard.values()].filter(({ at }) => now - at < SILENT_AFTER)),
    oldest: (now) => {
      const ages = [...heard.values()].map(({ at }) => now - at).filter((age) => age < SILENT_AFTER)
      return ages.length === 0 ? undefined : Math.max(...ages)
    },
    all: () => [...heard.values()].map(({ state }) => state)
  }
}

/** A node that has started again is heard of twice for a while; its latest life counts. */
function latestLives (heard: readonly Heard[]): NodeState[] {
  const latest = new Map<string, Heard>()
  for (const one of heard) {
    const other = latest.get(one.state.name)
    if (other === undefined || other.at < one.at) latest.set(one.state.name, one)
  }
  return [...latest.values()].map(({ state }) => state)
}
