/**
 * Work per millisecond that a node can have done by a service's upstreams, measured while attempts
 * wait: what is dispatched then is all that the upstreams take from this node.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Rate of one service at one node, in milliseconds of one upstream per millisecond. */
export interface ServiceRate {
  /** Called before each change: `waiting` says whether something waited since the last call. */
  passed (waiting: boolean, now: Milliseconds): void
  /** An attempt was dispatched that had waited; one that found room at once shows nothing. */
  dispatched (work: number): void
  /** @param expected upstreams times this node's share; bounds what was measured */
  value (expected: number): number
}

/**
 * Waiting time over which one measurement is taken, summed over many queues.
 *
 * Failure guarded against: counted only while a queue lasts, the dispatch that ends a queue is left
 * out, the rate comes out at a third, and callers are refused for it.
 */
const INTERVAL: Milliseconds = 3 * SECOND

const STEP = 0.25

/** The measured rate is believed within these factors of what the number of upstreams suggests. */
const LEAST_FACTOR = 0.1
const MOST_FACTOR = 10

/**
 * @example
 * const rate = createServiceRate()
 * rate.passed(true, now)
 * rate.dispatched(120)
 * rate.value(fleet.size() * fleet.share())
 */
export function createServiceRate (): ServiceRate {
  let factor = 1
  let lastExpected = 1
  let at: Milliseconds | undefined
  let busy: Milliseconds = 0
  let work = 0

  function measure (): void {
    const measured = work / busy / lastExpected
    factor += STEP * (Math.min(MOST_FACTOR, Math.max(LEAST_FACTOR, measured)) - factor)
    busy = 0
    work = 0
  }

  return {
    passed: (waiting, now) => {
      if (at !== undefined && waiting) busy += now - at
      at = now
      if (busy >= INTERVAL) measure()
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
