/**
 * Estimates the present demand of an organisation at other nodes from the decaying rates that they report.
 *
 * Load pattern: demand that rises sixfold within a tenth of a second. The reported demand decays slowly, so it takes two
 * more seconds to follow. While all requests are granted, the granted units are the same units with a shorter half-life.
 * Their difference therefore shows the rise at once, if it is larger than the difference that chance makes.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Estimated demand of one organisation at other nodes. */
export interface ReportedDemandEstimate {
  /** Takes over the sums of the latest reports, in units per second. */
  observe (demand: number, granted: number, now: Milliseconds): void
  /** Latest reported demand, in units per second. */
  latest (): number
  /**
   * Demand after a rise that the reported demand has not followed yet, in units per second and without the retries of
   * refused requests; 0 if there was none lately.
   */
  risen (now: Milliseconds): number
}

/** Half-life of the usual demand. */
const USUAL_HALF_LIFE: Milliseconds = 4 * SECOND

/** Time for which an estimated rise holds. The reported demand has followed by then. */
const HOLD_TIME: Milliseconds = 2.5 * SECOND

/** A difference is a rise if it exceeds this many standard deviations. */
const SIGNIFICANCE = 3

/** Standard deviation of the granted rate relative to that of the difference, for half-lives of 0.4 and 0.8 s. */
const GRANTED_DEVIATION = 2.45

/** Minimum weight of an observation in the variance. */
const VARIANCE_WEIGHT = 0.035

/** Minimum time between observations that count for the variance. Reports that arrive in between are mostly the same. */
const VARIANCE_PERIOD: Milliseconds = 300

/** Number of observations from which the variance is known well enough. */
const MIN_OBSERVATIONS = 10

/**
 * Creates an estimate without reports.
 *
 * @example
 * const estimate = createReportedDemandEstimate()
 * estimate.observe(230_000, 310_000, clock.now())
 * estimate.risen(clock.now())
 */
export function createReportedDemandEstimate (): ReportedDemandEstimate {
  let latest = 0
  let usual: number | undefined
  let observedAt = 0
  let risen = 0
  let risenAt = -Infinity
  /** Variance of the difference per unit of demand, since it is proportional to the demand. */
  let variance = 0
  let observations = 0
  let variedAt = -Infinity

  function isRise (demand: number, granted: number, usual: number, deviation: number): boolean {
    if (granted <= demand || demand <= usual || observations < MIN_OBSERVATIONS) return false
    return granted - demand > SIGNIFICANCE * deviation || granted - usual > SIGNIFICANCE * GRANTED_DEVIATION * deviation
  }

  return {
    observe: (demand, granted, now) => {
      const elapsed = Math.max(0, now - observedAt)
      observedAt = now
      latest = demand
      usual ??= demand
      const deviation = Math.sqrt(variance * demand)
      if (isRise(demand, granted, usual, deviation)) {
        const estimated = granted + (granted - demand)
        if (estimated > risen || now - risenAt > HOLD_TIME) {
          risen = estimated
          risenAt = now
        }
      } else if (demand > 0 && now - variedAt >= VARIANCE_PERIOD && (granted > 0.9 * demand || granted - demand > -2 * deviation)) {
        // Where requests are refused, the difference does not show chance.
        observations += 1
        variedAt = now
        variance += ((granted - demand) ** 2 / demand - variance) * Math.max(1 / observations, VARIANCE_WEIGHT)
      }
      usual += (demand - usual) * (1 - 2 ** (-elapsed / USUAL_HALF_LIFE))
    },
    latest: () => latest,
    risen: (now) => now - risenAt < HOLD_TIME ? risen : 0
  }
}
