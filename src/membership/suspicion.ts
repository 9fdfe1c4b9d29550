/**
 * Failure suspicion after SWIM (Das, Gupta, Motivala 2002).
 *
 * A node that answers neither on a new connection nor through another peer is suspected. Rumours about suspicions are
 * spread with the exchanges between nodes, and the suspected node can refute them. A node that remains suspected is
 * omitted from address answers. It only counts as gone when its lease at the key-value service has expired or its
 * successor has taken over.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { Rumour } from './types.js'

/** The suspicions that one node knows of. */
export interface Suspicions {
  /** Records a successful exchange with the node or a message from it. */
  heard (about: Incarnation): void
  /** Records that the node could be reached neither directly nor through a peer. */
  suspect (about: Incarnation, now: Milliseconds): void
  /** Merges the rumours of a peer. */
  merge (rumours: readonly Rumour[], now: Milliseconds): void
  /**
   * Selects rumours for the next message. Each rumour is sent a limited number of times.
   *
   * @param fleet number of nodes
   */
  rumoursFor (receiver: Incarnation, fleet: number, now: Milliseconds): Rumour[]
  /** All current suspicions, for a node that has just started. It has missed the rumours that are no longer sent. */
  allRumours (now: Milliseconds): Rumour[]
  /** Whether the node has been suspected for at least the time that a refutation takes. */
  isDown (about: Incarnation, now: Milliseconds): boolean
  isSuspected (about: Incarnation): boolean
  /** Removes all nodes for which `present` returns false. */
  retain (present: (about: Incarnation) => boolean): void
}

/**
 * Time that a suspected node has for a refutation, from the first suspicion at any node. After that its address is no
 * longer given to callers. If the time is too short, a healthy node is omitted for some seconds.
 */
export const REFUTATION_TIME: Milliseconds = 6 * SECOND

/** Number of rumours sent in one message. At 75 bytes each, messages stay near 1 KB even if 74 nodes fail at once. */
export const RUMOURS_PER_MESSAGE = 16

/** Maximum number of rumours accepted in one message. More than the nodes of a failure domain at the target size. */
export const MAX_RUMOURS = 256

/** Each rumour is sent this many times the binary logarithm of the number of nodes. */
const RETRANSMISSION_FACTOR = 3

/** A rumour without its age, which changes with time. */
type Claim = Omit<Rumour, 'age_ms'>

/** The latest claim about a node. */
interface Belief {
  readonly claim: Claim
  readonly since: Milliseconds
}

/** A claim that is still to be sent to peers. */
interface Pending {
  readonly belief: Belief
  sent: number
}

/**
 * Creates an empty set of suspicions.
 *
 * @param own this node, for which received suspicions are refuted
 * @example
 * const suspicions = createSuspicions(own)
 * suspicions.suspect(peer, clock.now())
 */
export function createSuspicions (own: Incarnation): Suspicions {
  const beliefs = new Map<Incarnation, Belief>()
  const pending = new Map<Incarnation, Pending>()
  let ownNumber = 0

  function record (claim: Claim, since: Milliseconds): void {
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
      // This ends the suspicion only at this node. The rumour persists until the suspected node refutes it.
      const belief = beliefs.get(about)
      if (belief?.claim.state === 'suspect') beliefs.set(about, { ...belief, claim: { ...belief.claim, state: 'live' } })
    },
    suspect: (about, now) => {
      if (isSuspected(about)) return
      record({ about, state: 'suspect', number: beliefs.get(about)?.claim.number ?? 0 }, now)
    },
    merge: (rumours, now) => {
      for (const { age_ms: age, ...claim } of rumours) {
        if (claim.about === own) refute({ ...claim, age_ms: age }, now)
        else if (overrides(claim, beliefs.get(claim.about)?.claim)) record(claim, now - age)
      }
    },
    rumoursFor: (receiver, fleet, now) => {
      const chosen = leastSent(pending, RUMOURS_PER_MESSAGE)
      const limit = RETRANSMISSION_FACTOR * Math.ceil(Math.log2(fleet + 1))
      for (const item of chosen) {
        item.sent += 1
        if (item.sent >= limit) pending.delete(item.belief.claim.about)
      }
      return withSuspicionOf(receiver, chosen.map((item) => item.belief), beliefs).map((belief) => toRumour(belief, now))
    },
    allRumours: (now) => [...beliefs.values()]
      .filter((belief) => belief.claim.state === 'suspect')
      .slice(0, MAX_RUMOURS)
      .map((belief) => toRumour(belief, now)),
    isDown: (about, now) => {
      const belief = beliefs.get(about)
      return belief?.claim.state === 'suspect' && now - belief.since >= REFUTATION_TIME
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

/** Whether a received claim replaces the known one. */
function overrides (rumour: Claim, known: Claim | undefined): boolean {
  if (known === undefined) return rumour.state === 'suspect' || rumour.number > 0
  if (rumour.number !== known.number) return rumour.number > known.number
  return rumour.state === 'suspect' && known.state === 'live'
}

/** Rumours that were sent the fewest times, so that old rumours do not delay new ones. */
function leastSent (pending: ReadonlyMap<Incarnation, Pending>, count: number): Pending[] {
  return [...pending.values()].sort((left, right) => left.sent - right.sent).slice(0, count)
}

/** Puts a suspicion of the receiver first, because only the receiver can refute it. */
function withSuspicionOf (receiver: Incarnation, chosen: readonly Belief[], beliefs: ReadonlyMap<Incarnation, Belief>): Belief[] {
  const others = chosen.filter((belief) => belief.claim.about !== receiver)
  const own = beliefs.get(receiver)
  return own?.claim.state === 'suspect' ? [own, ...others] : others
}
