/**
 * How many requests a node keeps at an upstream that reports no load, found from the times of its
 * answers.
 *
 * Failure guarded against: an overloaded plain service queues without a bound, every answer comes
 * after its target, and nothing shows it but the times. A baseline of unloaded times is no help, since
 * it drifts up in a long overload. So the window shrinks while answers take more than a part of
 * their target and grows while they take less.
 */
import type { Milliseconds } from '../clock.js'

/** A limit on the requests in flight that follows what it observes. */
export interface ConcurrencyWindow {
  /** @param target time of a whole answer that the class allows */
  observe (whole: Milliseconds, target: Milliseconds, inFlight: number): void
  /** An attempt failed or went silent. */
  failed (): void
  size (): number
}

const START = 8
const SMALLEST = 1
const LARGEST = 512

/** Part of the target that a request may spend at the upstream; the rest is left for waiting here. */
const ACCEPTABLE_SHARE = 0.4

const SLOW_FACTOR = 0.97
const FAILURE_FACTOR = 0.7

/**
 * @example
 * const window = createConcurrencyWindow()
 * window.observe(800, 1_000, 6)
 * window.size() // less than before
 */
export function createConcurrencyWindow (): ConcurrencyWindow {
  let size = START

  return {
    observe: (whole, target, inFlight) => {
      if (whole > target * ACCEPTABLE_SHARE) size = Math.max(SMALLEST, size * SLOW_FACTOR)
      else if (inFlight >= size - 1) size = Math.min(LARGEST, size + 1 / size)
    },
    failed: () => {
      size = Math.max(SMALLEST, size * FAILURE_FACTOR)
    },
    size: () => size
  }
}
