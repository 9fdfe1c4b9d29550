/**
 * Pauses upstreams after failed attempts.
 *
 * Failure guarded against: an upstream that is dead, partitioned or silent looks idle and would attract all new requests.
 * A failed attempt pauses the upstream at once for a short time, which doubles with each further failure. Any complete
 * answer ends the pause. An upstream is never excluded for good, since only the registry tells that it has left.
 */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation } from './types.js'

/** Health of the upstreams, as one node sees it. */
export interface UpstreamHealth {
  /** No connection could be opened, or the exchange broke off or timed out. */
  failed (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** The upstream answered that it is full. Others are tried first for a short time. */
  full (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** The upstream gave a complete answer, which ends its pause. */
  answered (incarnation: UpstreamIncarnation): void
  /** Whether the upstream may take requests now. */
  usable (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /** Drops the pauses of all other incarnations. */
  retainOnly (incarnations: ReadonlySet<UpstreamIncarnation>): void
}

interface Pause {
  failures: number
  until: Milliseconds
}

/** The first pause is short because a single connection reset is weak evidence of a crash. */
const INITIAL_PAUSE: Milliseconds = 400

/** A crashed upstream is back after some seconds. */
const MAX_PAUSE: Milliseconds = 3_000

/** Time until a full upstream frees a slot, about the duration of one plain request. */
const FULL_PAUSE: Milliseconds = 50

/**
 * Creates the health of all upstreams of a node, none of them paused.
 *
 * @example
 * const health = createUpstreamHealth()
 * health.failed(upstream.incarnation, clock.now())
 * health.usable(upstream.incarnation, clock.now()) // false
 */
export function createUpstreamHealth (): UpstreamHealth {
  const pauses = new Map<UpstreamIncarnation, Pause>()
  return {
    failed: (incarnation, now) => {
      const failures = (pauses.get(incarnation)?.failures ?? 0) + 1
      pauses.set(incarnation, { failures, until: now + Math.min(MAX_PAUSE, INITIAL_PAUSE * 2 ** (failures - 1)) })
    },
    full: (incarnation, now) => {
      const failures = pauses.get(incarnation)?.failures ?? 0
      pauses.set(incarnation, { failures, until: Math.max(pauses.get(incarnation)?.until ?? 0, now + FULL_PAUSE) })
    },
    answered: (incarnation) => { pauses.delete(incarnation) },
    usable: (incarnation, now) => now >= (pauses.get(incarnation)?.until ?? 0),
    retainOnly: (incarnations) => {
      for (const incarnation of pauses.keys()) if (!incarnations.has(incarnation)) pauses.delete(incarnation)
    }
  }
}
