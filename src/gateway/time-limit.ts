/** Until when a request may take, and what happens then: the one place where its limits meet. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Route } from '../routing/index.js'

/** Why a request's signal was aborted. */
export type EndReason = 'time-limit' | 'caller-gone' | 'stopped'

/** The limits of one request. */
export interface TimeLimit {
  /** The caller's own deadline on this process's clock. */
  readonly deadline: Milliseconds
  /** Earlier of the deadline and the route's limit: the final answer is due then. */
  readonly end: Milliseconds
  /** What an upstream is told that it has left. */
  left (now: Milliseconds): Milliseconds
}

/** Callers that name no deadline wait for as long as their route allows. */
const NO_DEADLINE = Infinity

/**
 * @param deadline how long the caller waits, from its arrival
 * @example
 * const limit = createTimeLimit(clock.now(), 1_000, route)
 * limit.left(clock.now()) // 1_000 at most
 */
export function createTimeLimit (arrival: Milliseconds, deadline: Milliseconds | undefined, route: Route): TimeLimit {
  const callerEnd = arrival + (deadline ?? NO_DEADLINE)
  const end = Math.min(callerEnd, arrival + route.timeLimit)
  return { deadline: callerEnd, end, left: (now) => Math.max(0, end - now) }
}

/**
 * Aborts a controller at the end of the limit.
 *
 * @returns how to take the timer back
 * @example
 * const cancel = abortAtEnd(clock, limit, controller)
 */
export function abortAtEnd (clock: Clock, limit: TimeLimit, controller: AbortController): () => void {
  const owner = new AbortController()
  clock.sleep(Math.max(0, limit.end - clock.now()), owner.signal).then(() => controller.abort('time-limit' satisfies EndReason), () => {})
  return () => owner.abort()
}
