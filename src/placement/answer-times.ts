/**
 * Tells when the answer of an upstream is overdue, from the recent answer times of the same upstream and route.
 *
 * Failure guarded against: with a fixed fraction of the target, an upstream whose answers usually take a quarter of it is given
 * up much too late, and one that is always slow gets a second attempt for each request.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { UpstreamIncarnation } from './types.js'

/** Recent answer times of all upstreams, as observed by one node. */
export interface AnswerTimes {
  /** Adds the time of a complete answer, or the time after which an attempt was given up. */
  observe (incarnation: UpstreamIncarnation, route: string, duration: Milliseconds, now: Milliseconds): void
  /**
   * Time after which an answer is overdue; undefined where there are too few samples.
   *
   * @param predicted time to the answer with the present load of the upstream
   */
  overdueAfter (incarnation: UpstreamIncarnation, route: string, target: Milliseconds, predicted: Milliseconds): Milliseconds | undefined
}

interface Samples {
  readonly durations: Milliseconds[]
  next: number
  at: Milliseconds
}

const QUANTILE = 0.95

/** Multiple of the quantile. Without it, one answer in twenty would be overdue. */
const OVERDUE_FACTOR = 1.5

/**
 * Fraction of the target below which no answer is overdue. Where answers usually take a few milliseconds, a pause of the node's
 * own processor would otherwise cause second attempts, and the answer is in time without them.
 */
const MIN_TARGET_FRACTION = 1 / 4

/**
 * Fraction of the target after which an answer is overdue in any case, unless a longer time is predicted. Attempts that are
 * given up count as answers of that time, so that without this bound the time would grow with each lost answer.
 */
const MAX_TARGET_FRACTION = 0.75

/** A 0.95 quantile needs at least twenty samples. */
const MIN_SAMPLES = 20

/** A node sends an upstream some requests per second, so these are from the last minute. */
const MAX_SAMPLES = 60

/** Samples of an upstream that was not used for this time are dropped. */
const LIFETIME: Milliseconds = 60 * SECOND

/**
 * Creates answer times without samples.
 *
 * @example
 * const answerTimes = createAnswerTimes()
 * answerTimes.observe(upstream.incarnation, 'lookups', 43, clock.now())
 * answerTimes.overdueAfter(upstream.incarnation, 'lookups', 200, 50) // undefined: too few samples
 */
export function createAnswerTimes (): AnswerTimes {
  const samplesByKey = new Map<string, Samples>()
  const keyOf = (incarnation: UpstreamIncarnation, route: string): string => `${incarnation} ${route}`

  function createSamples (key: string, now: Milliseconds): Samples {
    for (const [other, { at }] of samplesByKey) if (now - at > LIFETIME) samplesByKey.delete(other)
    const samples: Samples = { durations: [], next: 0, at: now }
    samplesByKey.set(key, samples)
    return samples
  }

  return {
    observe: (incarnation, route, duration, now) => {
      const key = keyOf(incarnation, route)
      const samples = samplesByKey.get(key) ?? createSamples(key, now)
      samples.durations[samples.next] = duration
      samples.next = (samples.next + 1) % MAX_SAMPLES
      samples.at = now
    },
    overdueAfter: (incarnation, route, target, predicted) => {
      const durations = samplesByKey.get(keyOf(incarnation, route))?.durations
      if (durations === undefined || durations.length < MIN_SAMPLES) return undefined
      const sorted = [...durations].sort((left, right) => left - right)
      const quantile = sorted[Math.ceil(QUANTILE * sorted.length) - 1]!
      return Math.max(Math.min(quantile * OVERDUE_FACTOR, target * MAX_TARGET_FRACTION), predicted, target * MIN_TARGET_FRACTION)
    }
  }
}
