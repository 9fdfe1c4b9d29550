/** What the planner has learnt, kept for its successor: one value in the key-value service, of bounded size. */
import { z } from 'zod'
import { serviceNameSchema } from '../identifiers.js'
import type { ServiceName } from '../identifiers.js'
import { demandSchema } from './demand.js'
import type { Demand } from './demand.js'
import { instanceCapacitySchema } from './instance-capacity.js'
import type { InstanceCapacity } from './instance-capacity.js'
import { emptyReclaimHistory, reclaimHistorySchema } from './reclaim-history.js'
import { refusalSchema } from './refusals.js'

export const learnedSchema = z.object({
  demands: z.array(z.object({ service: serviceNameSchema, demand: demandSchema })),
  capacities: z.array(z.object({ service: serviceNameSchema, machineClass: z.string(), capacity: instanceCapacitySchema })),
  /** Tokens computed again for each unit of work a second that reclaims took, smoothed. */
  recomputed: z.array(z.object({ service: serviceNameSchema, perLostWork: z.number().nonnegative() })),
  reclaims: reclaimHistorySchema,
  refusals: z.array(refusalSchema),
  /** Wall time up to which the cost of instances was counted for the reports. */
  countedUntil: z.number()
})
/** Demand, capacities, reclaims and refusals. */
export type Learned = z.infer<typeof learnedSchema>

/**
 * @param now wall time, in milliseconds
 * @example
 * const learned = emptyLearned(clock.wall())
 */
export function emptyLearned (now: number): Learned {
  return { demands: [], capacities: [], recomputed: [], reclaims: emptyReclaimHistory(now), refusals: [], countedUntil: now }
}

/**
 * @example
 * const demand = demandOf(learned, service)
 */
export function demandOf (learned: Learned, service: ServiceName): Demand | undefined {
  return learned.demands.find((entry) => entry.service === service)?.demand
}

/**
 * @example
 * const next = withDemand(learned, service, observeDemand(demandOf(learned, service), sample))
 */
export function withDemand (learned: Learned, service: ServiceName, demand: Demand): Learned {
  return { ...learned, demands: [...learned.demands.filter((entry) => entry.service !== service), { service, demand }] }
}

/**
 * @example
 * const known = capacityKnown(learned, service, 'large')
 */
export function capacityKnown (learned: Learned, service: ServiceName, machineClass: string): InstanceCapacity | undefined {
  return learned.capacities.find((entry) => entry.service === service && entry.machineClass === machineClass)?.capacity
}

/**
 * @example
 * const next = withCapacity(learned, service, 'large', learnCapacity(known, sample))
 */
export function withCapacity (learned: Learned, service: ServiceName, machineClass: string, capacity: InstanceCapacity): Learned {
  const others = learned.capacities.filter((entry) => entry.service !== service || entry.machineClass !== machineClass)
  return { ...learned, capacities: [...others, { service, machineClass, capacity }] }
}

/**
 * Tokens computed again for each unit of work a second that a reclaim takes, or undefined before one was seen.
 *
 * @example
 * const perLostWork = recomputedPerLostWork(learned, service) ?? estimate
 */
export function recomputedPerLostWork (learned: Learned, service: ServiceName): number | undefined {
  return learned.recomputed.find((entry) => entry.service === service)?.perLostWork
}

/** Weight of one reclaim among those seen before. */
const RECLAIM_WEIGHT = 0.1

/**
 * Learns what reclaims made engines compute again.
 *
 * @param tokens recomputed tokens since the last call
 * @param lost capacity of each instance that was taken back since the last call, work a second
 * @example
 * const next = withRecomputed(learned, service, 24_000, [600, 600])
 */
export function withRecomputed (learned: Learned, service: ServiceName, tokens: number, lost: readonly number[]): Learned {
  const lostWork = lost.reduce((sum, work) => sum + work, 0)
  if (lostWork <= 0) return learned
  const seen = tokens / lostWork
  const known = recomputedPerLostWork(learned, service) ?? seen
  const weight = 1 - (1 - RECLAIM_WEIGHT) ** lost.length
  const perLostWork = known + weight * (seen - known)
  return { ...learned, recomputed: [...learned.recomputed.filter((entry) => entry.service !== service), { service, perLostWork }] }
}
