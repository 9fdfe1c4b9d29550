/** What runs on engines at the moment of a reclaim, for both deployments. Seeded. */
import type { Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { failureDomainSchema, requestIdSchema, upstreamNameSchema } from '../src/identifiers.js'
import type { UpstreamName } from '../src/identifiers.js'
import type { Random } from '../src/random.js'
import type { OpenStream, ReclaimTarget } from '../src/upstream/reclaim/index.js'

/** One kind of work on the engines. */
interface WorkKind {
  readonly share: number
  readonly prompt: readonly [number, number]
  readonly answer: readonly [number, number]
  readonly target: Milliseconds
}

/** One deployment's engines and their work. */
export interface ReclaimMix {
  readonly name: string
  readonly engines: number
  readonly domains: number
  /** Answers decoded at a time by each engine, and how many run at the reclaim. */
  readonly batch: number
  readonly running: number
  readonly recomputedPerThousandTokens: number
  readonly work: readonly WorkKind[]
}

/** A stream with what nobody knows beforehand. */
export interface HiddenStream {
  readonly open: OpenStream
  readonly trueRemaining: number
}

/** An engine at the moment of the notice. */
export interface EngineState {
  readonly name: UpstreamName
  readonly target: ReclaimTarget
  readonly streams: readonly HiddenStream[]
}

/** Tokens of cache a link is believed to carry per millisecond: 128 KB a token on ten gigabits a second. */
export const BELIEVED_RATE = 10

/** Prompt tokens that an engine computes per millisecond. */
export const PREFILL_RATE = 10

/** Time for a token at the usual load. */
export const TOKEN_TIME: Milliseconds = 20

/** Service plans and short questions on 13 engines. */
export const CALCARIA: ReclaimMix = {
  name: 'Calcária',
  engines: 13,
  domains: 3,
  batch: 16,
  running: 10,
  recomputedPerThousandTokens: 60,
  work: [
    { share: 0.6, prompt: [4_000, 16_000], answer: [500, 1_500], target: 40 * SECOND },
    { share: 0.4, prompt: [200, 800], answer: [40, 200], target: 8 * SECOND }
  ]
}

/** Closure plans and stop notices on 6 engines. */
export const TSUBAME: ReclaimMix = {
  name: 'Tsubame',
  engines: 6,
  domains: 3,
  batch: 16,
  running: 10,
  recomputedPerThousandTokens: 15,
  work: [
    { share: 0.7, prompt: [6_000, 24_000], answer: [800, 2_500], target: 70 * SECOND },
    { share: 0.3, prompt: [150, 400], answer: [30, 120], target: 6 * SECOND }
  ]
}

/** Share of long prompts whose beginning is cached at one other engine too, and how much of it. */
const SHARED_PREFIX = 0.4
const LARGEST_PREFIX = 0.3

/** Estimates of the remaining tokens are wrong by up to this factor either way. */
const WORST_ESTIMATE = 1.6

/**
 * @example
 * const engines = createEngines(CALCARIA, createRandom(1))
 */
export function createEngines (mix: ReclaimMix, random: Random): readonly EngineState[] {
  const names = Array.from({ length: mix.engines }, (_, index) => upstreamNameSchema.parse(`engine-${String(index).padStart(2, '0')}`))
  return names.map((name, index) => ({
    name,
    target: {
      upstream: name,
      failureDomain: failureDomainSchema.parse(`zone-${index % mix.domains}`),
      leaving: false,
      freeCacheTokens: (mix.batch - mix.running) * 24_000,
      freeSlots: mix.batch - mix.running,
      prefillRate: PREFILL_RATE,
      tokenTime: TOKEN_TIME,
      importRate: BELIEVED_RATE
    },
    streams: Array.from({ length: mix.running }, (_, stream) => createStream(mix, names, index * mix.running + stream, random))
  }))
}

function createStream (mix: ReclaimMix, names: readonly UpstreamName[], index: number, random: Random): HiddenStream {
  const kind = pickKind(mix, random)
  const promptTokens = between(kind.prompt, random)
  const answerTokens = between(kind.answer, random)
  const generatedTokens = Math.floor(answerTokens * random.fraction())
  const trueRemaining = answerTokens - generatedTokens
  const age = promptTokens / PREFILL_RATE + generatedTokens * TOKEN_TIME
  const prefix = random.fraction() < SHARED_PREFIX ? Math.floor(promptTokens * LARGEST_PREFIX * random.fraction()) : 0
  return {
    trueRemaining,
    open: {
      id: requestIdSchema.parse(`entry-1.${String(index).padStart(16, '0')}`),
      idempotent: true,
      promptTokens,
      generatedTokens,
      remainingTokens: Math.ceil(trueRemaining * WORST_ESTIMATE ** (2 * random.fraction() - 1)),
      cachedTokens: promptTokens + generatedTokens,
      tokenTime: TOKEN_TIME,
      slack: kind.target - age,
      prefixHits: prefix === 0 ? [] : [{ upstream: random.pick(names), tokens: prefix }]
    }
  }
}

function pickKind (mix: ReclaimMix, random: Random): WorkKind {
  const [first, second] = mix.work as readonly [WorkKind, WorkKind]
  return random.fraction() < first.share ? first : second
}

function between ([least, most]: readonly [number, number], random: Random): number {
  return least + random.integer(most - least + 1)
}
