/**
 * Speed of the upstreams of one service and machine class, estimated from their answers. The estimates are medians
 * and high quantiles of observed durations, so they include the usual queueing.
 */
import type { Milliseconds } from '../clock.js'
import { createQuantileEstimate } from './quantile.js'

/** One answer as observed by this node. Durations are measured from the dispatch. */
export interface ObservedAnswer {
  /** Time to the first token. */
  readonly firstToken: Milliseconds
  /** Time to the end of the answer. */
  readonly whole: Milliseconds
  /** Prompt tokens that were not served from the cache. */
  readonly computedTokens: number
  readonly generatedTokens: number
}

/** Expected durations of an answer, measured from the dispatch. */
export interface ExpectedAnswer {
  readonly firstToken: Milliseconds
  readonly whole: Milliseconds
}

/** Speed of the model engines of one service and machine class. */
export interface EngineEstimate {
  observe (answer: ObservedAnswer): void
  /** Median time to compute one prompt token. */
  prefillTime (): Milliseconds
  /** Median time between two tokens of one answer. */
  tokenTime (): Milliseconds
  /** Durations that nine out of ten answers do not exceed. */
  expect (computedTokens: number, generatedTokens: number): ExpectedAnswer
}

/** Speed of the upstreams of a plain service, measured by the duration of whole answers. */
export interface PlainEstimate {
  observe (whole: Milliseconds): void
  /** Median duration of an answer. */
  median (): Milliseconds
  /** Duration that nine out of ten answers do not exceed. */
  highQuantile (): Milliseconds
}

const HIGH_QUANTILE = 0.9
const MEDIAN_QUANTILE = 0.5

/**
 * With fewer computed tokens than this, the time to the first token is dominated by overhead and says little about
 * the prefill rate.
 */
const SHORT_PROMPT_TOKENS = 256

/**
 * Estimates before the first answer. They describe a slow engine, so that initially too few rather than too many
 * requests are sent. Times in milliseconds.
 */
const INITIAL_ESTIMATE = {
  prefillTime: 0.2,
  overhead: 50,
  tokenTime: 30,
  firstTokenRatio: 1.5,
  plain: 50
} as const

/**
 * Maximum ratio of observed to expected time to the first token that is recorded. A higher ratio means that the
 * engine was stalled, and says nothing about its usual queueing.
 */
const MAX_FIRST_TOKEN_RATIO = 8

/**
 * Creates an estimate for the engines of one machine class.
 *
 * @example
 * const estimate = createEngineEstimate()
 * estimate.observe({ firstToken: 220, whole: 2_700, computedTokens: 1_200, generatedTokens: 100 })
 * estimate.expect(4_000, 800).whole
 */
export function createEngineEstimate (): EngineEstimate {
  const prefillTime = createQuantileEstimate(MEDIAN_QUANTILE, INITIAL_ESTIMATE.prefillTime)
  const overhead = createQuantileEstimate(MEDIAN_QUANTILE, INITIAL_ESTIMATE.overhead)
  const tokenTime = createQuantileEstimate(MEDIAN_QUANTILE, INITIAL_ESTIMATE.tokenTime)
  const highTokenTime = createQuantileEstimate(HIGH_QUANTILE, INITIAL_ESTIMATE.tokenTime)
  const highFirstTokenRatio = createQuantileEstimate(HIGH_QUANTILE, INITIAL_ESTIMATE.firstTokenRatio)

  function medianFirstToken (computedTokens: number): Milliseconds {
    return overhead.value() + computedTokens * prefillTime.value()
  }

  function observeFirstToken (answer: ObservedAnswer): void {
    const { computedTokens, firstToken } = answer
    if (computedTokens < SHORT_PROMPT_TOKENS) overhead.observe(Math.max(1, firstToken - computedTokens * prefillTime.value()))
    else prefillTime.observe((firstToken - overhead.value()) / computedTokens)
    highFirstTokenRatio.observe(Math.min(MAX_FIRST_TOKEN_RATIO, firstToken / medianFirstToken(computedTokens)))
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
      const firstToken = medianFirstToken(computedTokens) * Math.max(1, highFirstTokenRatio.value())
      return { firstToken, whole: firstToken + generatedTokens * Math.max(tokenTime.value(), highTokenTime.value()) }
    }
  }
}

/**
 * Creates an estimate for the upstreams of a plain service.
 *
 * @example
 * const estimate = createPlainEstimate()
 * estimate.observe(35)
 * estimate.highQuantile()
 */
export function createPlainEstimate (): PlainEstimate {
  const median = createQuantileEstimate(MEDIAN_QUANTILE, INITIAL_ESTIMATE.plain)
  const high = createQuantileEstimate(HIGH_QUANTILE, INITIAL_ESTIMATE.plain)
  return {
    observe: (whole) => {
      median.observe(whole)
      high.observe(whole)
    },
    median: median.value,
    highQuantile: () => Math.max(median.value(), high.value())
  }
}
