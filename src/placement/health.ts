/**
 * Which upstreams take no work for a while, by what their exchanges showed.
 *
 * Failure guarded against: an upstream that is dead, cut off or silent looks idle and would attract all
 * new work. A failed connection takes it out at once for a short pause, which doubles with each further
 * failure; any whole answer ends that. An upstream is never out for good, since the registry alone says
 * that it has left.
 */
import type { Milliseconds } from '../clock.js'
import type { UpstreamLife } from './types.js'

/** Health of the upstreams of one node. */
export interface UpstreamHealth {
  /** No connection could be opened, or an exchange broke or went silent. */
  failed (life: UpstreamLife, now: Milliseconds): void
  /** It said that it is full; others are tried first for a moment. */
  full (life: UpstreamLife, now: Milliseconds): void
  answered (life: UpstreamLife): void
  /** Whether it may take work now. */
  usable (life: UpstreamLife, now: Milliseconds): boolean
  keep (lives: ReadonlySet<UpstreamLife>): void
}

interface Pause {
  failures: number
  until: Milliseconds
}

/** A crashed upstream is back after some seconds; the first pause is short since one reset proves little. */
const FIRST_PAUSE: Milliseconds = 400
const LONGEST_PAUSE: Milliseconds = 3_000

/** Time in which a full upstream frees a slot: about one plain request. */
const FULL_PAUSE: Milliseconds = 50

/**
 * @example
 * const health = createUpstreamHealth()
 * health.failed(upstream.life, clock.now())
 * health.usable(upstream.life, clock.now()) // false
 */
export function createUpstreamHealth (): UpstreamHealth {
  const pauses = new Map<UpstreamLife, Pause>()
  return {
    failed: (life, now) => {
      const failures = (pauses.get(life)?.failures ?? 0) + 1
      pauses.set(life, { failures, until: now + Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (failures - 1)) })
    },
    full: (life, now) => {
      const failures = pauses.get(life)?.failures ?? 0
      pauses.set(life, { failures, until: Math.max(pauses.get(life)?.until ?? 0, now + FULL_PAUSE) })
    },
    answered: (life) => { pauses.delete(life) },
    usable: (life, now) => now >= (pauses.get(life)?.until ?? 0),
    keep: (lives) => {
      for (const life of pauses.keys()) if (!lives.has(life)) pauses.delete(life)
    }
  }
}
