/**
 * How fast the engines of a service read prompts, learnt from the first events of their streams.
 *
 * Load pattern answered: engines of a kind that nobody has told the system of. Where it takes them for slower than they
 * are, it orders more of them than the work needs and keeps requests away from engines that have room; where it takes
 * them for faster, requests wait behind long prompts.
 *
 * What is seen of a prompt is the time to its first event: a fixed part, the reading, and whatever the engine did
 * before and in between. Waiting only adds to it and what the engine had kept of the prompt only takes away, so a
 * quantile below the median is fitted (Koenker and Bassett, Regression quantiles, 1978) over sizes that differ a
 * hundredfold.
 */
import type { Milliseconds } from '../clock.js'

/** How fast an engine reads. */
export interface EngineSpeed {
  /** Time to the first event of a prompt without tokens. */
  readonly base: Milliseconds
  /** For each 1,000 tokens that are read. */
  readonly perThousandTokens: Milliseconds
  /** Attention: for each million pairs of a token that is read and one before it. */
  readonly perMillionPairs: Milliseconds
}

/** One prompt whose first event came. */
export interface ReadingSample {
  /** Tokens that had to be read, as far as known. */
  readonly tokens: number
  /** Tokens before them that the engine had kept, as far as known. */
  readonly cached: number
  /** Time from the send to the first event. */
  readonly took: Milliseconds
}

/** What one node has learnt, as it tells it to others. */
export interface LearntSpeed extends EngineSpeed {
  /** Samples that it rests on. */
  readonly samples: number
}

/** Learns the speed of one service's engines. */
export interface SpeedEstimator {
  observe (sample: ReadingSample): void
  /** Takes in what was observed since the last time; to be called at even intervals. */
  update (): void
  /** {@link ASSUMED_SPEED} until there are samples. */
  speed (): LearntSpeed
}

/**
 * Speed of engines of which nothing was seen. A mixture-of-experts model of some 700 billion parameters on a current
 * accelerator reads 50 to 100 tokens in a millisecond; of the range, a value at which the first wave isn't met by too few.
 */
export const ASSUMED_SPEED: EngineSpeed = { base: 30, perThousandTokens: 16, perMillionPairs: 0.37 }

/** Samples that are kept. They come at some ten a second and node, so that what is kept is of the last half minute. */
const KEPT_SAMPLES = 240

/** Samples from which on an estimate is made. */
const FEWEST_SAMPLES = 12

/**
 * Quantile that is fitted. Where a third of the prompts wait for up to 150 ms behind others, the time that prompts take is
 * learnt 0.4 % wrong, and 1.5 % with the median (emulated engines of test/placement/speed.test.ts, mean of 20 seeds).
 */
const QUANTILE = 0.3

/** The assumption counts as so many samples that deviate from it by its own size. */
const ASSUMPTION_WEIGHT = 2

/** Most that a value changes at one update. A wave of late answers is over, or seen to be none, after some of them. */
const MOST_CHANGE = 0.2

/** Rounds of reweighting; the values stand still to a hundredth after ten. */
const ROUNDS = 12

/** Relative deviation below which samples count alike. */
const CLOSE = 0.02

/** Slowest and fastest engines that are believed, relative to the assumption. */
const LEAST_FACTOR = 1 / 8
const MOST_FACTOR = 8

const THOUSAND = 1_000
const MILLION = 1_000_000

type Vector = readonly [number, number, number]

/**
 * Time that an engine reads, without the time that each prompt takes whatever its length.
 *
 * @param tokens to be read
 * @param cached tokens before them that are kept already
 * @example
 * readingTime(6_000, 5_000, ASSUMED_SPEED) // 114 ms
 */
export function readingTime (tokens: number, cached: number, speed: EngineSpeed): Milliseconds {
  const [, thousands, pairs] = featuresOf({ tokens, cached })
  return thousands * speed.perThousandTokens + pairs * speed.perMillionPairs
}

/**
 * @example
 * const estimator = createSpeedEstimator()
 * estimator.observe({ tokens: 6_000, cached: 5_000, took: 140 })
 * estimator.update()
 * estimator.speed().perThousandTokens
 */
