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
 * Fraction of the allowed retries that is used by a process that has run for a window. The rest covers restarted processes,
 * and retries that reach the upstream in a later window than they were counted in.
 */
const USED_FRACTION = 0.7

/**
 * Fraction of the ratio that is used within a window of the start of a process, without any of the extra retries. Together with
 * {@link USED_FRACTION} it is below 1, so that one life of a process that has used all that it may, and any number of lives
 * after it in the same window, keep to the bound.
 */
const RESTARTED_FRACTION = 0.25

/**
 * Creates a budget for a single node; see {@link RetryBudget.setNodeCount}.
 *
 * Failure guarded against: all nodes are killed at once, and what they took is forgotten. If each new process took its
 * whole share again, the sum in a window would grow with the number of kills. Within a window of its start, a process
 * assumes that its predecessor took its share, and therefore uses only a part of the ratio of its own requests.
 *
 * @param restartedAt time at which this process started; -Infinity if no process can have run before it
 * @example
 * const budget = createRetryBudget({ ratio: 0.2, extra: 58, window: 10 * SECOND }, -Infinity)
 */
export function createRetryBudget ({ ratio, extra, window }: RetryBudgetOptions, restartedAt: Milliseconds): RetryBudget {
  const requests: Milliseconds[] = []
  const taken: Milliseconds[] = []
  let nodes = 1

  function left (now: Milliseconds): number {
    dropBefore(requests, now - window)
    dropBefore(taken, now - window)
    const allowed = now - restartedAt > window ? USED_FRACTION * (ratio * requests.length + extra / nodes) : RESTARTED_FRACTION * ratio * requests.length
    return allowed - taken.length
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
