/**
 * Verdicts on whether a failed request may have run, and the errors that carry a verdict.
 *
 * The verdict decides whether an attempt may be retried, and is returned to the caller in the response body and in a
 * header. `not-run` is used only if it is proven. Everything that cannot be proven is `may-have-run`.
 */
import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'
import type { Milliseconds } from './clock.js'

/**
 * Whether a failed request has run.
 *
 * - `not-run`: proven not to have started at any upstream.
 * - `may-have-run`: dispatched, and the outcome is unknown.
 * - `ran`: an upstream is known to have run the request, completely or in part.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'

/** Machine-readable reason of a failure. It determines the HTTP status. */
export type FailureCode =
  | 'invalid-request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'conflict'
  /** The request ran and was answered, but the stored answer has expired. */
  | 'gone'
  | 'too-large'
  | 'header-too-large'
  | 'request-timeout'
  | 'moved'
  | 'overloaded'
  | 'organisation-limit'
  | 'quarantined'
  | 'no-upstream'
  | 'no-configuration'
  | 'stopping'
  | 'upstream-failed'
  | 'upstream-refused'
  | 'connection-lost'
  | 'timeout'
  | 'cancelled'
  | 'platform-unavailable'
  | 'outcome-unknown'
  | 'internal'

/** Options of a {@link ServingError}. */
export interface FailureOptions {
  code: FailureCode
  verdict: Verdict
  /** Time until a retry may succeed, in milliseconds from now. */
  retryAfter?: Milliseconds
  cause?: unknown
}

/** Failure of a request, with a verdict on whether the request may have run. */
export interface ServingError extends Error {
  readonly code: FailureCode
  readonly verdict: Verdict
  /** Time until a retry may succeed, in milliseconds from now. Undefined if unknown. */
  readonly retryAfter: Milliseconds | undefined
}

/** Constructor of {@link ServingError}. */
export type ServingErrorConstructor = new (message: string, options: FailureOptions) => ServingError

const ServingErrorClass = ModernError.subclass('ServingError', {
  custom: class extends ModernError {
    readonly code: FailureCode
    readonly verdict: Verdict
    readonly retryAfter: Milliseconds | undefined

    constructor (message: string, options?: InstanceOptions & Partial<FailureOptions>) {
      super(message, options)
      this.code = options?.code ?? 'internal'
      this.verdict = options?.verdict ?? 'may-have-run'
      this.retryAfter = options?.retryAfter
    }
  }
})

/** Class of {@link ServingError}. Its options are required, unlike those of the base class. */
export const ServingError = ServingErrorClass as unknown as ServingErrorConstructor

const HTTP_STATUS: Record<FailureCode, number> = {
  'invalid-request': 400,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  conflict: 409,
  gone: 410,
  'too-large': 413,
  'header-too-large': 431,
  'request-timeout': 408,
  moved: 421,
  overloaded: 503,
  'organisation-limit': 429,
  quarantined: 422,
  'no-upstream': 503,
  'no-configuration': 503,
  stopping: 503,
  'upstream-failed': 502,
  'upstream-refused': 502,
  'connection-lost': 502,
  timeout: 504,
  cancelled: 499,
  'platform-unavailable': 503,
  'outcome-unknown': 502,
  internal: 500
}

/**
 * Returns the HTTP status for a failure code.
 *
 * @example
 * httpStatusOf('organisation-limit') // 429
 */
export function httpStatusOf (code: FailureCode): number {
  return HTTP_STATUS[code]
}

/**
 * Converts any thrown value to a {@link ServingError}. Other errors become `internal` failures with the given verdict,
 * since they carry none of their own.
 *
 * @param fallback verdict for errors of other types. Pass `not-run` only if nothing has been dispatched yet.
 * @example
 * const failure = toServingError(error, 'may-have-run')
 */
export function toServingError (error: unknown, fallback: Verdict): ServingError {
  if (error instanceof ServingError) return error
  if (!(error instanceof Error)) return new ServingError(String(error), { code: 'internal', verdict: fallback })
  // ModernError adds the message of the cause to the new message, so the new error needs none of its own.
  return new ServingError('', { code: 'internal', verdict: fallback, cause: error })
}

/**
 * Whether a failed attempt may be retried without violating at-most-once semantics.
 *
 * @param idempotent whether running the request twice has the same effect as running it once
 * @example
 * isRetrySafe('may-have-run', false) // false: a booking that may have run is never sent again
 */
export function isRetrySafe (verdict: Verdict, idempotent: boolean): boolean {
  switch (verdict) {
    case 'not-run': return true
    case 'may-have-run': return idempotent
    case 'ran': return idempotent
  }
}
