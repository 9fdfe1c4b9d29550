/** What became of the callers' requests of one simulation. */
import type { Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import type { ClassName, OrganisationName } from '../../src/identifiers.js'
import type { CallerRequest } from './workload.js'

/** End of a caller's request. */
export type RequestEnd = 'in-target' | 'late' | 'refused' | 'gave-up' | 'lost'

/** One caller's request with its end. */
export interface MeasuredRequest {
  readonly request: CallerRequest
  readonly end: RequestEnd
  /** From the caller's last send. */
  readonly firstToken: Milliseconds | undefined
  readonly whole: Milliseconds | undefined
}

/** Results of one simulation. */
export interface Measures {
  readonly requests: readonly MeasuredRequest[]
  readonly seconds: number
  readonly promptTokens: number
  readonly computedTokens: number
  /** Prompt and answer tokens computed again after a failure. */
  readonly recomputedTokens: number
}

/**
 * Requests a second that were answered within their target.
 *
 * @example
 * goodput(measures, (request) => request.classMix.name === name)
 */
export function goodput (measures: Measures, only: (request: CallerRequest) => boolean = () => true): number {
  return measures.requests.filter(({ request, end }) => end === 'in-target' && only(request)).length / measures.seconds
}

/**
 * Tokens a second of answers within their target: a plan counts for more than a question.
 *
 * @example
 * tokenGoodput(measures)
 */
export function tokenGoodput (measures: Measures): number {
  const tokens = measures.requests.filter(({ end }) => end === 'in-target').reduce((sum, { request }) => sum + workTokens(request), 0)
  return tokens / measures.seconds
}

/**
 * Share of a class's requests with one end.
 *
 * @example
 * shareOf(measures, name, 'refused')
 */
export function shareOf (measures: Measures, requestClass: ClassName | undefined, end: RequestEnd, organisation?: OrganisationName): number {
  const chosen = measures.requests.filter(({ request }) =>
    (requestClass === undefined || request.classMix.name === requestClass) && (organisation === undefined || request.organisation === organisation))
  return chosen.length === 0 ? 0 : chosen.filter((measured) => measured.end === end).length / chosen.length
}

/**
 * Of the answers of a class that came at all, the share within target.
 *
 * @example
 * answeredInTarget(measures, name)
 */
export function answeredInTarget (measures: Measures, requestClass: ClassName): number {
  const answered = measures.requests.filter(({ request, end }) => request.classMix.name === requestClass && (end === 'in-target' || end === 'late' || end === 'gave-up'))
  return answered.length === 0 ? 1 : answered.filter(({ end }) => end === 'in-target').length / answered.length
}

/**
 * Quantile of the time to the first token of a class, in milliseconds.
 *
 * @example
 * firstTokenQuantile(measures, name, 0.95)
 */
export function firstTokenQuantile (measures: Measures, requestClass: ClassName, quantile: number): Milliseconds {
  const times = measures.requests.flatMap(({ request, firstToken }) => request.classMix.name === requestClass && firstToken !== undefined ? [firstToken] : [])
  times.sort((left, right) => left - right)
  return times[Math.min(times.length - 1, Math.floor(times.length * quantile))] ?? Number.NaN
}

/**
 * Goodput of each second, by the time of the first send.
 *
 * @example
 * goodputBySecond(measures, 0, MINUTE)
 */
export function goodputBySecond (measures: Measures, start: Milliseconds, end: Milliseconds, width = SECOND): { offered: number, good: number }[] {
  const buckets = Array.from({ length: Math.ceil((end - start) / width) }, () => ({ offered: 0, good: 0 }))
  for (const { request, end: outcome } of measures.requests) {
    const bucket = buckets[Math.floor((request.firstSentAt - start) / width)]
    if (bucket === undefined) continue
    bucket.offered += workTokens(request)
    if (outcome === 'in-target') bucket.good += workTokens(request)
  }
  return buckets
}

/**
 * Jain's index of fairness: 1 when all are equal, 1/n when one has everything.
 *
 * @example
 * jainIndex([1, 0]) // 0.5
 */
export function jainIndex (values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0)
  const squares = values.reduce((total, value) => total + value * value, 0)
  return squares === 0 ? 1 : sum * sum / (values.length * squares)
}

function workTokens (request: CallerRequest): number {
  return request.classMix.maxTokens === 0 ? 0 : request.generatedTokens
}
