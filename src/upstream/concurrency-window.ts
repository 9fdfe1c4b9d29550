/**
 * Limits the requests that a node keeps in flight at an upstream that reports no load, based on the durations of its
 * answers.
 *
 * Failure guarded against: the queue of an overloaded plain service grows without bound, every answer misses its
 * target, and only the durations show it. Comparing with a baseline of unloaded durations does not help, because the
 * baseline drifts upwards during a long overload. Therefore the window shrinks while answers take more than a fixed
 * share of their target, and grows while they take less.
 */
import type { Milliseconds } from '../clock.js'

/** Adaptive limit on the number of requests in flight. */
export interface ConcurrencyWindow {
  /**
   * Records the duration of an answer.
   *
   * @param whole time from dispatch to the end of the answer, in milliseconds
   * @param target target of the request's class for a whole answer, in milliseconds
   * @param inFlight requests of this node in flight at the upstream
   */
  observe (whole: Milliseconds, target: Milliseconds, inFlight: number): void
  /** Records that an attempt failed or that its answer stalled. */
  failed (): void
  /** Maximum number of requests in flight. */
  size (): number
}

/** Window size before the first answer. */
const INITIAL_SIZE = 8
const MIN_SIZE = 1
const MAX_SIZE = 512

/** Share of the target that a request may spend at the upstream. The rest is left for queueing in the gateway. */
const ACCEPTABLE_TARGET_SHARE = 0.4

/** Factor applied to the window after a slow answer. */
const SLOW_ANSWER_FACTOR = 0.97

/** Factor applied to the window after a failure. */
const FAILURE_FACTOR = 0.7

/**
 * Creates a window of 8 requests.
 *
 * @example
 * const window = createConcurrencyWindow()
 * window.observe(800, 1_000, 6)
 * window.size() // less than before
 */
export function createConcurrencyWindow (): ConcurrencyWindow {
  let size = INITIAL_SIZE

  return {
    observe: (whole, target, inFlight) => {
      if (whole > target * ACCEPTABLE_TARGET_SHARE) size = Math.max(MIN_SIZE, size * SLOW_ANSWER_FACTOR)
      else if (inFlight >= size - 1) size = Math.min(MAX_SIZE, size + 1 / size)
    },
    failed: () => {
      size = Math.max(MIN_SIZE, size * FAILURE_FACTOR)
    },
    size: () => size
  }
}
