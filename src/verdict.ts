/**
 * Whether a request may have run, and the errors that carry this verdict.
 *
 * The verdict decides retries and is told to the caller in the body and in a header. `not-run` is
 * used only where it is proven; whatever cannot be proven is `may-have-run`.
 */
import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'
import type { Milliseconds } from './clock.js'

/**
 * - `not-run`: proven not to have started at any upstream.
 * - `may-have-run`: sent, outcome unknown.
 * - `ran`: an upstream is known to have run it, whole or in part.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'

/** Machine-readable reason of a failure; the HTTP status follows from it. */
export type FailureCode =
  | 'invalid-request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'conflict'
  /** The request ran and was answered; its answer is no longer kept. */
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

/** What a {@link ServingError} is made of. */
export interface FailureOptions {
  code: FailureCode
  verdict: Verdict
  /** Earliest sensible next attempt, in milliseconds from now. */
  retryAfter?: Milliseconds
  cause?: unknown
}

/** A failure that says whether the request may have run. */
export interface ServingError extends Error {
  readonly code: FailureCode
  readonly verdict: Verdict
  /** Earliest sensible next attempt, in milliseconds from now. */
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

/** Class of {@link ServingError}; its options are required, unlike those of its base. */
export const ServingError = ServingErrorClass as unknown as ServingErrorConstructor

const STATUS: Record<FailureCode, number> = {
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
 * HTTP status that tells a caller about a failure.
 *
 * @example
 * statusOf('organisation-limit') // 429
 */
export function statusOf (code: FailureCode): number {
  return STATUS[code]
}

/**
 * Turns anything thrown into a {@link ServingError}. What is not one already is reported with the
 * given verdict, since nothing is known about it.
 *
 * @param fallback verdict for foreign errors; pass `not-run` only before anything was sent
 * @example
 * const failure = toServingError(error, 'may-have-run')
 */
export function toServingError (error: unknown, fallback: Verdict): ServingError {
  if (error instanceof ServingError) return error
  if (!(error instanceof Error)) return new ServingError(String(error), { code: 'internal', verdict: fallback })
  // The cause's message becomes part of the new one, so there is none to repeat.
  return new ServingError('', { code: 'internal', verdict: fallback, cause: error })
}

/**
 * Whether a failed attempt may be sent again without breaking at-most-once semantics.
 *
 * @example
 * mayRepeat('may-have-run', false) // false: a booking that may have run is never sent again
 */
export function mayRepeat (verdict: Verdict, idempotent: boolean): boolean {
  switch (verdict) {
    case 'not-run': return true
    case 'may-have-run': return idempotent
    case 'ran': return idempotent
  }
}
