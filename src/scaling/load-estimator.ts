/** Smooths the measured load of a service. The estimate rises with the load and falls slowly, except after short bursts. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Smooths a noisy load measurement. The lengths of single prompts differ by a factor of up to a hundred. */
export interface LoadEstimator {
  /**
   * Adds a measured load.
   *
   * @param load in busy engines
   * @param bootTime time that an engine ordered now takes to boot
   */
  observe (load: number, bootTime: Milliseconds, now: Milliseconds): void
  /** Estimated load, in busy engines. */
  value (): number
}

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

/** Fraction of the present load that is provided for. Short peaks are mostly coincidences of a few long prompts. */
const PEAK_FRACTION = 0.8

/**
 * Creates an estimator. The estimate is the mean over about ten seconds, or a fraction of the present load if that is
 * higher. A load whose fraction exceeds the mean is a peak.
 *
 * Failure guarded against: by chance few long prompts arrive in the first seconds. A fleet that follows this dip shrinks
 * to a third. The next wave of reclaims removes most of that, and too few upstreams remain for the usual load. The mean
 * starts at the expected load and falls slowly, so a short dip does not shrink the fleet.
 *
 * Failure guarded against: the fleet keeps engines for a burst of 3 to 6 s which were ready only at its end. A peak raises
 * the mean only to the extent that it lasts longer than an engine boots: its first `bootTime` is added to the mean
 * afterwards, at the rate at which the peak continues. A lasting rise is therefore followed at once, by the fraction of the
 * present load, and the mean has caught up before it exceeds this fraction.
 *
 * @param initial load expected before any was observed, in busy engines
 * @example
 * const estimator = createLoadEstimator(5.3)
 * estimator.observe(3.2, facts.bootTime, clock.now())
 */
export function createLoadEstimator (initial: number): LoadEstimator {
  let mean = initial
  let present = 0
  let observedAt: Milliseconds | undefined
  let peakSince: Milliseconds | undefined
  /** Load of the present peak that the mean does not contain yet, in busy engines times milliseconds. */
  let deferred = 0

  /** Load by which the mean is to change now. */
  function countedLoad (load: number, elapsed: Milliseconds, bootTime: Milliseconds, now: Milliseconds): number {
    const threshold = mean / PEAK_FRACTION
    if (load <= threshold) {
      peakSince = undefined
      deferred = 0
      return load
    }
    peakSince ??= now
    const excess = (load - threshold) * elapsed
    if (now - peakSince < bootTime) {
      deferred += excess
      return threshold
    }
    const added = Math.min(deferred, excess)
    deferred -= added
    return elapsed > 0 ? load + added / elapsed : load
  }

  return {
    observe: (load, bootTime, now) => {
      const elapsed = now - (observedAt ?? now)
      mean += (countedLoad(load, elapsed, bootTime, now) - mean) * (1 - Math.exp(-elapsed / MEAN_TIME_CONSTANT))
      present = load
      observedAt = now
    },
    value: () => Math.max(mean, present * PEAK_FRACTION)
  }
}
