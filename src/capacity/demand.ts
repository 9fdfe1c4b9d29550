/**
 * How much work a service will be offered, and how much one instance of a machine class serves
 * within the targets. Both are learnt from what was observed; operators give neither.
 *
 * Work is counted in tokens for services of kind `model` and in requests for plain ones. Times are
 * wall times, since a successor on another instance goes on from what is kept here; the monotonic
 * clocks of two processes have nothing in common. A jump of the clock costs one sample.
 */
import { z } from 'zod'
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** Cumulative counters of one service, summed over all nodes. */
export interface ServiceCounters {
  /** Wall time at which they were read, in milliseconds. */
  readonly at: Milliseconds
  /** Requests offered: accepted and refused. */
  readonly requests: number
  /** Work done: generated tokens, or requests of a plain service. */
  readonly work: number
}

/** What was offered between two readings of the counters. */
export interface DemandSample {
  readonly at: Milliseconds
  readonly requestsPerSecond: number
  readonly workPerSecond: number
}

/** A smoothed demand with its trend and how much it varies; all rates a second. */
export const demandSchema = z.object({
  at: z.number(),
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

/** One look at an instance's throughput. */
export interface CapacitySample {
  /** Work a second that one instance did. */
  readonly workPerSecond: number
  /** Share of answers that were within target. */
  readonly inTarget: number
  /** The strictest class's quantile. */
  readonly quantile: number
  /** Whether requests waited at the instance: without a queue a late answer has another cause. */
  readonly queued: boolean
}

/** Time over which an old observation loses half of its weight. */
const HALF_LIFE: Milliseconds = 2 * MINUTE

/** Readings closer or further apart than this give no usable rate. */
const SHORTEST_INTERVAL: Milliseconds = SECOND
const LONGEST_INTERVAL: Milliseconds = 10 * MINUTE

/** Ratio of a normal distribution's standard deviation to its mean absolute deviation. */
const DEVIATION_TO_SIGMA = Math.sqrt(Math.PI / 2)

/** Step up while targets hold near the present estimate, and step down when they are missed. */
const RAISE = 1.02
const LOWER = 0.95

/** An instance that does less than this share of its capacity says nothing about its limit. */
const NEAR_LIMIT = 0.9

/**
 * Rates between two readings.
 *
 * @returns undefined when the counters went back or the readings are too close or too far apart: a gap is no demand of zero
 * @example
 * sampleBetween({ at: 0, requests: 0, work: 0 }, { at: 10_000, requests: 20, work: 5_000 }) // 2 and 500 a second
 */
export function sampleBetween (previous: ServiceCounters, current: ServiceCounters): DemandSample | undefined {
  const interval = current.at - previous.at
  if (interval < SHORTEST_INTERVAL || interval > LONGEST_INTERVAL) return undefined
  if (current.requests < previous.requests || current.work < previous.work) return undefined
  const perSecond = SECOND / interval
  return {
    at: current.at,
    requestsPerSecond: (current.requests - previous.requests) * perSecond,
    workPerSecond: (current.work - previous.work) * perSecond
  }
}

/**
 * Takes a sample into the smoothed demand (exponential smoothing with a trend).
 *
 * @example
 * const demand = observeDemand(undefined, sample)
 */
export function observeDemand (demand: Demand | undefined, sample: DemandSample): Demand {
  if (demand === undefined) return { ...sample, trend: 0, deviation: 0 }
  const interval = Math.max(0, sample.at - demand.at)
  const weight = 1 - 0.5 ** (interval / HALF_LIFE)
  const forecast = demand.workPerSecond + demand.trend * interval / SECOND
  const error = sample.workPerSecond - forecast
  const workPerSecond = Math.max(0, forecast + weight * error)
  const trend = interval === 0 ? demand.trend : demand.trend + weight * ((workPerSecond - demand.workPerSecond) * SECOND / interval - demand.trend)
  return {
    at: sample.at,
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
 * Learns what one instance serves within targets. An instance that met them shows that its capacity
 * is at least what it did; a queue with missed targets shows that it is less.
 *
 * @param known estimate so far, work a second
 * @example
 * const capacity = learnCapacity(600, { workPerSecond: 590, inTarget: 0.99, quantile: 0.95, queued: false }) // 612
 */
export function learnCapacity (known: number, sample: CapacitySample): number {
  if (sample.workPerSecond <= 0) return known
  const met = sample.inTarget >= sample.quantile
  if (!met) return sample.queued ? Math.min(known, sample.workPerSecond) * LOWER : known
  if (sample.workPerSecond < known * NEAR_LIMIT) return known
  return Math.max(known * RAISE, sample.workPerSecond)
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
