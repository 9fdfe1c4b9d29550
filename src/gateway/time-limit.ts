/** Time limit of a request, derived from the caller's deadline and the route's limit. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Route } from '../routing/index.js'

/** Why a request's signal was aborted. */
export type AbortReason = 'time-limit' | 'caller-gone' | 'stopped' | 'crashes-upstreams'

/** Time limit of one request. */
export interface TimeLimit {
  /** The caller's deadline on this process's clock. */
  readonly deadline: Milliseconds
  /** Time at which the final answer is due: the earlier of the deadline and the route's limit. */
  readonly end: Milliseconds
  /** Time remaining, which is passed on to upstreams as their deadline. */
  left (now: Milliseconds): Milliseconds
}

/** Without a deadline of the caller, only the route's limit applies. */
const NO_DEADLINE = Infinity

/**
 * Computes the time limit of a request.
 *
 * @param deadline how long the caller waits, counted from the arrival
 * @example
 * const limit = createTimeLimit(clock.now(), 1_000, route)
 * limit.left(clock.now()) // 1_000 at most
 */
export function createTimeLimit (arrival: Milliseconds, deadline: Milliseconds | undefined, route: Route): TimeLimit {
  const callerDeadline = arrival + (deadline ?? NO_DEADLINE)
  const end = Math.min(callerDeadline, arrival + route.timeLimit)
  return { deadline: callerDeadline, end, left: (now) => Math.max(0, end - now) }
}

/**
 * Aborts a controller when the time limit is reached.
 *
 * @returns function that cancels the timer
 * @example
 * const cancel = abortAtEnd(clock, limit, controller)
 */
export function abortAtEnd (clock: Clock, limit: TimeLimit, controller: AbortController): () => void {
  return clock.schedule(Math.max(0, limit.end - clock.now()), () => controller.abort('time-limit' satisfies AbortReason))
}
