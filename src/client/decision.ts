/** Retry policy of the client after a failed attempt. The functions are pure, and the decision follows the verdict. */
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'
import { isRetrySafe } from '../verdict.js'
import type { FailureCode, ServingError } from '../verdict.js'

/** A failed attempt. */
export interface FailedAttempt {
  readonly failure: ServingError
  /** Whether the system reported the failure. Otherwise the connection broke. */
  readonly reportedBySystem: boolean
  /** Whether the system may have received an attempt with this request id. */
  readonly maybeReceived: boolean
  /** Whether the request may be executed twice. */
  readonly idempotent: boolean
  /** Number of consecutive connections that broke without progress, including this connection. */
  readonly brokenConnections: number
  /** Number of times that the request id of this call was replaced after a reported failure. */
  readonly idReplacements: number
}

/** Decision after a failed attempt. */
export type RetryDecision =
  | { kind: 'fail' }
  /** Retry with the same request id. The system continues the answer of that id and executes nothing twice. */
  | { kind: 'same-id', delay: Milliseconds, avoidNode: boolean, refreshAddresses: boolean }
  /** Retry with a new request id. The old id has provably not run, or the request may be executed twice. */
  | { kind: 'new-id', delay: Milliseconds, avoidNode: boolean }

/** Maximum number of consecutive broken connections. */
const MAX_BROKEN_CONNECTIONS = 8

/**
 * Maximum number of new ids after reported failures of one call. The low limit avoids adding load to a system that
 * refuses requests.
 */
const MAX_ID_REPLACEMENTS = 3

/** Upper bound of the delay after the first broken connection. It doubles with each further one up to the maximum. */
const INITIAL_DELAY: Milliseconds = 50
const MAX_DELAY: Milliseconds = 2_000

/** Failures of one node only. The request is retried at another node without waiting for `retryAfter`. */
const RETRIED_AT_OTHER_NODE: ReadonlySet<FailureCode> = new Set(['stopping', 'no-configuration'])

/** Failures after which the system may accept the same request later. */
const RETRIED_LATER: ReadonlySet<FailureCode> = new Set(['overloaded', 'organisation-limit', 'no-upstream', 'platform-unavailable'])

/**
 * Decides whether and how a failed attempt is retried.
 *
 * @example
 * decideRetry(failed, random).kind // 'same-id' after a lost connection, also for a request that may run only once
 */
export function decideRetry (failed: FailedAttempt, random: Random): RetryDecision {
  return failed.reportedBySystem ? afterReportedFailure(failed, random) : afterBrokenConnection(failed, random)
}

/**
 * Failure guarded against: a connection breaks after a request that may run only once was sent, and it is unknown
 * whether the request ran. The home of its id executes the request at most once, so the same id is sent again. The
 * first retry goes to the same node on a new connection, because often only the connection is lost.
 */
function afterBrokenConnection (failed: FailedAttempt, random: Random): RetryDecision {
  if (failed.brokenConnections > MAX_BROKEN_CONNECTIONS || failed.failure.code === 'cancelled') return { kind: 'fail' }
  const delay = backoff(failed.brokenConnections, random)
  const refused = failed.failure.verdict === 'not-run'
  if (refused && !failed.maybeReceived) return { kind: 'new-id', delay, avoidNode: true }
  return { kind: 'same-id', delay, avoidNode: refused || failed.brokenConnections > 1, refreshAddresses: failed.brokenConnections > 1 }
}

function afterReportedFailure (failed: FailedAttempt, random: Random): RetryDecision {
  const { failure } = failed
  if (failure.code === 'moved') return { kind: 'same-id', delay: withJitter(failure.retryAfter ?? 0, random), avoidNode: true, refreshAddresses: true }
  if (failed.idReplacements >= MAX_ID_REPLACEMENTS) return { kind: 'fail' }
  if (failure.verdict === 'not-run' && RETRIED_AT_OTHER_NODE.has(failure.code)) return { kind: 'new-id', delay: backoff(1, random), avoidNode: true }
  if (failure.verdict === 'not-run' && RETRIED_LATER.has(failure.code)) return { kind: 'new-id', delay: withJitter(failure.retryAfter ?? MAX_DELAY, random), avoidNode: false }
  // The home of the id is gone. Only a request that may be executed twice gets a new id.
  if (failure.code === 'outcome-unknown' && isRetrySafe(failure.verdict, failed.idempotent)) return { kind: 'new-id', delay: backoff(1, random), avoidNode: false }
  return { kind: 'fail' }
}

/**
 * Delay of 100 % to 150 % of the requested delay. The random share prevents all refused callers from retrying at the
 * same time.
 */
function withJitter (retryAfter: Milliseconds, random: Random): Milliseconds {
  return retryAfter * (1 + random.fraction() / 2)
}

/** Exponential backoff with full jitter. */
function backoff (brokenConnections: number, random: Random): Milliseconds {
  return random.fraction() * Math.min(MAX_DELAY, INITIAL_DELAY * 2 ** (brokenConnections - 1))
}
