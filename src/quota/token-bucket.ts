/** A token bucket that may go into debt by one request (the leaky bucket of RFC 2697, without colours). */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Units that may be used now, refilled at a rate. */
export interface TokenBucket {
  /** Takes the cost if anything is left; the last request before the bucket is empty may go below zero. */
  take (cost: number, now: Milliseconds): boolean
  /** Gives back what was taken for a request that did not run. */
  giveBack (cost: number): void
  /** New rate (units a second) and size; what is left keeps its share of the size. */
  resize (rate: number, size: number, now: Milliseconds): void
  /** Time until the next request would be let through; 0 when it would be now. */
  wait (now: Milliseconds): Milliseconds
}

/**
 * Failure guarded against: a request larger than a node's share of the burst would never fit in a bucket
 * that must hold its whole cost. Here a bucket that isn't empty lets one request through and then stays
 * shut until the debt is refilled, so the mean rate holds and each node is over by one request at most.
 *
 * @param rate units a second
 * @param size most units
 * @example
 * const bucket = createTokenBucket(1_000, 500, clock.now())
 * bucket.take(700, clock.now()) // true, and the next must wait 200 ms
 */
export function createTokenBucket (rate: number, size: number, now: Milliseconds): TokenBucket {
  let level = size
  let at = now

  function refill (now: Milliseconds): void {
    level = Math.min(size, level + rate * Math.max(0, now - at) / SECOND)
    at = Math.max(at, now)
  }

  return {
    take: (cost, now) => {
      refill(now)
      if (level <= 0) return false
      level -= cost
      return true
    },
    giveBack: (cost) => { level = Math.min(size, level + cost) },
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
