/**
 * Two deployments as mixes of work: classes with targets, organisations of which a
 * few are large, prompts that share their beginnings, and the machines that serve them.
 */
import type { Configuration, Target } from '../../src/configuration/index.js'
import { classNameSchema, organisationNameSchema, serviceNameSchema } from '../../src/identifiers.js'
import type { ClassName, OrganisationName, ServiceName } from '../../src/identifiers.js'
import type { EngineShape } from './engine.js'

/** One class of work in a mix. */
export interface ClassMix {
  readonly name: ClassName
  readonly service: ServiceName
  readonly idempotent: boolean
  readonly target: Target
  /** Requests a second at load 1. */
  readonly rate: number
  /** Blocks of the prompt that all requests of an organisation share. */
  readonly organisationBlocks: number
  /** Blocks that all requests about one subject share: a household, a railway line. */
  readonly subjectBlocks: number
  /** Blocks of its own. */
  readonly ownBlocks: number
  readonly maxTokens: number
  /** Shortest answer as a share of the longest. */
  readonly shortest: number
}

/** One deployment. */
export interface Mix {
  readonly name: string
  readonly engines: number
  readonly plainServers: number
  readonly shape: EngineShape
  readonly classes: readonly ClassMix[]
  readonly organisations: readonly { readonly name: OrganisationName, readonly share: number }[]
  /** Subjects of one organisation. */
  readonly subjects: number
}

/** Tokens of one prompt block. */
export const BLOCK_TOKENS = 128

/** Mean time of a call of a plain service, in milliseconds. */
export const PLAIN_TIME = 40

/** Calls that a plain server works on at a time. */
export const PLAIN_WORKERS = 8

const MODEL = serviceNameSchema.parse('model')
const PLAIN = serviceNameSchema.parse('plain')

const SHAPE: EngineShape = { batch: 24, stepTime: 10, answerTime: 0.5, prefillRate: 25, chunk: 384, cacheBlocks: 600 }

const organisations = [
  { name: 'large-one', share: 0.4 },
  { name: 'large-two', share: 0.3 },
  { name: 'middle', share: 0.15 },
  { name: 'small-one', share: 0.1 },
  { name: 'small-two', share: 0.05 }
].map(({ name, share }) => ({ name: organisationNameSchema.parse(name), share }))

/** Service plans and short questions on 13 engines; bookings on 3 plain servers. */
export const calcaria: Mix = {
  name: 'Calcária',
  engines: 13,
  plainServers: 3,
  shape: SHAPE,
  organisations,
  subjects: 60,
  classes: [
    {
      name: classNameSchema.parse('service-plan'),
      service: MODEL,
      idempotent: true,
      target: { first_token_ms: 8_000, whole_answer_ms: 40_000, quantile: 0.95, reliability: 0.95 },
      rate: 11,
      organisationBlocks: 4,
      subjectBlocks: 27,
      ownBlocks: 4,
      maxTokens: 800,
      shortest: 0.6
    },
    {
      name: classNameSchema.parse('short-question'),
      service: MODEL,
      idempotent: true,
      target: { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 5_000, quantile: 0.95, reliability: 0.99 },
      rate: 30,
      organisationBlocks: 4,
      subjectBlocks: 2,
      ownBlocks: 1,
      maxTokens: 100,
      shortest: 0.4
    },
    bookingClass('booking', 90)
  ]
}

/** Closure plans and stop notices on 6 engines; crew confirmations on 3 plain servers. */
export const tsubame: Mix = {
  name: 'Tsubame',
  engines: 6,
  plainServers: 3,
  shape: SHAPE,
  organisations,
  subjects: 20,
  classes: [
    {
      name: classNameSchema.parse('closure-plan'),
      service: MODEL,
      idempotent: true,
      target: { first_token_ms: 10_000, whole_answer_ms: 60_000, quantile: 0.95, reliability: 0.95 },
      rate: 2.7,
      organisationBlocks: 8,
      subjectBlocks: 48,
      ownBlocks: 8,
      maxTokens: 1_200,
      shortest: 0.6
    },
    {
      name: classNameSchema.parse('stop-notice'),
      service: MODEL,
      idempotent: true,
      target: { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 6_000, quantile: 0.95, reliability: 0.99 },
      rate: 12,
      organisationBlocks: 4,
      subjectBlocks: 3,
      ownBlocks: 1,
      maxTokens: 120,
      shortest: 0.5
    },
    bookingClass('crew-confirmation', 90)
  ]
}

function bookingClass (name: string, rate: number): ClassMix {
  return {
    name: classNameSchema.parse(name),
    service: PLAIN,
    idempotent: false,
    target: { whole_answer_ms: 1_000, quantile: 0.99, reliability: 0.999 },
    rate,
    organisationBlocks: 0,
    subjectBlocks: 0,
    ownBlocks: 0,
    maxTokens: 0,
    shortest: 1
  }
}

/**
 * The operators' configuration of a mix.
 *
 * @example
 * scheduler.handle({ kind: 'configured', configuration: configurationOf(calcaria) }, 0)
 */
export function configurationOf (mix: Mix): Configuration {
  return {
    deployment: { name: mix.name, target: { cost_per_thousand_answers: 1, recomputed_per_thousand_tokens: 10 } },
    services: [
      { kind: 'model', name: MODEL, model: 'assistant', adapters: [] },
      { kind: 'plain', name: PLAIN }
    ],
    organisations: mix.organisations.map(({ name }) => ({ name, key_sha256: ['0'.repeat(64)] })),
    classes: mix.classes.map(({ name, service, idempotent, target }) => ({ name, service, idempotent, target }))
  }
}

/**
 * Whether requests of a class go to the plain servers.
 *
 * @example
 * calcaria.classes.filter(isPlain)
 */
export function isPlain (classMix: ClassMix): boolean {
  return classMix.service === PLAIN
}

/** Names of the two services of every mix. */
export const services = { model: MODEL, plain: PLAIN } as const
