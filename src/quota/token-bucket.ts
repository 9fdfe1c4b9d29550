/** A token bucket that may go into debt by one request (the token bucket of RFC 2697, without colours). */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** A bucket of units that is refilled at a constant rate. */
export interface TokenBucket {
  /** Takes the cost if the level is positive, which may make it negative. @returns false where nothing was taken */
  take (cost: number, now: Milliseconds): boolean
  /** Returns the cost of a request that did not run. */
  refund (cost: number): void
  /** Sets a new rate (units per second) and size; a positive level keeps its fraction of the size. */
  resize (rate: number, size: number, now: Milliseconds): void
  /** Time until the next request is admitted: 0 if it is admitted now, Infinity if the rate is 0. */
  wait (now: Milliseconds): Milliseconds
}

/**
 * Creates a full bucket.
 *
 * Failure guarded against: a request larger than a node's share of the burst would never be admitted by a bucket that must
 * hold its whole cost. Here a bucket with a positive level admits a request of any size and then refuses requests until
 * the debt is refilled. The mean rate holds, and each node exceeds it by at most one request.
 *
 * @param rate units per second
 * @param size maximum level in units
 * @param now time of the start
 * @example
 * const bucket = createTokenBucket(1_000, 500, clock.now())
 * bucket.take(700, clock.now()) // true, and the next must wait 200 ms
 */
export function createTokenBucket (rate: number, size: number, now: Milliseconds): TokenBucket {
  let level = size
  let updatedAt = now

  function refill (now: Milliseconds): void {
    level = Math.min(size, level + rate * Math.max(0, now - updatedAt) / SECOND)
    updatedAt = Math.max(updatedAt, now)
  }

  return {
    take: (cost, now) => {
      refill(now)
      if (level <= 0) return false
      level -= cost
      return true
    },
    refund: (cost) => { level = Math.min(size, level + cost) },
    resize: (newRate, newSize, now) => {
      refill(now)
      level = level > 0 && size > 0 ? level * newSize / size : Math.min(level, newSize)
      rate = newRate
      size = newSize
    },
    wait: (now) => {
      refill(now)
      if (level > 0) return 0
      return rate > 0 ? (1 - level) / rate * SECOND : Infinity
    }
  }
}
