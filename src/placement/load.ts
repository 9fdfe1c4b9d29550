/**
 * Sums the loads of an upstream that several nodes report at different times.
 *
 * Failure guarded against: each of 17 nodes reduces the prefill of its own requests by the elapsed time, so that an engine is
 * credited with 17 ms of prefill per millisecond and looks idle while it is full. An engine prefills one prompt after the
 * other. Therefore only the sum is reduced by elapsed time, once.
 */
import type { Milliseconds } from '../clock.js'
import type { NodeLoad } from './types.js'

/** Load of one node, or of several, at one upstream. */
export interface DatedLoad extends NodeLoad {
  /** Time that the load refers to; where it is a sum, the mean of the times, weighted by prefill. */
  readonly at: Milliseconds
  /** Prefill of the latest own request without a first answer. The remaining prefill is not below it, whatever time has elapsed. */
  readonly latest: Milliseconds
}

export const NO_LOAD: NodeLoad = { requests: 0, reading: 0, unanswered: 0 }

const NO_DATED_LOAD: DatedLoad = { ...NO_LOAD, at: 0, latest: 0 }

/**
 * Dates the load in a report. It gets no lower bound, since an old report says nothing about its latest request: with the
 * bound, engines that have been idle for a second look busy (test/placement/load-replay.test.ts: 87 % instead of 94 % in time).
 *
 * @example
 * dateReport({ requests: 3, reading: 120, unanswered: 2 }, clock.now()).at
 */
export function dateReport (load: NodeLoad, at: Milliseconds): DatedLoad {
  return { ...load, at, latest: 0 }
}

/**
 * Adds two loads of one upstream. The result is the same for any grouping of the loads.
 *
 * @example
 * addLoads(own, reported)
 */
export function addLoads (left: DatedLoad | undefined, right: DatedLoad | undefined): DatedLoad {
  if (left === undefined || right === undefined) return left ?? right ?? NO_DATED_LOAD
  const reading = left.reading + right.reading
  return {
    requests: left.requests + right.requests,
    unanswered: left.unanswered + right.unanswered,
    reading,
    at: reading === 0 ? Math.max(left.at, right.at) : (left.at * left.reading + right.at * right.reading) / reading,
    latest: Math.max(left.latest, right.latest)
  }
}

/**
 * The load that remains now: the prefill is reduced by the elapsed time, at the speed of one engine.
 *
 * @example
 * remainingLoad(addLoads(own, reported), clock.now()).reading
 */
export function remainingLoad ({ requests, unanswered, reading, at, latest }: DatedLoad, now: Milliseconds): NodeLoad {
  return { requests, unanswered, reading: Math.max(latest, reading - Math.max(0, now - at)) }
}
