/**
 * Estimates a quantile of a stream of positive measurements in constant memory.
 *
 * Failure guarded against: one measurement that is a thousand times too large (a paused process, a stalled
 * connection) distorts a mean for minutes. Here only the side of the estimate on which a measurement lies counts, so
 * each measurement moves the estimate by at most one bounded step.
 */

/** Quantile estimate that follows the observed measurements. */
export interface QuantileEstimate {
  /** Records a measurement. Values that are not positive finite numbers are ignored. */
  observe (measurement: number): void
  /** Current estimate. */
  value (): number
  /** Number of recorded measurements. */
  samples (): number
}

/** Relative step of the first measurement. */
const MAX_STEP = 0.6

/** Minimum relative step, so that the estimate keeps following changes. */
const MIN_STEP = 0.03

/**
 * Creates an estimate.
 *
 * @param quantile in (0, 1); 0.5 is the median
 * @param prior value before the first measurement
 * @example
 * const median = createQuantileEstimate(0.5, 20)
 * median.observe(31)
 * median.value() // a bounded step above 20
 */
export function createQuantileEstimate (quantile: number, prior: number): QuantileEstimate {
  const scale = 1 / Math.max(quantile, 1 - quantile)
  let value = prior
  let samples = 0

  return {
    observe: (measurement) => {
      if (!(measurement > 0) || !Number.isFinite(measurement)) return
      samples += 1
      const step = scale * Math.max(MIN_STEP, MAX_STEP / Math.sqrt(samples))
      value *= Math.exp(measurement > value ? step * quantile : -step * (1 - quantile))
    },
    value: () => value,
    samples: () => samples
  }
}
