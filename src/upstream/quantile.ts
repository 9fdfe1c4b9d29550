/**
 * A quantile of a stream of positive measurements, followed in constant memory.
 *
 * Failure guarded against: one measurement that is a thousand times too large (a paused process, a
 * silent connection) would drag a mean along for minutes. Here a measurement only says on which side
 * of the estimate it lies, so each moves the estimate by at most one bounded step.
 */

/** A quantile that follows what it observes. */
export interface QuantileEstimate {
  /** Takes in a measurement; what is not a positive finite number is ignored. */
  observe (measurement: number): void
  value (): number
  /** Measurements taken in. */
  samples (): number
}

/** Largest relative step, right after a cold start. */
const FIRST_STEP = 0.6

/** Smallest relative step: the estimate never stops following. */
const LAST_STEP = 0.03

/**
 * @param quantile in (0, 1); 0.5 follows the median
 * @param prior value before anything was measured
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
      const step = scale * Math.max(LAST_STEP, FIRST_STEP / Math.sqrt(samples))
      value *= Math.exp(measurement > value ? step * quantile : -step * (1 - quantile))
    },
    value: () => value,
    samples: () => samples
  }
}
