/**
 * How much work a service will be offered, learnt from what was observed.
 *
 * Work is counted in tokens for services of kind `model` and in requests for plain ones. Times are
 * wall times, since a successor on another instance goes on from what is kept here; the monotonic
 * clocks of two processes have nothing in common. A jump of the clock costs one sample.
 */
import * as z from 'zod'
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** What was offered of late. */
export interface DemandSample {
  readonly at: Milliseconds
  readonly requestsPerSecond: number
  readonly workPerSecond: number
}

/** A smoothed demand with its trend and how much it varies; all rates a second. */
export const demandSchema = z.object({
  at: z.number(),
  /** Wall time of the first sample. */
  since: z.number(),
  requestsPerSecond: z.number(),
  workPerSecond: z.number(),
  /** Change of the work a second, a second. */
  trend: z.number(),
  /** Mean absolute error of the forecasts so far. */
  deviation: z.number()
})
export type Demand = z.infer<typeof demandSchema>

/** What the next minutes must be able to carry. */
export interface NeedOptions {
  /** Share of answers that must be within target: the strictest class's. */
  readonly quantile: number
  /** Time until capacity ordered now serves, in milliseconds. */
  readonly lead: Milliseconds
}

/** Time over which an old observation loses half of its weight. */
const HALF_LIFE: Milliseconds = 2 * MINUTE

/** Ratio of a normal distribution's standard deviation to its mean absolute deviation. */
const DEVIATION_TO_SIGMA = Math.sqrt(Math.PI / 2)

/**
 * Takes a sample into the smoothed demand (exponential smoothing with a trend).
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
 * Work a second that must be served within targets until new capacity could be ready: the level,
 * its growth meanwhile, and a margin for its variation that follows from the classes' quantile.
 *
 * @example
 * neededWork(demand, { quantile: 0.95, lead: 3 * MINUTE })
 */
export function neededWork (demand: Demand, options: NeedOptions): number {
  const growth = Math.max(0, demand.trend) * options.lead / SECOND
  const margin = Math.max(0, normalQuantile(options.quantile)) * demand.deviation * DEVIATION_TO_SIGMA
  return demand.workPerSecond + growth + margin
}

/**
 * Quantile of the standard normal distribution, to three digits (Winitzki's approximation).
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
