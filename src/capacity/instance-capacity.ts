/**
 * What one instance of a machine class serves within targets, learnt from what instances did.
 *
 * An engine's time between tokens grows with the answers it decodes at a time, nearly in a line. The
 * line, fitted to hours of different load, foretells at how many answers the target is reached. That
 * matters because instances normally run below that point, so that the rest can carry a lost failure
 * domain's work. What is foretold is bounded by what was seen: an instance is trusted with the load
 * that a lost domain adds, not with more.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** What is known of one machine class for one service. */
export const instanceCapacitySchema = z.object({
  /** Most work a second that was seen within targets. */
  highest: z.number().nonnegative(),
  /** Decayed sums of the line fitted to (answers at a time, milliseconds between tokens). */
  weight: z.number(),
  running: z.number(),
  interval: z.number(),
  runningSquared: z.number(),
  product: z.number()
})
export type InstanceCapacity = z.infer<typeof instanceCapacitySchema>

/** One look at the instances of a machine class, as a mean over them. */
export interface CapacitySample {
  /** Work a second that one instance did. */
  readonly workPerSecond: number
  /** Answers decoded at a time; undefined for plain services. */
  readonly running: number | undefined
  /** Share of answers that were within target. */
  readonly inTarget: number
  /** The strictest class's quantile. */
  readonly quantile: number
  /** Whether requests waited at instances: without a queue a late answer has another cause. */
  readonly queued: boolean
}

/** Weight that a sample keeps when the next one comes. */
const DECAY = 0.995

/** What is left of the estimate when targets were missed under a queue. */
const LOWER = 0.95

/** Share beyond the load of a lost domain that a fitted line is trusted with: the step by which a fleet shrinks. */
const STEP = 1.07

/** The mean time between tokens must stay below the target by this much, so that the quantile meets it. */
const TARGET_SHARE = 0.85

/** Relative spread of the load below which no line can be fitted. */
const LEAST_SPREAD = 0.05

/**
 * Learns from a look at the instances.
 *
 * @example
 * const known = learnCapacity(undefined, { workPerSecond: 600, running: 12, inTarget: 0.99, quantile: 0.95, queued: false })
 */
export function learnCapacity (known: InstanceCapacity | undefined, sample: CapacitySample): InstanceCapacity {
  const before = known ?? { highest: 0, weight: 0, running: 0, interval: 0, runningSquared: 0, product: 0 }
  if (sample.workPerSecond <= 0) return before
  return { ...before, highest: highestOf(before, sample), ...fitted(before, sample) }
}

/**
 * Work a second that one instance serves within targets. Without a fitted line it is what was seen,
 * with the load that a lost failure domain adds to it: such a fleet neither shrinks nor grows by
 * itself. With a line, a fleet that is too large shrinks step by step, and each step is seen first.
 *
 * @param betweenTokens the strictest class's target; undefined where there is none
 * @param domains failure domains over which the service is spread
 * @example
 * capacityOf(known, 34, 3)
 */
export function capacityOf (known: InstanceCapacity, betweenTokens: Milliseconds | undefined, domains: number): number {
  const afterLoss = known.highest * (domains > 1 ? domains / (domains - 1) : 1)
  const foreseen = betweenTokens === undefined ? undefined : workAtInterval(known, betweenTokens * TARGET_SHARE)
  if (foreseen === undefined) return afterLoss
  return Math.max(known.highest, Math.min(foreseen, afterLoss * STEP))
}

function highestOf (before: InstanceCapacity, sample: CapacitySample): number {
  if (sample.inTarget >= sample.quantile) return Math.max(before.highest, sample.workPerSecond)
  return sample.queued ? Math.min(before.highest, sample.workPerSecond) * LOWER : before.highest
}

function fitted (before: InstanceCapacity, sample: CapacitySample): Partial<InstanceCapacity> {
  const { running } = sample
  if (running === undefined || running <= 0) return {}
  const interval = running * SECOND / sample.workPerSecond
  return {
    weight: before.weight * DECAY + 1,
    running: before.running * DECAY + running,
    interval: before.interval * DECAY + interval,
    runningSquared: before.runningSquared * DECAY + running * running,
    product: before.product * DECAY + running * interval
  }
}

/** Work a second at which the fitted line reaches a time between tokens. */
function workAtInterval (known: InstanceCapacity, interval: Milliseconds): number | undefined {
  const { weight } = known
  if (weight < 2) return undefined
  const mean = known.running / weight
  const variance = known.runningSquared / weight - mean * mean
  if (variance < (LEAST_SPREAD * mean) ** 2) return undefined
  const slope = (known.product / weight - mean * known.interval / weight) / variance
  if (slope <= 0) return Infinity
  const single = known.interval / weight - slope * mean
  return Math.max(0, interval - single) / slope * SECOND / interval
}
