/**
 * Which upstreams take no work for a while, by what their exchanges showed.
 *
 * Failure guarded against: an upstream that is dead, cut off or silent looks idle and would attract all
 * new work. A failed connection takes it out at once for a short pause, which doubles with each further
 * failure; any whole answer ends that. An upstream is never out for good, since the registry alone says
 * that it has left.
 */
import type { Milliseconds } from '../clock.js'

/** Health of the upstreams of one node. */
export interface UpstreamHealth {
  /** No connection could be opened, or an exchange broke or went silent. */
  failed (id: string, now: Milliseconds): void
  /** It said that it is full; others are tried first for a moment. */
  full (id: string, now: Milliseconds): void
  answered (id: string): void
  /** Whether it may take work now. */
  usable (id: string, now: Milliseconds): boolean
  keep (ids: ReadonlySet<string>): void
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
 * health.failed('i-7', clock.now())
 * health.usable('i-7', clock.now()) // false
 */
export function createUpstreamHealth (): UpstreamHealth {
  const pauses = new Map<string, Pause>()
  return {
    failed: (id, now) => {
      const failures = (pauses.get(id)?.failures ?? 0) + 1
      pauses.set(id, { failures, until: now + Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (failures - 1)) })
    },
    full: (id, now) => {
      const failures = pauses.get(id)?.failures ?? 0
      pauses.set(id, { failures, until: Math.max(pauses.get(id)?.until ?? 0, now + FULL_PAUSE) })
    },
    answered: (id) => { pauses.delete(id) },
    usable: (id, now) => now >= (pauses.get(id)?.until ?? 0),
    keep: (ids) => {
      for (const id of pauses.keys()) if (!ids.has(id)) pauses.delete(id)
    }
  }
}
