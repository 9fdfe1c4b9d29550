/**
 * Decides whether and when a failed attempt is retried.
 *
 * Only the home of a request retries. A node that forwards a request never repeats it, so that attempts do not
 * multiply with the number of hops.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName } from '../identifiers.js'
import type { Random } from '../random.js'
import { isRetrySafe } from '../verdict.js'
import type { FailureCode, Verdict } from '../verdict.js'

/** A failed attempt. */
export interface FailedAttempt {
  readonly class: ClassName
  readonly idempotent: boolean
  /** Number of the attempt, starting at 1. */
  readonly attempt: number
  readonly verdict: Verdict
  readonly code: FailureCode
  /**
   * Why the attempt ended.
   *
   * An attempt that was cut off by an announced reclaim or a planned stop (`leaving`) was ended by the system itself.
   * Accepted work must survive, so its continuation counts neither as an attempt nor against the budget. The death of
   * an upstream ends all its attempts at once, which is no retry storm. Its retries count as attempts, but not
   * against the budget.
   */
  readonly cause: 'failure' | 'upstream-died' | 'leaving'
  /** Minimum time until the next attempt, as requested by the upstream, in milliseconds. */
  readonly retryAfter?: Milliseconds
}

/** What follows a failed attempt. */
export type RetryDecision =
  | { kind: 'retry', delay: Milliseconds }
  /**
   * There is no further attempt and the caller is notified at once, with the time after which a new request may
   * succeed.
   */
  | { kind: 'give-up', reason: GiveUpReason, retryAfter: Milliseconds }

/** Why there is no further attempt. */
export type GiveUpReason = 'may-have-run' | 'not-retryable' | 'attempts-used' | 'budget-used'

/** Retry policy of one node. */
export interface RetryPolicy {
  /** Adds to the retry budget of a class. Must be called once for each accepted request. */
  recordFirstAttempt (requestClass: ClassName): void
  /** Decides on a retry after a failure. A retry after an ordinary failure is taken from the budget. */
  afterFailure (failed: FailedAttempt, random: Random): RetryDecision
  /** Number of retries that the class may still make now. */
  budget (requestClass: ClassName): number
}

/** Options of a retry policy. */
export interface RetryOptions {
  /** Retries added to the budget by each first attempt. */
  readonly ratio?: number
  /** Maximum budget of a class. */
  readonly burst?: number
  /** Maximum number of attempts of one request, including the first. */
  readonly maxAttempts?: number
}

/** One retry for five requests: in an outage, the load on upstreams increases by a fifth and not by a multiple. */
const RETRY_RATIO = 0.2
const RETRY_BURST = 20
const MAX_ATTEMPTS = 4
const INITIAL_DELAY: Milliseconds = 20
const MAX_DELAY: Milliseconds = 2 * SECOND

/** Failures that a further attempt cannot resolve. */
const NON_RETRYABLE_CODES: ReadonlySet<FailureCode> = new Set([
  'invalid-request', 'unauthenticated', 'forbidden', 'not-found', 'conflict', 'too-large',
  'organisation-limit', 'overloaded', 'quarantined', 'cancelled', 'no-configuration'
])

/**
 * Creates the retry policy of one node.
 *
 * @example
 * const retries = createRetryPolicy()
 * retries.recordFirstAttempt(request.class)
 * const decision = retries.afterFailure(failed, random)
 */
export function createRetryPolicy (options: RetryOptions = {}): RetryPolicy {
  const { ratio = RETRY_RATIO, burst = RETRY_BURST, maxAttempts = MAX_ATTEMPTS } = options
  const budgets = new Map<ClassName, number>()

  const budget = (requestClass: ClassName): number => budgets.get(requestClass) ?? burst

  function giveUpReason (failed: FailedAttempt): GiveUpReason | undefined {
    if (!isRetrySafe(failed.verdict, failed.idempotent)) return 'may-have-run'
    if (failed.cause === 'leaving') return undefined
    if (NON_RETRYABLE_CODES.has(failed.code)) return 'not-retryable'
    if (failed.attempt >= maxAttempts) return 'attempts-used'
    if (failed.cause === 'upstream-died') return undefined
    /**
     * Failure guarded against: upstreams become slow, every request is attempted four times, and the fourfold load
     * keeps them slow. Retries beyond the budget are refused, so the load stays close to that of the first attempts.
     */
    return budget(failed.class) < 1 ? 'budget-used' : undefined
  }

  return {
    budget,
    recordFirstAttempt: (requestClass) => {
      budgets.set(requestClass, Math.min(burst, budget(requestClass) + ratio))
    },
    afterFailure: (failed, random) => {
      const reason = giveUpReason(failed)
      const delay = Math.max(failed.retryAfter ?? 0, jitteredDelay(failed.attempt, random))
      if (reason !== undefined) return { kind: 'give-up', reason, retryAfter: Math.max(delay, SECOND) }
      if (failed.cause === 'leaving') return { kind: 'retry', delay: 0 }
      if (failed.cause === 'failure') budgets.set(failed.class, budget(failed.class) - 1)
      return { kind: 'retry', delay }
    }
  }
}

/**
 * Exponential backoff with full jitter.
 *
 * @param attempt number of the failed attempt, starting at 1
 * @example
 * jitteredDelay(3, random) // between 0 and 80
 */
export function jitteredDelay (attempt: number, random: Random): Milliseconds {
  const maxDelay = Math.min(MAX_DELAY, INITIAL_DELAY * 2 ** (attempt - 1))
  return Math.round(random.fraction() * maxDelay)
}
