/**
 * How many requests a node keeps at an upstream that reports no load, found from the times of its
 * answers: times that rise above those of an unloaded upstream show requests that queue there.
 */
import type { Milliseconds } from '../clock.js'

/** A limit on the requests in flight that follows what it observes. */
export interface ConcurrencyWindow {
  observe (whole: Milliseconds, unloaded: Milliseconds, inFlight: number): void
  /** An attempt failed or went silent. */
  failed (): void
  size (): number
}

const START = 8
const SMALLEST = 1
const LARGEST = 512

/** Requests that may queue at the upstream before the window stops growing, and before it shrinks. */
const FEW_QUEUED = 2
const MANY_QUEUED = 4

const FAILURE_FACTOR = 0.7

/**
 * @example
 * const window = createConcurrencyWindow()
 * window.observe(80, 20, 6) // three quarters of the time was queueing
 */
export function createConcurrencyWindow (): ConcurrencyWindow {
  let size = START

  return {
    observe: (whole, unloaded, inFlight) => {
      const queued = inFlight * (1 - Math.min(1, unloaded / whole))
      if (queued > MANY_QUEUED) size = Math.max(SMALLEST, size - 1 / size - 0.1)
      else if (queued < FEW_QUEUED && inFlight >= size - 1) size = Math.min(LARGEST, size + 1 / Math.sqrt(size))
    },
    failed: () => {
      size = Math.max(SMALLEST, size * FAILURE_FACTOR)
    },
    size: () => size
  }
}
