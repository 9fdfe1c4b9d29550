/**
 * Work per millisecond that the upstreams of a service accept from one node. It is measured while attempts wait, because
 * the work dispatched during that time is all that the upstreams accept.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Service rate of one node, in milliseconds of work of one upstream per millisecond. */
export interface ServiceRate {
  /**
   * Advances the time. Must be called before each change of the queue.
   *
   * @param waiting whether attempts have been waiting since the last call
   */
  update (waiting: boolean, now: Milliseconds): void
  /** Adds the work of a dispatched attempt that had waited. Attempts that were dispatched on arrival do not count. */
  dispatched (work: number): void
  /**
   * The current rate.
   *
   * @param expected number of upstreams times this node's share of them, which bounds the measured rate
   */
  value (expected: number): number
}

/**
 * Waiting time that one measurement covers. It is summed over successive queues.
 *
 * Failure guarded against: a measurement that starts anew with each queue misses the dispatch that ends the queue. The
 * measured rate is then only a third of the real one, and callers are refused without need.
 */
const DEFAULT_INTERVAL: Milliseconds = 3 * SECOND

/** Weight of one measurement in the smoothed rate. */
const SMOOTHING = 0.25

/** Bounds of the measured rate, as factors of the expected one. */
const MIN_FACTOR = 0.1
const MAX_FACTOR = 10

/**
 * Creates a service rate that equals the expected rate until a measurement is complete.
 *
 * @param interval waiting time that one measurement covers
 * @example
 * const rate = createServiceRate()
 * rate.update(true, now)
 * rate.dispatched(120)
 * rate.value(fleet.size() * fleet.share())
 */
export function createServiceRate (interval: Milliseconds = DEFAULT_INTERVAL): ServiceRate {
  let factor = 1
  let lastExpected = 1
  let updatedAt: Milliseconds | undefined
  let waitingTime: Milliseconds = 0
  let work = 0

  function measure (): void {
    const measured = work / waitingTime / lastExpected
    factor += SMOOTHING * (Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, measured)) - factor)
    waitingTime = 0
    work = 0
  }

  return {
    update: (waiting, now) => {
      if (updatedAt !== undefined && waiting) waitingTime += now - updatedAt
      updatedAt = now
      if (waitingTime >= interval) measure()
    },
    dispatched: (amount) => {
      work += amount
    },
    value: (expected) => {
      lastExpected = Math.max(expected, 0.001)
      return factor * lastExpected
    }
  }
}
