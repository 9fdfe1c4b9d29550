/**
 * Decides which requests a stopping node still sends to an upstream.
 *
 * A request ends by its own limit, whatever its upstream does. Nothing else bounds its time: the time that it is expected to take leaves
 * out waits at the upstream and at the node. So only a limit before the cut-off shows that the stop cuts a request off in no case.
 */
import type { Milliseconds } from '../clock.js'

/** Times of a planned stop. */
export interface StopTimes {
  /** Time at which the stop was requested. */
  readonly since: Milliseconds
  /** Time at which requests in progress are cut off. */
  readonly cutOff: Milliseconds
  /** Time from which the node takes no request; undefined until then. */
  readonly closedAt: Milliseconds | undefined
}

/** A request that has not been sent to any upstream. */
export interface UnsentRequest {
  /** Time at which this node read its head. */
  readonly acceptedAt: Milliseconds
  /** Time at which its final answer is due. */
  readonly limitEnd: Milliseconds
}

/**
 * Longest time from the stop request for which a request is sent that may outlast the stop. Callers with an address list from before
 * the stop arrive within this time.
 */
const MAX_BEST_EFFORT_PERIOD: Milliseconds = 2_500

/** Part of the time until the cut-off that this period may take. */
const BEST_EFFORT_FRACTION = 1 / 3

/**
 * Whether a stopping node may send a request. One that may outlast the stop is sent in the first seconds only, and only if it came
 * before the stop was requested or no other node could take it. One that came after the node had closed is never sent: the stop
 * waits for those before it alone.
 *
 * @param hasOtherNode whether another node is ready
 * @example
 * mayBegin({ since: 0, cutOff: 7_600, closedAt: undefined }, { acceptedAt: 500, limitEnd: 3_500 }, true, 500) // true
 * mayBegin({ since: 0, cutOff: 7_600, closedAt: undefined }, { acceptedAt: 500, limitEnd: 15_500 }, true, 500) // false
 * mayBegin({ since: 0, cutOff: 7_600, closedAt: 6_000 }, { acceptedAt: 6_100, limitEnd: 7_100 }, true, 6_100) // false
 */
export function mayBegin (stop: StopTimes, { acceptedAt, limitEnd }: UnsentRequest, hasOtherNode: boolean, now: Milliseconds): boolean {
  if (stop.closedAt !== undefined && acceptedAt >= stop.closedAt) return false
  if (limitEnd <= stop.cutOff) return true
  return now < bestEffortEnd(stop) && (acceptedAt < stop.since || !hasOtherNode)
}

/**
 * Time from which a stopping node sends no request that may outlast the stop.
 *
 * @example
 * bestEffortEnd({ since: 0, cutOff: 7_600 }) // 2_500
 */
export function bestEffortEnd ({ since, cutOff }: Pick<StopTimes, 'since' | 'cutOff'>): Milliseconds {
  return since + Math.min(MAX_BEST_EFFORT_PERIOD, (cutOff - since) * BEST_EFFORT_FRACTION)
}
