/**
 * Targets of the requests that a node has recently received for a service.
 *
 * Load pattern: a burst of long, less urgent requests that can wait for seconds. Each of them would be in time behind a
 * long queue inside an upstream, and the urgent requests that arrive meanwhile would be late behind the same queue.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Targets by rank. */
export interface RecentTargets {
  /** A request has arrived. */
  seen (rank: number, target: Milliseconds, now: Milliseconds): void
  /**
   * Maximum wait at an upstream that still leaves it usable for the recent requests that are more urgent, or of the same
   * rank with a shorter target; Infinity if there are none.
   */
  maxWait (rank: number, target: Milliseconds, now: Milliseconds): Milliseconds
}

/** Time without requests after which a target no longer counts. */
const RETENTION: Milliseconds = 10 * SECOND

/** Share of a target that may be spent waiting inside an upstream behind less urgent requests. */
const MAX_WAIT_FRACTION = 1 / 8

/**
 * @example
 * const targets = createRecentTargets()
 * targets.seen(0, 800, now)
 * targets.maxWait(1, 5_000, now) // 200
 */
export function createRecentTargets (): RecentTargets {
  const ranks = new Map<number, Map<Milliseconds, Milliseconds>>()

  return {
    seen: (rank, target, now) => {
      let targets = ranks.get(rank)
      if (targets === undefined) ranks.set(rank, targets = new Map())
      targets.set(target, now)
    },
    maxWait: (rank, target, now) => {
      let smallest = Infinity
      for (const [otherRank, targets] of ranks) {
        if (otherRank > rank) continue
        for (const [otherTarget, seenAt] of targets) {
          if (now - seenAt > RETENTION) targets.delete(otherTarget)
          else if (otherRank < rank || otherTarget < target) smallest = Math.min(smallest, otherTarget)
        }
      }
      return smallest * MAX_WAIT_FRACTION
    }
  }
}
