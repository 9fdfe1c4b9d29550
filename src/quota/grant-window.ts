/** Units granted to one organisation by all nodes in a sliding window, in buckets of time. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Grants of a sliding window. */
export interface GrantWindow {
  /** Counts units granted at `at`. Units of before the window are left out. */
  add (units: number, at: Milliseconds): void
  /** Counts units granted at a constant rate in units per second. */
  addRate (rate: number, from: Milliseconds, until: Milliseconds): void
  /** Removes units that were counted but not used, the latest first. */
  remove (units: number): void
  /** Units granted in the window that ends at `now`. */
  sum (now: Milliseconds): number
  /** Units by bucket of {@link BUCKET}, the oldest first. */
  history (now: Milliseconds): number[]
  /**
   * What may be granted from now on so that the sum stays within the allowance until `horizon` has passed.
   *
   * @param rate rate of the organisation, in units per second
   * @param unreported units that are granted but not counted yet
   */
  headroom (allowance: number, rate: number, unreported: number, horizon: Milliseconds, now: Milliseconds): WindowHeadroom
}

/** What a window has room for. */
export interface WindowHeadroom {
  /** Highest constant rate, in units per second. */
  readonly sustainable: number
  /** Units that may be granted at once if the organisation's rate is granted afterwards; negative if that is too much. */
  readonly spare: number
}

/** Length of a bucket. Grants leave the window up to this much later than they should. */
export const BUCKET: Milliseconds = 250

/**
 * Creates an empty window.
 *
 * @example
 * const window = createGrantWindow(8 * SECOND, clock.now())
 * window.add(1_540, clock.now())
 */
export function createGrantWindow (length: Milliseconds, now: Milliseconds): GrantWindow {
  const count = Math.ceil(length / BUCKET) + 1
  const buckets = new Float64Array(count)
  let latest = Math.floor(now / BUCKET)
  let total = 0

  function slot (bucket: number): number {
    return ((bucket % count) + count) % count
  }

  function advance (now: Milliseconds): void {
    const present = Math.floor(now / BUCKET)
    if (present <= latest) return
    for (let bucket = Math.max(latest + 1, present - count + 1); bucket <= present; bucket += 1) buckets[slot(bucket)] = 0
    latest = present
    // Summing up anew keeps rounding errors from accumulating.
    total = 0
    for (const units of buckets) total += units
  }

  function add (units: number, at: Milliseconds): void {
    advance(at)
    const bucket = Math.floor(at / BUCKET)
    if (bucket <= latest - count) return
    buckets[slot(bucket)]! += units
    total += units
  }

  return {
    add,
    addRate: (rate, from, until) => {
      for (let start = Math.max(from, until - length); start < until;) {
        const end = Math.min(until, (Math.floor(start / BUCKET) + 1) * BUCKET)
        add(rate * (end - start) / SECOND, start)
        start = end
      }
    },
    remove: (units) => {
      for (let bucket = latest; bucket > latest - count && units > 0; bucket -= 1) {
        const removed = Math.min(units, buckets[slot(bucket)]!)
        buckets[slot(bucket)]! -= removed
        total -= removed
        units -= removed
      }
    },
    sum: (now) => {
      advance(now)
      return total
    },
    history: (now) => {
      advance(now)
      return Array.from(buckets, (_, index) => buckets[slot(latest + 1 + index)]!)
    },
    headroom: (allowance, rate, unreported, horizon, now) => {
      advance(now)
      let room = allowance - total - unreported
      let sustainable = Infinity
      let spare = Infinity
      // The oldest bucket leaves the window when the present one ends.
      let end = (latest + 1) * BUCKET
      for (let bucket = latest - count + 1; end - now <= horizon; bucket += 1) {
        const seconds = Math.max(1, end - now) / SECOND
        sustainable = Math.min(sustainable, room / seconds)
        spare = Math.min(spare, room - rate * seconds)
        room += buckets[slot(bucket)]!
        end += BUCKET
      }
      return { sustainable: Math.max(0, sustainable), spare }
    }
  }
}
