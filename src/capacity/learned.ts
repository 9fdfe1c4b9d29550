/** What the planner has learnt, kept for its successor: one value in the key-value service, of bounded size. */
import * as z from 'zod'
import { serviceNameSchema } from '../identifiers.js'
import type { ServiceName } from '../identifiers.js'
import { demandSchema } from './demand.js'
import type { Demand } from './demand.js'
import { instanceCapacitySchema } from './instance-capacity.js'
import type { InstanceCapacity } from './instance-capacity.js'
import { emptyReclaimHistory, reclaimHistorySchema } from './reclaim-history.js'
import { refusalSchema } from './refusals.js'

/** What the planner has learned: demand, capacities, reclaims and refusals. */
export const learnedSchema = z.object({
  demands: z.array(z.object({ service: serviceNameSchema, demand: demandSchema })),
  capacities: z.array(z.object({ service: serviceNameSchema, machineClass: z.string(), capacity: instanceCapacitySchema })),
  /** Tokens computed again, and the work a second that reclaims took, as decayed sums: the tokens are reported minutes later. */
  recomputed: z.array(z.object({ service: serviceNameSchema, tokens: z.number().nonnegative(), lostWork: z.number().nonnegative() })),
  reclaims: reclaimHistorySchema,
  refusals: z.array(refusalSchema),
  /** Wall time up to which the cost of instances was counted for the reports. */
  countedUntil: z.number()
})
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

/** Work a second that the estimate from before any reclaim counts for: about one instance's. */
const PRIOR_WORK = 1_000

/** Weight that earlier reclaims keep when one more is seen. */
const DECAY = 0.9

/**
 * Tokens computed again for each unit of work a second that a reclaim takes.
 *
 * @param prior estimate from before any reclaim was seen
 * @example
 * const perLostWork = recomputedPerLostWork(learned, service, 40)
 */
export function recomputedPerLostWork (learned: Learned, service: ServiceName, prior: number): number {
  const known = learned.recomputed.find((entry) => entry.service === service)
  if (known === undefined) return prior
  return (known.tokens + prior * PRIOR_WORK) / (known.lostWork + PRIOR_WORK)
}

/**
 * Learns what reclaims made engines compute again. Tokens and reclaims need not come together.
 *
 * @param tokens recomputed tokens since the last call
 * @param lost capacity of each instance that was taken back since the last call, work a second
 * @example
 * const next = withRecomputed(learned, service, 24_000, [600, 600])
 */
export function withRecomputed (learned: Learned, service: ServiceName, tokens: number, lost: readonly number[]): Learned {
  if (tokens === 0 && lost.length === 0) return learned
  const known = learned.recomputed.find((entry) => entry.service === service) ?? { tokens: 0, lostWork: 0 }
  const kept = DECAY ** lost.length
  const entry = { service, tokens: known.tokens * kept + tokens, lostWork: lost.reduce((sum, work) => sum + work, known.lostWork * kept) }
  return { ...learned, recomputed: [...learned.recomputed.filter((one) => one.service !== service), entry] }
}
