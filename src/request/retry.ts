/**
 * Whether and when a failed attempt is followed by another. Only the home of a request decides on
 * retries; a node that passes a request on never repeats it, so attempts do not multiply along hops.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName } from '../identifiers.js'
import type { Random } from '../random.js'
import { mayRepeat } from '../verdict.js'
import type { FailureCode, Verdict } from '../verdict.js'

/** A failed attempt. */
export interface FailedAttempt {
  readonly class: ClassName
  readonly idempotent: boolean
  /** 1 for the first. */
  readonly attempt: number
  readonly verdict: Verdict
  readonly code: FailureCode
  /**
   * Why it ended. An attempt cut off by an announced reclaim or a planned stop is the system's own doing:
   * its continuation costs no budget and no attempt, since accepted work survives. The death of an upstream
   * ends all that it ran at once, which is no storm of retries: it costs an attempt, but no budget.
   */
  readonly cause: 'failure' | 'upstream-died' | 'leaving'
  /** Earliest sensible next attempt as the upstream said, in milliseconds. */
  readonly retryAfter?: Milliseconds
}

/** What follows a failed attempt. */
export type RetryDecision =
  | { kind: 'retry', delay: Milliseconds }
  /** Final: the caller is told at once, with the time after which a new request makes sense. */
  | { kind: 'give-up', reason: GiveUpReason, retryAfter: Milliseconds }

/** Why there is no further attempt. */
export type GiveUpReason = 'may-have-run' | 'not-retryable' | 'attempts-used' | 'budget-used'

/** Retries of one node. */
export interface RetryPolicy {
  /** Feeds the class's budget; to be called once for each accepted request. */
  firstAttempt (requestClass: ClassName): void
  /** Decides after a failure, and takes from the budget when the decision is to retry. */
  afterFailure (failed: FailedAttempt, random: Random): RetryDecision
  /** Retries that the class may still make now. */
  budget (requestClass: ClassName): number
}

/** Bounds of retries. */
export interface RetryOptions {
  /** Retries earned by each first attempt. */
  readonly ratio?: number
  /** Most retries saved up by a class. */
  readonly burst?: number
  /** Most attempts of one request, the first included. */
  readonly mostAttempts?: number
}

/** One retry for five requests: in an outage the load on upstreams rises by a fifth, not by a multiple. */
const RATIO = 0.2
const BURST = 20
const MOST_ATTEMPTS = 4
const FIRST_DELAY: Milliseconds = 20
const LONGEST_DELAY: Milliseconds = 2 * SECOND

/** Failures that another attempt cannot mend. */
const FINAL_CODES: ReadonlySet<FailureCode> = new Set([
  'invalid-request', 'unauthenticated', 'forbidden', 'not-found', 'conflict', 'too-large',
  'organisation-limit', 'overloaded', 'quarantined', 'cancelled', 'no-configuration'
])

/**
 * @example
 * const retries = createRetryPolicy()
 * retries.firstAttempt(request.class)
 * const decision = retries.afterFailure(failed, random)
 */
export function createRetryPolicy (options: RetryOptions = {}): RetryPolicy {
  const { ratio = RATIO, burst = BURST, mostAttempts = MOST_ATTEMPTS } = options
  const budgets = new Map<ClassName, number>()

  const budget = (requestClass: ClassName): number => budgets.get(requestClass) ?? burst

  function refusalReason (failed: FailedAttempt): GiveUpReason | undefined {
    if (!mayRepeat(failed.verdict, failed.idempotent)) return 'may-have-run'
    if (failed.cause === 'leaving') return undefined
    if (FINAL_CODES.has(failed.code)) return 'not-retryable'
    if (failed.attempt >= mostAttempts) return 'attempts-used'
    if (failed.cause === 'upstream-died') return undefined
    /**
     * Failure guarded against: upstreams slow down, every request is tried four times, and the fourfold load
     * keeps them slow. Retries above the budget are refused, so the load stays near that of first attempts.
     */
    return budget(failed.class) < 1 ? 'budget-used' : undefined
  }

  return {
    budget,
    firstAttempt: (requestClass) => {
      budgets.set(requestClass, Math.min(burst, budget(requestClass) + ratio))
    },
    afterFailure: (failed, random) => {
      const reason = refusalReason(failed)
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
 * @param attempt the attempt that failed, 1 for the first
 * @example
 * jitteredDelay(3, random) // between 0 and 80
 */
export function jitteredDelay (attempt: number, random: Random): Milliseconds {
  const longest = Math.min(LONGEST_DELAY, FIRST_DELAY * 2 ** (attempt - 1))
  return Math.round(random.fraction() * longest)
}
