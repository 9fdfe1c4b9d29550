/**
 * Bound on attempts beyond the first, for one service at one node (the retry budget of Google's SRE
 * book, chapter 22). All nodes together keep to ratio x requests + extra in any window, since each keeps
 * to its part: the ratio of its own requests and an even part of the extra.
 */
import type { Milliseconds } from '../clock.js'

/** Attempts that may still be made. */
export interface RetryBudget {
  /** A request's first attempt. */
  request (now: Milliseconds): void
  /** Takes one further attempt, if there is one left. */
  take (now: Milliseconds): boolean
  /** Further attempts that may be made now. */
  left (now: Milliseconds): number
  /** Nodes that share the extra. */
  share (nodes: number): void
}

/** Sizes of a budget. */
export interface RetryBudgetOptions {
  /** Further attempts for each request. */
  readonly ratio: number
  /** Further attempts beyond that, over all nodes. */
  readonly extra: number
  /** Length of the sliding window. */
  readonly window: Milliseconds
}

/**
 * Part of the allowed attempts that is used. The rest covers a node whose predecessor under the same
 * name spent its part just before it died, and what arrives in a later window than it was counted in.
 */
const USED_PART = 0.7

/**
 * @example
 * const budget = createRetryBudget({ ratio: 0.2, extra: 58, window: 10 * SECOND })
 */
export function createRetryBudget ({ ratio, extra, window }: RetryBudgetOptions): RetryBudget {
  const requests: Milliseconds[] = []
  const taken: Milliseconds[] = []
  let nodes = 1

  function left (now: Milliseconds): number {
    forget(requests, now - window)
    forget(taken, now - window)
    return USED_PART * (ratio * requests.length + extra / nodes) - taken.length
  }

  return {
    request: (now) => { requests.push(now) },
    take: (now) => {
      if (left(now) < 1) return false
      taken.push(now)
      return true
    },
    left,
    share: (count) => { nodes = Math.max(1, count) }
  }
}

function forget (times: Milliseconds[], before: Milliseconds): void {
  let count = 0
  while (count < times.length && times[count]! < before) count += 1
  if (count > 0) times.splice(0, count)
}
