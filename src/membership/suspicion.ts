/**
 * Suspicion by progress, after SWIM (Das, Gupta, Motivala 2002): a node that neither answers on a
 * new connection nor through another peer is suspected; the suspicion travels with the exchanges and
 * the node itself can refute it. A node that stays suspected is left out of address answers, but
 * only the key-value service's leases and the node's successor make it gone.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { Rumour } from './types.js'

/** What is suspected at one node. */
export interface Suspicions {
  /** An exchange with the node succeeded, or it sent a message. */
  heard (about: Incarnation): void
  /** All ways to the node failed. */
  suspect (about: Incarnation, now: Milliseconds): void
  /** Takes a peer's rumours. */
  merge (rumours: readonly Rumour[], now: Milliseconds): void
  /** Rumours for the next message; each is sent a bounded number of times. */
  rumoursFor (receiver: Incarnation, fleet: number): Rumour[]
  /** Whether the node has been suspected for longer than it takes to refute. */
  isDown (about: Incarnation, now: Milliseconds): boolean
  isSuspected (about: Incarnation): boolean
  /** Forgets nodes that are gone. */
  retain (present: (about: Incarnation) => boolean): void
}

/** A suspected node has this time to refute before callers are not given its address any more. */
export const REFUTE_TIME: Milliseconds = 6 * SECOND

/** Most rumours in one message: with 60 bytes each, a wave of 74 stays under 1 KB a message. */
export const RUMOURS_A_MESSAGE = 16

/** Each rumour is sent this often times the logarithm of the fleet. */
const SENDINGS = 3

interface Suspicion {
  readonly rumour: Rumour
  readonly since: Milliseconds
}

interface Pending {
  readonly rumour: Rumour
  sent: number
}

/**
 * @example
 * const suspicions = createSuspicions(own)
 * suspicions.suspect(peer, clock.now())
 */
export function createSuspicions (own: Incarnation): Suspicions {
  const beliefs = new Map<Incarnation, Suspicion>()
  const pending = new Map<Incarnation, Pending>()
  let ownNumber = 0

  function believe (rumour: Rumour, now: Milliseconds): void {
    const before = beliefs.get(rumour.about)
    const since = before?.rumour.state === rumour.state ? before.since : now
    beliefs.set(rumour.about, { rumour, since })
    pending.set(rumour.about, { rumour, sent: 0 })
  }

  function refute (rumour: Rumour): void {
    if (rumour.state !== 'suspect' || rumour.number < ownNumber) return
    ownNumber = rumour.number + 1
    pending.set(own, { rumour: { about: own, state: 'live', number: ownNumber }, sent: 0 })
  }

  function isSuspected (about: Incarnation): boolean {
    return beliefs.get(about)?.rumour.state === 'suspect'
  }

  return {
    isSuspected,
    heard: (about) => {
      // Only this node's own belief ends; the rumour ends when the suspected node itself refutes it.
      const belief = beliefs.get(about)
      if (belief?.rumour.state === 'suspect') beliefs.set(about, { ...belief, rumour: { ...belief.rumour, state: 'live' } })
    },
    suspect: (about, now) => {
      if (isSuspected(about)) return
      believe({ about, state: 'suspect', number: beliefs.get(about)?.rumour.number ?? 0 }, now)
    },
    merge: (rumours, now) => {
      for (const rumour of rumours) {
        if (rumour.about === own) refute(rumour)
        else if (overrides(rumour, beliefs.get(rumour.about)?.rumour)) believe(rumour, now)
      }
    },
    rumoursFor: (receiver, fleet) => {
      const chosen = choose(pending, RUMOURS_A_MESSAGE)
      const limit = SENDINGS * Math.ceil(Math.log2(fleet + 1))
      for (const item of chosen) {
        item.sent += 1
        if (item.sent >= limit) pending.delete(item.rumour.about)
      }
      return withSuspicionOf(receiver, chosen.map((item) => item.rumour), beliefs)
    },
    isDown: (about, now) => {
      const belief = beliefs.get(about)
      return belief?.rumour.state === 'suspect' && now - belief.since >= REFUTE_TIME
    },
    retain: (present) => {
      for (const about of beliefs.keys()) if (!present(about)) beliefs.delete(about)
      for (const about of pending.keys()) if (about !== own && !present(about)) pending.delete(about)
    }
  }
}

function overrides (rumour: Rumour, known: Rumour | undefined): boolean {
  if (known === undefined) return rumour.state === 'suspect' || rumour.number > 0
  if (rumour.number !== known.number) return rumour.number > known.number
  return rumour.state === 'suspect' && known.state === 'live'
}

/** Least sent first, so that new rumours are not held up by old ones. */
function choose (pending: ReadonlyMap<Incarnation, Pending>, count: number): Pending[] {
  return [...pending.values()].sort((left, right) => left.sent - right.sent).slice(0, count)
}

/** The receiver hears of its own suspicion first of all: only it can refute. */
function withSuspicionOf (receiver: Incarnation, rumours: readonly Rumour[], beliefs: ReadonlyMap<Incarnation, Suspicion>): Rumour[] {
  const others = rumours.filter((rumour) => rumour.about !== receiver)
  const belief = beliefs.get(receiver)
  return belief?.rumour.state === 'suspect' ? [belief.rumour, ...others] : others
}
