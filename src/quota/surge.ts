/**
 * Detects at one node that an organisation's demand has risen, before the reports of the other nodes show it.
 *
 * Load pattern: demand that rises to five or six times its usual level within a tenth of a second, at nodes whose reports
 * are up to two seconds old. A node receives few requests of an organisation per second, so chance alone makes its rate vary
 * several times. The rise is therefore the posterior mean of a factor on the expected number of requests, with a gamma prior
 * of mean 1. Requests are counted, not their units, since sizes differ a hundredfold.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { BUCKET } from './grant-window.js'

/** Surge detector of one node for one organisation. */
export interface SurgeDetector {
  /** Counts a request of `cost` units. */
  add (cost: number, now: Milliseconds): void
  /**
   * Factor by which the present demand is assumed to exceed the reported demand, at least 1.
   *
   * @param reported reported demand of a node on average, in units per second
   */
  factor (reported: number, now: Milliseconds): number
}

/** Half-life of the count of recent requests. */
const RECENT_HALF_LIFE: Milliseconds = 400

/** Half-life of the usual rate of requests. */
const USUAL_HALF_LIFE: Milliseconds = 3 * SECOND

/** Number of buckets by which the usual rate lags behind, so that it does not include the surge. It is the age of reports. */
const USUAL_LAG = 6

/** Time from the first request until the usual rate is known. */
const LEARNING_TIME: Milliseconds = 3 * SECOND

/** Number of expected requests that the prior stands for. */
const PRIOR_REQUESTS = 1.5

/** Highest factor that is assumed. */
const MAX_FACTOR = 8

/** Minimum weight of a request in the mean cost. */
const COST_WEIGHT = 0.03

/**
 * Creates a detector.
 *
 * @example
 * const surge = createSurgeDetector(clock.now())
 * surge.add(1_540, clock.now())
 * surge.factor(3_000, clock.now()) // 1, since the usual rate is not known yet
 */
export function createSurgeDetector (now: Milliseconds): SurgeDetector {
  const startedAt = now
  const recentDecay = Math.LN2 / RECENT_HALF_LIFE
  const usualDecay = Math.LN2 / USUAL_HALF_LIFE
  /** Usual rate in requests per millisecond, at the start of each of the last buckets. */
  const usualRates = new Float64Array(USUAL_LAG)
  let latestBucket = Math.floor(now / BUCKET)
  let updatedAt = now
  let recent = 0
  let usual = 0
  let requests = 0
  let meanCost = 0

  function advance (now: Milliseconds): void {
    const bucket = Math.floor(now / BUCKET)
    if (bucket > latestBucket) {
      // Without this, the decaying rate is too low at first.
      const known = 1 - Math.exp(-usualDecay * Math.max(SECOND, now - startedAt))
      for (let started = Math.max(latestBucket + 1, bucket - USUAL_LAG + 1); started <= bucket; started += 1) usualRates[started % USUAL_LAG] = usual * usualDecay / known
      latestBucket = bucket
    }
    const elapsed = now - updatedAt
    if (elapsed <= 0) return
    recent *= Math.exp(-recentDecay * elapsed)
    usual *= Math.exp(-usualDecay * elapsed)
    updatedAt = now
  }

  return {
    add: (cost, now) => {
      advance(now)
      recent += 1
      usual += 1
      requests += 1
      meanCost += (cost - meanCost) * Math.max(COST_WEIGHT, 1 / requests)
    },
    factor: (reported, now) => {
      // Requests that cost nothing say nothing about the rate of units.
      if (meanCost <= 0 || now - startedAt < LEARNING_TIME) return 1
      advance(now)
      const usualRate = Math.max(usualRates[(latestBucket + 1) % USUAL_LAG]!, reported / meanCost / SECOND)
      const factor = (PRIOR_REQUESTS + recent) / (PRIOR_REQUESTS + usualRate / recentDecay)
      return Math.min(MAX_FACTOR, Math.max(1, factor))
    }
  }
}
