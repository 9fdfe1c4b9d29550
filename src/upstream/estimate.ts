/**
 * How fast the upstreams of one service and machine class are, learnt from their answers. Times are
 * medians or high quantiles of what was observed, so queueing that is usual is part of them.
 */
import type { Milliseconds } from '../clock.js'
import { createQuantileEstimate } from './quantile.js'

/** One answer as this node saw it. Durations count from its dispatch. */
export interface ObservedAnswer {
  readonly firstToken: Milliseconds
  readonly whole: Milliseconds
  /** Prompt tokens that were not found in the cache. */
  readonly computedTokens: number
  readonly generatedTokens: number
}

/** Expected times of an answer, from its dispatch. */
export interface ExpectedAnswer {
  readonly firstToken: Milliseconds
  readonly whole: Milliseconds
}

/** Speeds of the model engines of one service and machine class. */
export interface EngineEstimate {
  observe (answer: ObservedAnswer): void
  /** Time to compute one prompt token. */
  prefillTime (): Milliseconds
  /** Median time between two tokens of one answer. */
  tokenTime (): Milliseconds
  /** Times that nine answers in ten keep. */
  expect (computedTokens: number, generatedTokens: number): ExpectedAnswer
}

/** Speed of the plain services of one service, by the time of whole answers. */
export interface PlainEstimate {
  observe (whole: Milliseconds): void
  median (): Milliseconds
  /** Time that nine answers in ten keep. */
  high (): Milliseconds
}

const HIGH = 0.9
const MEDIAN = 0.5

/** Below this many computed tokens the first token shows the overhead rather than the prefill. */
const SHORT_PROMPT = 256

/** Priors of a cold start: a slow engine, so that too little rather than too much is sent at first. */
const PRIOR = {
  prefillTime: 0.2,
  overhead: 50,
  tokenTime: 30,
  spread: 1.5,
  plain: 50
} as const

/** A spread beyond this says that the engine was stuck, not how it queues. */
const LARGEST_SPREAD = 8

/**
 * @example
 * const estimate = createEngineEstimate()
 * estimate.observe({ firstToken: 220, whole: 2_700, computedTokens: 1_200, generatedTokens: 100 })
 * estimate.expect(4_000, 800).whole
 */
export function createEngineEstimate (): EngineEstimate {
  const prefillTime = createQuantileEstimate(MEDIAN, PRIOR.prefillTime)
  const overhead = createQuantileEstimate(MEDIAN, PRIOR.overhead)
  const tokenTime = createQuantileEstimate(MEDIAN, PRIOR.tokenTime)
  const highTokenTime = createQuantileEstimate(HIGH, PRIOR.tokenTime)
  const spread = createQuantileEstimate(HIGH, PRIOR.spread)

  function usualFirstToken (computedTokens: number): Milliseconds {
    return overhead.value() + computedTokens * prefillTime.value()
  }

  function observeFirstToken (answer: ObservedAnswer): void {
    const { computedTokens, firstToken } = answer
    if (computedTokens < SHORT_PROMPT) overhead.observe(Math.max(1, firstToken - computedTokens * prefillTime.value()))
    else prefillTime.observe((firstToken - overhead.value()) / computedTokens)
    spread.observe(Math.min(LARGEST_SPREAD, firstToken / usualFirstToken(computedTokens)))
  }

  return {
    observe: (answer) => {
      observeFirstToken(answer)
      if (answer.generatedTokens < 2) return
      const perToken = (answer.whole - answer.firstToken) / (answer.generatedTokens - 1)
      tokenTime.observe(perToken)
      highTokenTime.observe(perToken)
    },
    prefillTime: prefillTime.value,
    tokenTime: tokenTime.value,
    expect: (computedTokens, generatedTokens) => {
      const firstToken = usualFirstToken(computedTokens) * Math.max(1, spread.value())
      return { firstToken, whole: firstToken + generatedTokens * Math.max(tokenTime.value(), highTokenTime.value()) }
    }
  }
}

/**
 * @example
 * const estimate = createPlainEstimate()
 * estimate.observe(35)
 * estimate.high()
 */
export function createPlainEstimate (): PlainEstimate {
  const median = createQuantileEstimate(MEDIAN, PRIOR.plain)
  const high = createQuantileEstimate(HIGH, PRIOR.plain)
  return {
    observe: (whole) => {
      median.observe(whole)
      high.observe(whole)
    },
    median: median.value,
    high: () => Math.max(median.value(), high.value())
  }
}
