/**
 * Forecast of the work offered to a service, based on observed demand.
 *
 * Work is counted in tokens for services of kind `model` and in requests for plain services. Times are wall times,
 * because a planner on another instance continues from the stored values and the monotonic clocks of two processes
 * are unrelated. A jump of the wall clock distorts one sample.
 */
import * as z from 'zod'
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** One observation of the offered load. */
export interface DemandSample {
  readonly at: Milliseconds
  readonly requestsPerSecond: number
  readonly workPerSecond: number
}

/** Smoothed demand with its trend and deviation. All rates are per second. */
export const demandSchema = z.object({
  at: z.number(),
  /** Wall time of the first sample, in milliseconds. */
  since: z.number(),
  requestsPerSecond: z.number(),
  workPerSecond: z.number(),
  /** Change of the work rate, per second. */
  trend: z.number(),
  /** Mean absolute error of the forecasts. */
  deviation: z.number()
})
export type Demand = z.infer<typeof demandSchema>

/** Parameters of the demand forecast. */
export interface DemandForecastOptions {
  /** Fraction of answers that must meet their target. The strictest class determines it. */
  readonly quantile: number
  /** Time until capacity ordered now serves requests, in milliseconds. */
  readonly leadTime: Milliseconds
}

/** Time after which an observation has half its weight. */
const HALF_LIFE: Milliseconds = 2 * MINUTE

/** Ratio of a normal distribution's standard deviation to its mean absolute deviation. */
const DEVIATION_TO_SIGMA_RATIO = Math.sqrt(Math.PI / 2)

/**
 * Adds a sample to the smoothed demand (double exponential smoothing).
 *
 * @example
 * const demand = observeDemand(undefined, sample)
 */
export function observeDemand (demand: Demand | undefined, sample: DemandSample): Demand {
  if (demand === undefined) return { ...sample, since: sample.at, trend: 0, deviation: 0 }
  const interval = Math.max(0, sample.at - demand.at)
  const weight = 1 - 0.5 ** (interval / HALF_LIFE)
  const forecast = demand.workPerSecond + demand.trend * interval / SECOND
  const error = sample.workPerSecond - forecast
  const workPerSecond = Math.max(0, forecast + weight * error)
  const trend = interval === 0 ? demand.trend : demand.trend + weight * ((workPerSecond - demand.workPerSecond) * SECOND / interval - demand.trend)
  return {
    at: sample.at,
    since: demand.since,
    requestsPerSecond: demand.requestsPerSecond + weight * (sample.requestsPerSecond - demand.requestsPerSecond),
    workPerSecond,
    trend,
    deviation: demand.deviation + weight * (Math.abs(error) - demand.deviation)
  }
}

/**
 * Work per second that must be served within targets until new capacity is ready: the current level, its expected
 * growth, and a safety margin for its variation at the required quantile.
 *
 * @example
 * neededWork(demand, { quantile: 0.95, lead: 3 * MINUTE })
 */
export function neededWork (demand: Demand, options: DemandForecastOptions): number {
  const growth = Math.max(0, demand.trend) * options.leadTime / SECOND
  const margin = Math.max(0, normalQuantile(options.quantile)) * demand.deviation * DEVIATION_TO_SIGMA_RATIO
  return demand.workPerSecond + growth + margin
}

/**
 * Quantile of the standard normal distribution, accurate to three digits (Winitzki's approximation).
 *
 * @example
 * normalQuantile(0.95) // about 1.645
 */
export function normalQuantile (probability: number): number {
  const x = 2 * probability - 1
  const shape = 0.147
  const logarithm = Math.log(1 - x * x)
  const term = 2 / (Math.PI * shape) + logarithm / 2
  return Math.SQRT2 * Math.sign(x) * Math.sqrt(Math.sqrt(term * term - logarithm / shape) - term)
}
