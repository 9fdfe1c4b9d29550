/**
 * Estimates how fast the engines of a service prefill prompts, from the times to the first event of their streams.
 *
 * The speed of engines is not configured. If it is estimated too low, more engines are ordered than the work needs, and
 * requests are kept away from engines that have room. If it is estimated too high, requests queue behind long prompts.
 *
 * The time to the first event consists of a fixed part, the prefill, and the time that the engine spent on other
 * requests. Queueing only adds to this time, and cached tokens that the node does not know of only reduce it. Therefore a
 * quantile below the median is fitted (Koenker and Bassett, Regression quantiles, 1978) over prompt sizes that differ by a
 * factor of a hundred.
 */
import type { Milliseconds } from '../clock.js'

/** Coefficients of the time to the first event of a prompt. */
export interface EngineSpeed {
  /** Time to the first event of an empty prompt. */
  readonly base: Milliseconds
  /** Added for each 1,000 tokens of prefill. */
  readonly perThousandTokens: Milliseconds
  /** Attention: added for each million pairs of a prefilled token and a token before it. */
  readonly perMillionPairs: Milliseconds
}

/** One prompt whose first event has arrived. */
export interface PrefillSample {
  /** Tokens that had to be prefilled, as far as known. */
  readonly tokens: number
  /** Tokens before them that were in the engine's cache, as far as known. */
  readonly cached: number
  /** Time from the dispatch to the first event. */
  readonly took: Milliseconds
}

/** Estimate of one node, as reported to others. */
export interface EstimatedSpeed extends EngineSpeed {
  /** Number of samples it is based on. */
  readonly samples: number
}

/** Estimates the speed of one service's engines. */
export interface SpeedEstimator {
  /** Adds a sample. */
  observe (sample: PrefillSample): void
  /** Refits the estimate to the samples observed since the last call. To be called at regular intervals. */
  update (): void
  /** Latest estimate; {@link ASSUMED_SPEED} until there are enough samples. */
  speed (): EstimatedSpeed
}

/**
 * Speed of engines for which there are no samples. A mixture-of-experts model of some 700 billion parameters on a current
 * accelerator prefills 50 to 100 tokens per millisecond. The value is in the slow half of this range, so that enough
 * engines are ordered for the first requests.
 */
export const ASSUMED_SPEED: EngineSpeed = { base: 30, perThousandTokens: 16, perMillionPairs: 0.37 }

/** Samples kept per service. A node gets some ten per second, so they cover about the last half minute. */
const MAX_SAMPLES = 240

/** Samples needed for an estimate. */
const MIN_SAMPLES = 12

/**
 * Quantile that is fitted. With a third of the prompts queued for up to 150 ms behind others, the estimated times are
 * 0.4 % wrong, and 1.5 % with the median (emulated engines of test/placement/speed.test.ts, mean of 20 seeds).
 */
const QUANTILE = 0.3

/** Weight of {@link ASSUMED_SPEED} in the fit, in samples that deviate from it by its own size. */
const PRIOR_WEIGHT = 2

/**
 * Largest relative change of a coefficient at one update, so that a short burst of late answers moves
 * it little while a lasting change is followed within some updates.
 */
const MAX_CHANGE_PER_UPDATE = 0.2

/** Iterations of reweighting. The coefficients converge to within 1 % after ten. */
const FIT_ITERATIONS = 12

/** Relative deviation below which all samples have the same weight. */
const MIN_RELATIVE_DEVIATION = 0.02

/** Smallest accepted coefficient, relative to {@link ASSUMED_SPEED}. */
const MIN_FACTOR = 1 / 8

/** Largest accepted coefficient, relative to {@link ASSUMED_SPEED}. */
const MAX_FACTOR = 8

const THOUSAND = 1_000
const MILLION = 1_000_000

type Vector = readonly [number, number, number]

/**
 * Computes the time that an engine needs for a prefill, without the fixed time of each prompt.
 *
 * @param tokens to be prefilled
 * @param cached tokens before them that are in the engine's cache
 * @param speed of the engine
 * @example
 * prefillTime(6_000, 5_000, ASSUMED_SPEED) // 114 ms
 */
export function prefillTime (tokens: number, cached: number, speed: EngineSpeed): Milliseconds {
  const [, thousands, pairs] = featuresOf({ tokens, cached })
  return thousands * speed.perThousandTokens + pairs * speed.perMillionPairs
}

/**
 * Creates an estimator that starts at {@link ASSUMED_SPEED}.
 *
 * @example
 * const estimator = createSpeedEstimator()
 * estimator.observe({ tokens: 6_000, cached: 5_000, took: 140 })
 * estimator.update()
 * estimator.speed().perThousandTokens
 */
export function createSpeedEstimator (): SpeedEstimator {
  const samples: PrefillSample[] = []
  let current: Vector = toVector(ASSUMED_SPEED)
  let hasNewSamples = false

  return {
    observe: (sample) => {
      samples.push(sample)
      if (samples.length > MAX_SAMPLES) samples.shift()
      hasNewSamples = true
    },
    update: () => {
      if (!hasNewSamples || samples.length < MIN_SAMPLES) return
      hasNewSamples = false
      const fitted = fit(samples, current)
      current = mapVector((index) => limitChange(current[index], fitted[index], toVector(ASSUMED_SPEED)[index]))
    },
    speed: () => ({ ...toSpeed(current), samples: samples.length < MIN_SAMPLES ? 0 : samples.length })
  }
}