export function createSpeedEstimator (): SpeedEstimator {
  const samples: ReadingSample[] = []
  let present: Vector = toVector(ASSUMED_SPEED)
  let isNews = false

  return {
    observe: (sample) => {
      samples.push(sample)
      if (samples.length > KEPT_SAMPLES) samples.shift()
      isNews = true
    },
    update: () => {
      if (!isNews || samples.length < FEWEST_SAMPLES) return
      isNews = false
      const fitted = fit(samples, present)
      present = mapVector((index) => limitChange(present[index], fitted[index], toVector(ASSUMED_SPEED)[index]))
    },
    speed: () => ({ ...toSpeed(present), samples: samples.length < FEWEST_SAMPLES ? 0 : samples.length })
  }
}

/**
 * What several nodes have learnt, by the weighted median of each value: a node that sees little, or sees its engines
 * through a bad link, doesn't move the rest.
 *
 * @example
 * combineSpeeds([own.speed(), ...others]).perThousandTokens
 */
export function combineSpeeds (learnt: readonly LearntSpeed[]): EngineSpeed {
  const known = learnt.filter(({ samples }) => samples > 0)
  if (known.length === 0) return ASSUMED_SPEED
  return toSpeed(mapVector((index) => weightedMedian(known.map((speed) => [toVector(speed)[index], speed.samples]))))
}

/**
 * @param digits that are kept of each value
 * @example
 * roundSpeed(estimator.speed(), 3).base // 31.4 of 31.4159
 */
export function roundSpeed ({ base, perThousandTokens, perMillionPairs, samples }: LearntSpeed, digits: number): LearntSpeed {
  const round = (value: number): number => Number(value.toPrecision(digits))
  return { base: round(base), perThousandTokens: round(perThousandTokens), perMillionPairs: round(perMillionPairs), samples }
}

/** Weighted least squares, reweighted so that the residuals' quantile is zero; the assumption holds what the samples leave open. */
function fit (samples: readonly ReadingSample[], start: Vector): Vector {
  const assumed = toVector(ASSUMED_SPEED)
  let values = start
  for (let round = 0; round < ROUNDS; round += 1) {
    const matrix = [[0, 0, 0], [0, 0, 0], [0, 0, 0]]
    const right = [0, 0, 0]
    for (const sample of samples) {
      const features = featuresOf(sample)
      const expected = Math.max(1, dot(features, values))
      const deviation = (sample.took - expected) / expected
      const weight = (deviation > 0 ? QUANTILE : 1 - QUANTILE) / Math.max(CLOSE, Math.abs(deviation)) / expected ** 2
      for (const row of [0, 1, 2] as const) {
        right[row]! += weight * features[row] * sample.took
        for (const column of [0, 1, 2] as const) matrix[row]![column]! += weight * features[row] * features[column]
      }
    }
    for (const index of [0, 1, 2] as const) {
      const weight = ASSUMPTION_WEIGHT / assumed[index] ** 2
      matrix[index]![index]! += weight
      right[index]! += weight * assumed[index]
    }
    const solved = solve(matrix, right)
    values = mapVector((index) => clamp(solved[index], assumed[index] * LEAST_FACTOR, assumed[index] * MOST_FACTOR))
  }
  return values
}

function limitChange (before: number, wanted: number, assumed: number): number {
  const step = MOST_CHANGE * Math.max(before, assumed * LEAST_FACTOR)
  return before + clamp(wanted - before, -step, step)
}

/** Cramer's rule; the assumption keeps the determinant from zero. */
function solve (matrix: readonly (readonly number[])[], right: readonly number[]): Vector {
  const whole = determinant(matrix)
  return mapVector((index) => determinant(matrix.map((row, line) => row.map((value, column) => column === index ? right[line]! : value))) / whole)
}

function determinant ([a, b, c]: readonly (readonly number[])[]): number {
  return a![0]! * (b![1]! * c![2]! - b![2]! * c![1]!) - a![1]! * (b![0]! * c![2]! - b![2]! * c![0]!) + a![2]! * (b![0]! * c![1]! - b![1]! * c![0]!)
}

function weightedMedian (entries: readonly (readonly [value: number, weight: number])[]): number {
  const sorted = [...entries].sort(([left], [right]) => left - right)
  const half = sorted.reduce((sum, [, weight]) => sum + weight, 0) / 2
  let passed = 0
  for (const [value, weight] of sorted) {
    passed += weight
    if (passed >= half) return value
  }
  return sorted.at(-1)?.[0] ?? 0
}

function featuresOf ({ tokens, cached }: Pick<ReadingSample, 'tokens' | 'cached'>): Vector {
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

function clamp (value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value))
}
