/**
 * Capacity of one instance of a machine class within targets, learnt from observed load.
 *
 * An engine's time between tokens grows nearly linearly with the number of answers it decodes at a time. A line
 * fitted to samples of different load predicts at how many answers the target is reached. The prediction is needed
 * because instances normally run below that point and keep the rest in reserve for the work of a lost failure domain.
 * It is limited by the observed load: an instance is expected to take the load that a lost domain adds, but not more.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** Learnt capacity of one machine class for one service. */
export const instanceCapacitySchema = z.object({
  /** Highest work per second observed within targets. */
  highest: z.number().nonnegative(),
  /** Exponentially decayed sums of the line fitted to (answers decoded at a time, milliseconds between tokens). */
  weight: z.number(),
  running: z.number(),
  interval: z.number(),
  runningSquared: z.number(),
  product: z.number()
})
export type InstanceCapacity = z.infer<typeof instanceCapacitySchema>

/** One observation of the instances of a machine class, as a mean over them. */
export interface CapacitySample {
  /** Work per second done by one instance. */
  readonly workPerSecond: number
  /** Answers decoded at a time. Undefined for plain services. */
  readonly running: number | undefined
  /** Fraction of answers that met their target. */
  readonly inTarget: number
  /** Quantile required by the strictest class. */
  readonly quantile: number
  /** Whether requests queued at instances. Without a queue, late answers have another cause than load. */
  readonly queued: boolean
}

/** Factor applied to the weight of earlier samples with each new one. */
const SAMPLE_DECAY = 0.995

/** Factor applied to the estimate when targets were missed while requests queued. */
const MISSED_TARGET_FACTOR = 0.95

/**
 * Factor up to which a fitted line is trusted beyond the load that a lost domain adds. It bounds the step in which a
 * fleet shrinks.
 */
const MAX_EXTRAPOLATION = 1.07

/** Ratio of the mean time between tokens to the target. The margin lets the required quantile meet the target. */
const MEAN_TO_TARGET_RATIO = 0.85

/** Minimum relative spread of the load. No line is fitted below it. */
const MIN_RELATIVE_SPREAD = 0.05

/**
 * Updates the learnt capacity with one observation.
 *
 * @example
 * const known = learnCapacity(undefined, { workPerSecond: 600, running: 12, inTarget: 0.99, quantile: 0.95, queued: false })
 */
export function learnCapacity (known: InstanceCapacity | undefined, sample: CapacitySample): InstanceCapacity {
  const before = known ?? { highest: 0, weight: 0, running: 0, interval: 0, runningSquared: 0, product: 0 }
  if (sample.workPerSecond <= 0) return before
  return { ...before, highest: updateHighest(before, sample), ...updateFit(before, sample) }
}

/**
 * Work per second that one instance serves within targets.
 *
 * Without a fitted line it is the observed maximum plus the load that a lost failure domain adds. A fleet of this
 * capacity neither shrinks nor grows by itself. With a fitted line, an oversized fleet shrinks in small steps, and
 * each step is observed before the next.
 *
 * @param betweenTokens target of the strictest class, in milliseconds; undefined if there is none
 * @param domains number of failure domains over which the service is spread
 * @example
 * capacityOf(known, 34, 3)
 */
export function capacityOf (known: InstanceCapacity, betweenTokens: Milliseconds | undefined, domains: number): number {
  const afterLoss = known.highest * (domains > 1 ? domains / (domains - 1) : 1)
  const predicted = betweenTokens === undefined ? undefined : workAtInterval(known, betweenTokens * MEAN_TO_TARGET_RATIO)
  if (predicted === undefined) return afterLoss
  return Math.max(known.highest, Math.min(predicted, afterLoss * MAX_EXTRAPOLATION))
}

function updateHighest (before: InstanceCapacity, sample: CapacitySample): number {
  if (sample.inTarget >= sample.quantile) return Math.max(before.highest, sample.workPerSecond)
  return sample.queued ? Math.min(before.highest, sample.workPerSecond) * MISSED_TARGET_FACTOR : before.highest
}

function updateFit (before: InstanceCapacity, sample: CapacitySample): Partial<InstanceCapacity> {
  const { running } = sample
  if (running === undefined || running <= 0) return {}
  const interval = running * SECOND / sample.workPerSecond
  return {
    weight: before.weight * SAMPLE_DECAY + 1,
    running: before.running * SAMPLE_DECAY + running,
    interval: before.interval * SAMPLE_DECAY + interval,
    runningSquared: before.runningSquared * SAMPLE_DECAY + running * running,
    product: before.product * SAMPLE_DECAY + running * interval
  }
}

/** Work per second at which the fitted line reaches a given time between tokens. */
function workAtInterval (known: InstanceCapacity, interval: Milliseconds): number | undefined {
  const { weight } = known
  if (weight < 2) return undefined
  const mean = known.running / weight
  const variance = known.runningSquared / weight - mean * mean
  if (variance < (MIN_RELATIVE_SPREAD * mean) ** 2) return undefined
  const slope = (known.product / weight - mean * known.interval / weight) / variance
  if (slope <= 0) return Infinity
  const intercept = known.interval / weight - slope * mean
  return Math.max(0, interval - intercept) / slope * SECOND / interval
}
