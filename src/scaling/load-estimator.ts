/** Smooths the measured load of a service. The estimate rises quickly and falls slowly. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Smooths a noisy load measurement. The lengths of single prompts differ by a factor of up to a hundred. */
export interface LoadEstimator {
  /** Adds a measured load, in busy engines. */
  observe (load: number, now: Milliseconds): void
  /** Estimated load, in busy engines. */
  value (now: Milliseconds): number
}

/** Time for which a peak is provided for. Replacing an engine costs about as much as keeping it for this time. */
const PEAK_HOLD_TIME: Milliseconds = 8 * SECOND

/** Time constant of the mean. Within ten seconds the longest 10% of the prompts occur often enough to be represented. */
const MEAN_TIME_CONSTANT: Milliseconds = 10 * SECOND

/** Rates of work that were measured for less than this time are too low. */
const RATE_SETTLING_TIME: Milliseconds = 4 * SECOND

/**
 * Load from which an estimate starts, between the expected and the measured one. The weight of the expected load falls
 * with the time of the measurement, as in the mean of an estimator that has observed since then.
 *
 * Failure guarded against: a node that has just started takes over the duties in the middle of a day. If its mean started
 * at the expected load, it would change the size of the fleet for about 20 s, although the other nodes know the load.
 *
 * @param span time for which any node has measured the work
 * @returns undefined as long as the measured rates of work are too low
 * @example
 * startingLoad(5.3, 9.1, 60_000) // 9.09
 */
export function startingLoad (expected: number, measured: number, span: Milliseconds): number | undefined {
  if (span < RATE_SETTLING_TIME) return undefined
  return measured + (expected - measured) * Math.exp(-(span - RATE_SETTLING_TIME) / MEAN_TIME_CONSTANT)
}

/** Fraction of a short peak that is provided for. Such a peak is mostly a coincidence of a few long prompts. */
const PEAK_FRACTION = 0.8

/**
 * Creates an estimator. The estimate is the mean over about ten seconds, or a fraction of the recent peak if that is
 * higher.
 *
 * Failure guarded against: by chance few long prompts arrive in the first seconds. A fleet that follows this dip shrinks
 * to a third. The next wave of reclaims removes most of that, and too few upstreams remain for the usual load. The mean
 * starts at the expected load and falls slowly, so a short dip does not shrink the fleet.
 *
 * @param initial load expected before any was observed, in busy engines
 * @example
 * const estimator = createLoadEstimator(5.3)
 * estimator.observe(3.2, clock.now())
 */
export function createLoadEstimator (initial: number): LoadEstimator {
  let samples: { readonly load: number, readonly at: Milliseconds }[] = []
  let mean = initial
  let meanAt: Milliseconds | undefined
  return {
    observe: (load, now) => {
      samples = samples.filter((sample) => now - sample.at < PEAK_HOLD_TIME && sample.load > load)
      samples.push({ load, at: now })
      mean += (load - mean) * (1 - Math.exp(-(now - (meanAt ?? now)) / MEAN_TIME_CONSTANT))
      meanAt = now
    },
    value: (now) => Math.max(mean, ...samples.filter((sample) => now - sample.at < PEAK_HOLD_TIME).map((sample) => sample.load * PEAK_FRACTION))
  }
}
