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
  rumoursFor (receiver: Incarnation, fleet: number, now: Milliseconds): Rumour[]
  /** All present suspicions, for a node that has just started: rumours of the past are not sent again. */
  allRumours (now: Milliseconds): Rumour[]
  /** Whether the node has been suspected for longer than it takes to refute. */
  isDown (about: Incarnation, now: Milliseconds): boolean
  isSuspected (about: Incarnation): boolean
  /** Forgets nodes that are gone. */
  retain (present: (about: Incarnation) => boolean): void
}

/**
 * A suspected node has this time, counted from the first suspicion anywhere, to refute before callers
 * are not given its address any more. The price of too short a time is a node left out for seconds.
 */
export const REFUTE_TIME: Milliseconds = 6 * SECOND

/** Most rumours in one message: with 75 bytes each, a wave of 74 stays near 1 KB a message. */
export const RUMOURS_A_MESSAGE = 16

/** Most rumours that a message may hold: more than a failure domain of the target size. */
export const MOST_RUMOURS = 256

/** Each rumour is sent this often times the logarithm of the fleet. */
const SENDINGS = 3

/** A rumour without its age, which goes on rising. */
type Claim = Omit<Rumour, 'age_ms'>

interface Belief {
  readonly claim: Claim
  readonly since: Milliseconds
}

interface Pending {
  readonly belief: Belief
  sent: number
}

/**
 * @example
 * const suspicions = createSuspicions(own)
 * suspicions.suspect(peer, clock.now())
 */
export function createSuspicions (own: Incarnation): Suspicions {
  const beliefs = new Map<Incarnation, Belief>()
  const pending = new Map<Incarnation, Pending>()
  let ownNumber = 0

  function believe (claim: Claim, since: Milliseconds): void {
    const belief = { claim, since }
    beliefs.set(claim.about, belief)
    pending.set(claim.about, { belief, sent: 0 })
  }

  function refute (rumour: Rumour, now: Milliseconds): void {
    if (rumour.state !== 'suspect' || rumour.number < ownNumber) return
    ownNumber = rumour.number + 1
    pending.set(own, { belief: { claim: { about: own, state: 'live', number: ownNumber }, since: now }, sent: 0 })
  }

  function isSuspected (about: Incarnation): boolean {
    return beliefs.get(about)?.claim.state === 'suspect'
  }

  return {
    isSuspected,
    heard: (about) => {
      // Only this node's own belief ends; the rumour ends when the suspected node itself refutes it.
      const belief = beliefs.get(about)
      if (belief?.claim.state === 'suspect') beliefs.set(about, { ...belief, claim: { ...belief.claim, state: 'live' } })
    },
    suspect: (about, now) => {
      if (isSuspected(about)) return
      believe({ about, state: 'suspect', number: beliefs.get(about)?.claim.number ?? 0 }, now)
    },
    merge: (rumours, now) => {
      for (const { age_ms: age, ...claim } of rumours) {
        if (claim.about === own) refute({ ...claim, age_ms: age }, now)
        else if (overrides(claim, beliefs.get(claim.about)?.claim)) believe(claim, now - age)
      }
    },
    rumoursFor: (receiver, fleet, now) => {
      const chosen = choose(pending, RUMOURS_A_MESSAGE)
      const limit = SENDINGS * Math.ceil(Math.log2(fleet + 1))
      for (const item of chosen) {
        item.sent += 1
        if (item.sent >= limit) pending.delete(item.belief.claim.about)
      }
      return withSuspicionOf(receiver, chosen.map((item) => item.belief), beliefs).map((belief) => toRumour(belief, now))
    },
    allRumours: (now) => [...beliefs.values()]
      .filter((belief) => belief.claim.state === 'suspect')
      .slice(0, MOST_RUMOURS)
      .map((belief) => toRumour(belief, now)),
    isDown: (about, now) => {
      const belief = beliefs.get(about)
      return belief?.claim.state === 'suspect' && now - belief.since >= REFUTE_TIME
    },
    retain: (present) => {
      for (const about of beliefs.keys()) if (!present(about)) beliefs.delete(about)
      for (const about of pending.keys()) if (about !== own && !present(about)) pending.delete(about)
    }
  }
}

function toRumour (belief: Belief, now: Milliseconds): Rumour {
  return { ...belief.claim, age_ms: Math.round(now - belief.since) }
}

function overrides (rumour: Claim, known: Claim | undefined): boolean {
  if (known === undefined) return rumour.state === 'suspect' || rumour.number > 0
  if (rumour.number !== known.number) return rumour.number > known.number
  return rumour.state === 'suspect' && known.state === 'live'
}

/** Least sent first, so that new rumours are not held up by old ones. */
function choose (pending: ReadonlyMap<Incarnation, Pending>, count: number): Pending[] {
  return [...pending.values()].sort((left, right) => left.sent - right.sent).slice(0, count)
}

/** The receiver hears of its own suspicion first of all: only it can refute. */
function withSuspicionOf (receiver: Incarnation, chosen: readonly Belief[], beliefs: ReadonlyMap<Incarnation, Belief>): Belief[] {
  const others = chosen.filter((belief) => belief.claim.about !== receiver)
  const own = beliefs.get(receiver)
  return own?.claim.state === 'suspect' ? [own, ...others] : others
}
