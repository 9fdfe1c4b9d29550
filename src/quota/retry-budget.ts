/**
 * Bound on retries for one service at one node (the retry budget of Google's SRE book, chapter 22). The sum over all nodes
 * keeps to ratio x requests + extra in any window, because each node keeps to its share: the ratio of its own requests and
 * an equal share of the extra.
 */
import type { Milliseconds } from '../clock.js'

/** Retries that a node may make. */
export interface RetryBudget {
  /** Counts a request, at its first attempt. */
  request (now: Milliseconds): void
  /** Takes one retry. @returns false where none is left */
  take (now: Milliseconds): boolean
  /** Number of retries that are left now; may be fractional or negative. */
  left (now: Milliseconds): number
  /** Sets the number of nodes that share the extra retries. */
  setNodeCount (nodes: number): void
}

/** Sizes of a budget. */
export interface RetryBudgetOptions {
  /** Retries per request. */
  readonly ratio: number
  /** Retries in addition to that, for all nodes together. */
  readonly extra: number
  /** Length of the sliding window. */
  readonly window: Milliseconds
}

/**
 * Fraction of the allowed retries that is used. The rest covers a restarted node whose predecessor spent its share just
 * before it died, and retries that reach the upstream in a later window than they were counted in.
 */
const USED_FRACTION = 0.7

/**
 * Creates a budget for a single node; see {@link RetryBudget.setNodeCount}.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.2, extra: 58, window: 10 * SECOND })
 */
export function createRetryBudget ({ ratio, extra, window }: RetryBudgetOptions): RetryBudget {
  const requests: Milliseconds[] = []
  const taken: Milliseconds[] = []
  let nodes = 1

  function left (now: Milliseconds): number {
    dropBefore(requests, now - window)
    dropBefore(taken, now - window)
    return USED_FRACTION * (ratio * requests.length + extra / nodes) - taken.length
  }

  return {
    request: (now) => { requests.push(now) },
    take: (now) => {
      if (left(now) < 1) return false
      taken.push(now)
      return true
    },
    left,
    setNodeCount: (count) => { nodes = Math.max(1, count) }
  }
}

function dropBefore (times: Milliseconds[], before: Milliseconds): void {
  let count = 0
  while (count < times.length && times[count]! < before) count += 1
  if (count > 0) times.splice(0, count)
}
