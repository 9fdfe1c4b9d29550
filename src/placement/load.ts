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
  /** Sum of the prefill of each part, multiplied by the time that the part refers to. */
  readonly moment: number
}

export const NO_LOAD: NodeLoad = { requests: 0, reading: 0, unanswered: 0 }

/**
 * Dates a load. Values are rounded, so that sums are exact and parts can be subtracted again.
 *
 * @example
 * dateLoad({ requests: 3, reading: 120, unanswered: 2 }, clock.now())
 */
export function dateLoad ({ requests, reading, unanswered }: NodeLoad, at: Milliseconds): DatedLoad {
  const rounded = Math.round(reading)
  return { requests, unanswered, reading: rounded, moment: rounded * Math.round(at) }
}

/**
 * Adds two loads of one upstream. The result is the same for any grouping of the loads.
 *
 * @example
 * addLoads(own, reported)
 */
export function addLoads (left: DatedLoad | undefined, right: DatedLoad): DatedLoad {
  if (left === undefined) return right
  return { requests: left.requests + right.requests, unanswered: left.unanswered + right.unanswered, reading: left.reading + right.reading, moment: left.moment + right.moment }
}

/**
 * Removes a load from a sum that contains it.
 *
 * @returns undefined where nothing remains
 * @example
 * subtractLoad(sum, lastReport)
 */
export function subtractLoad (sum: DatedLoad, part: DatedLoad): DatedLoad | undefined {
  const requests = sum.requests - part.requests
  if (requests <= 0) return undefined
  return { requests, unanswered: sum.unanswered - part.unanswered, reading: sum.reading - part.reading, moment: sum.moment - part.moment }
}

/**
 * The load that remains now: the prefill is reduced once, by the time that has elapsed on average over the prefill, at the speed
 * of one engine.
 *
 * @param latest prefill of the latest own request without a first answer, below which the remaining prefill is not reduced.
 * There is no such bound for the requests of other nodes, since an old report says nothing about them: with one, engines that
 * have been idle for a second look busy (test/placement/load-replay.test.ts: 87 % instead of 94 % in time).
 * @example
 * remainingLoad(addLoads(own, reported), 70, clock.now()).reading
 */
export function remainingLoad ({ requests, unanswered, reading, moment }: DatedLoad, latest: Milliseconds, now: Milliseconds): NodeLoad {
  const elapsed = reading === 0 ? 0 : Math.max(0, now - moment / reading)
  return { requests, unanswered, reading: Math.max(latest, reading - elapsed) }
}