/**
 * Combines the estimates of several nodes by the weighted median of each coefficient. A node with few samples or with a
 * slow network link to its engines hardly changes the result.
 *
 * @returns {@link ASSUMED_SPEED} where no estimate has samples
 * @example
 * combineSpeeds([own.speed(), ...others]).perThousandTokens
 */
export function combineSpeeds (estimates: readonly EstimatedSpeed[]): EngineSpeed {
  const known = estimates.filter(({ samples }) => samples > 0)
  if (known.length === 0) return ASSUMED_SPEED
  return toSpeed(mapVector((index) => weightedMedian(known.map((speed) => [toVector(speed)[index], speed.samples]))))
}

/**
 * Rounds the coefficients of an estimate.
 *
 * @param digits significant digits to keep
 * @example
 * roundSpeed(estimator.speed(), 3).base // 31.4 of 31.4159
 */
export function roundSpeed ({ base, perThousandTokens, perMillionPairs, samples }: EstimatedSpeed, digits: number): EstimatedSpeed {
  const roundToDigits = (value: number): number => Number(value.toPrecision(digits))
  return { base: roundToDigits(base), perThousandTokens: roundToDigits(perThousandTokens), perMillionPairs: roundToDigits(perMillionPairs), samples }
}

/**
 * Fits the quantile by iteratively reweighted least squares. {@link ASSUMED_SPEED} enters as a prior, which determines the
 * coefficients that the samples leave open.
 */
function fit (samples: readonly PrefillSample[], start: Vector): Vector {
  const assumed = toVector(ASSUMED_SPEED)
  let values = start
  for (let round = 0; round < FIT_ITERATIONS; round += 1) {
    const matrix = [[0, 0, 0], [0, 0, 0], [0, 0, 0]]
    const right = [0, 0, 0]
    for (const sample of samples) {
      const features = featuresOf(sample)
      const expected = Math.max(1, dot(features, values))
      const deviation = (sample.took - expected) / expected
      const weight = (deviation > 0 ? QUANTILE : 1 - QUANTILE) / Math.max(MIN_RELATIVE_DEVIATION, Math.abs(deviation)) / expected ** 2
      for (const row of [0, 1, 2] as const) {
        right[row]! += weight * features[row] * sample.took
        for (const column of [0, 1, 2] as const) matrix[row]![column]! += weight * features[row] * features[column]
      }
    }
    for (const index of [0, 1, 2] as const) {
      const weight = PRIOR_WEIGHT / assumed[index] ** 2
      matrix[index]![index]! += weight
      right[index]! += weight * assumed[index]
    }
    const solved = solve(matrix, right)
    values = mapVector((index) => clamp(solved[index], assumed[index] * MIN_FACTOR, assumed[index] * MAX_FACTOR))
  }
  return values
}

function limitChange (before: number, wanted: number, assumed: number): number {
  const step = MAX_CHANGE_PER_UPDATE * Math.max(before, assumed * MIN_FACTOR)
  return before + clamp(wanted - before, -step, step)
}

/** Cramer's rule. The prior keeps the determinant from being zero. */
function solve (matrix: readonly (readonly number[])[], right: readonly number[]): Vector {
  const denominator = determinant(matrix)
  return mapVector((index) => determinant(matrix.map((row, line) => row.map((value, column) => column === index ? right[line]! : value))) / denominator)
}

function determinant ([a, b, c]: readonly (readonly number[])[]): number {
  return a![0]! * (b![1]! * c![2]! - b![2]! * c![1]!) - a![1]! * (b![0]! * c![2]! - b![2]! * c![0]!) + a![2]! * (b![0]! * c![1]! - b![1]! * c![0]!)
}

function weightedMedian (entries: readonly (readonly [value: number, weight: number])[]): number {
  const sorted = [...entries].sort(([left], [right]) => left - right)
  const half = sorted.reduce((sum, [, weight]) => sum + weight, 0) / 2
  let cumulativeWeight = 0
  for (const [value, weight] of sorted) {
    cumulativeWeight += weight
    if (cumulativeWeight >= half) return value
  }
  return sorted.at(-1)?.[0] ?? 0
}

function featuresOf ({ tokens, cached }: Pick<PrefillSample, 'tokens' | 'cached'>): Vector {
  return [1, tokens / THOUSAND, tokens * (cached + tokens / 2) / MILLION]
}

function toVector ({ base, perThousandTokens, perMillionPairs }: EngineSpeed): Vector {
  return [base, perThousandTokens, perMillionPairs]
}

function toSpeed ([base, perThousandTokens, perMillionPairs]: Vector): EngineSpeed {
  return { base, perThousandTokens, perMillionPairs }
}

function mapVector (valueAt: (index: 0 | 1 | 2) => number): Vector {
  return [valueAt(0), valueAt(1), valueAt(2)]
}

function dot (left: Vector, right: Vector): number {
  return left[0] * right[0] + left[1] * right[1] + left[2] * right[2]
}

function clamp (value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}
