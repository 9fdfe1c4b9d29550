/**
 * State that the planner has learnt and its successor continues from: one value of bounded size in the key-value
 * service.
 */
import * as z from 'zod'
import { serviceNameSchema } from '../identifiers.js'
import type { ServiceName } from '../identifiers.js'
import { demandSchema } from './demand.js'
import type { Demand } from './demand.js'
import { instanceCapacitySchema } from './instance-capacity.js'
import type { InstanceCapacity } from './instance-capacity.js'
import { emptyReclaimHistory, reclaimHistorySchema } from './reclaim-history.js'
import { refusalSchema } from './refusals.js'

/** Learnt demands, capacities, reclaims and refusals. */
export const learnedSchema = z.object({
  demands: z.array(z.object({ service: serviceNameSchema, demand: demandSchema })),
  capacities: z.array(z.object({ service: serviceNameSchema, machineClass: z.string(), capacity: instanceCapacitySchema })),
  /**
   * Recomputed tokens, and the work per second lost to reclaims. Both are exponentially decayed sums, because the
   * tokens are reported minutes after the reclaim.
   */
  recomputed: z.array(z.object({ service: serviceNameSchema, tokens: z.number().nonnegative(), lostWork: z.number().nonnegative() })),
  reclaims: reclaimHistorySchema,
  refusals: z.array(refusalSchema),
  /** Wall time up to which the cost of instances has been counted for the reports. */
  countedUntil: z.number()
})
export type Learned = z.infer<typeof learnedSchema>

/**
 * Creates an empty state.
 *
 * @param now wall time, in milliseconds
 * @example
 * const learned = emptyLearned(clock.wall())
 */
export function emptyLearned (now: number): Learned {
  return { demands: [], capacities: [], recomputed: [], reclaims: emptyReclaimHistory(now), refusals: [], countedUntil: now }
}

/**
 * Learnt demand of a service.
 *
 * @returns undefined before the first sample
 * @example
 * const demand = demandOf(learned, service)
 */
export function demandOf (learned: Learned, service: ServiceName): Demand | undefined {
  return learned.demands.find((entry) => entry.service === service)?.demand
}

/**
 * Replaces the learnt demand of a service.
 *
 * @example
 * const next = withDemand(learned, service, observeDemand(demandOf(learned, service), sample))
 */
export function withDemand (learned: Learned, service: ServiceName, demand: Demand): Learned {
  return { ...learned, demands: [...learned.demands.filter((entry) => entry.service !== service), { service, demand }] }
}

/**
 * Learnt capacity of a machine class for a service.
 *
 * @returns undefined before the first sample
 * @example
 * const known = learnedCapacity(learned, service, 'large')
 */
export function learnedCapacity (learned: Learned, service: ServiceName, machineClass: string): InstanceCapacity | undefined {
  return learned.capacities.find((entry) => entry.service === service && entry.machineClass === machineClass)?.capacity
}

/**
 * Replaces the learnt capacity of a machine class for a service.
 *
 * @example
 * const next = withCapacity(learned, service, 'large', learnCapacity(known, sample))
 */
export function withCapacity (learned: Learned, service: ServiceName, machineClass: string, capacity: InstanceCapacity): Learned {
  const others = learned.capacities.filter((entry) => entry.service !== service || entry.machineClass !== machineClass)
  return { ...learned, capacities: [...others, { service, machineClass, capacity }] }
}

/** Weight of the prior estimate, in units of lost work per second. It equals about one instance. */
const PRIOR_LOST_WORK = 1_000

/** Factor applied to the weight of earlier reclaims with each new one. */
const RECLAIM_DECAY = 0.9

/**
 * Recomputed tokens for each unit of work per second that a reclaim removes.
 *
 * @param prior estimate used before any reclaim was observed
 * @example
 * const perLostWork = recomputedPerLostWork(learned, service, 40)
 */
export function recomputedPerLostWork (learned: Learned, service: ServiceName, prior: number): number {
  const known = learned.recomputed.find((entry) => entry.service === service)
  if (known === undefined) return prior
  return (known.tokens + prior * PRIOR_LOST_WORK) / (known.lostWork + PRIOR_LOST_WORK)
}

/**
 * Records recomputed tokens and reclaims. The two need not be reported together.
 *
 * @param tokens recomputed tokens since the last call
 * @param lost capacity of each instance reclaimed since the last call, in work per second
 * @example
 * const next = withRecomputed(learned, service, 24_000, [600, 600])
 */
export function withRecomputed (learned: Learned, service: ServiceName, tokens: number, lost: readonly number[]): Learned {
  if (tokens === 0 && lost.length === 0) return learned
  const known = learned.recomputed.find((entry) => entry.service === service) ?? { tokens: 0, lostWork: 0 }
  const retained = RECLAIM_DECAY ** lost.length
  const entry = { service, tokens: known.tokens * retained + tokens, lostWork: lost.reduce((sum, work) => sum + work, known.lostWork * retained) }
  return { ...learned, recomputed: [...learned.recomputed.filter((candidate) => candidate.service !== service), entry] }
}
