/** Configuration, upstreams and attempts for the tests of the scheduler. */
import type { PendingAttempt } from '../../src/admission/index.js'
import type { Configuration } from '../../src/configuration/index.js'
import { addressSchema, classNameSchema, failureDomainSchema, organisationNameSchema, requestIdSchema, serviceNameSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { RequestId, UpstreamName } from '../../src/identifiers.js'
import type { LoadReport, UpstreamView } from '../../src/upstream/index.js'

export const service = serviceNameSchema.parse('assistant')
export const plan = classNameSchema.parse('plan')
export const question = classNameSchema.parse('question')
export const large = organisationNameSchema.parse('large')
export const small = organisationNameSchema.parse('small')

const planTarget = { first_token_ms: 10_000, whole_answer_ms: 60_000, quantile: 0.95, reliability: 0.9 }
const questionTarget = { first_token_ms: 600, whole_answer_ms: 8_000, quantile: 0.95, reliability: 0.99 }

export const configuration: Configuration = {
  deployment: { name: 'test', target: { cost_per_thousand_answers: 1, recomputed_per_thousand_tokens: 1 } },
  services: [{ kind: 'model', name: service, model: 'm', adapters: [] }],
  organisations: [large, small].map((name) => ({ name, key_sha256: ['0'.repeat(64)] })),
  classes: [
    { name: plan, service, idempotent: true, target: planTarget },
    { name: question, service, idempotent: true, target: questionTarget }
  ]
}

/** @example nameOf(3) // 'engine-3' */
export function nameOf (index: number): UpstreamName {
  return upstreamNameSchema.parse(`engine-${index}`)
}

/** @example idOf(3) */
export function idOf (number: number): RequestId {
  return requestIdSchema.parse(`home.${String(number).padStart(16, '0')}`)
}

export function view (index: number, leaving = false): UpstreamView {
  return {
    name: nameOf(index),
    service,
    failureDomain: failureDomainSchema.parse(`domain-${index % 3}`),
    address: addressSchema.parse('127.0.0.1:1'),
    protocol: 'model',
    leaving,
    inFlight: 0
  }
}

export function attempt (number: number, changes: Partial<PendingAttempt> = {}): PendingAttempt {
  return {
    id: idOf(number),
    organisation: large,
    class: plan,
    attempt: 1,
    arrivedAt: 0,
    promptTokens: 100,
    maxTokens: 100,
    tokensSoFar: 0,
    prefixBlocks: [],
    adapter: undefined,
    excluded: [],
    apart: false,
    accepted: false,
    ...changes
  }
}

export function report (index: number, running: number, waiting: number): LoadReport {
  return { upstream: nameOf(index), running, waiting, cacheUsed: 0, ageMs: 0, leaving: false, models: [], adapters: [], role: 'mixed', generation: 0 }
}
