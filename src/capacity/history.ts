/** What the planner did and why, for operators: a bounded list in the key-value service. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'
import { offerIdentitySchema } from './types.js'

const count = z.number().int().nonnegative()

/** One thing that the planner did or found. */
export const plannerEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('lease-taken'), fencing: count }),
  /** Another mix was chosen for a service. */
  z.object({
    kind: z.literal('mix'),
    service: serviceNameSchema,
    /** Work a second to be served. */
    need: z.number(),
    costPerHour: z.number(),
    instances: z.array(offerIdentitySchema.extend({ count }))
  }),
  /** Instances of a service changed their state. */
  z.object({ kind: z.literal('instances'), service: serviceNameSchema, wanted: count, reclaimed: count, draining: count, released: count }),
  z.object({ kind: z.literal('start-refused'), service: serviceNameSchema, offer: offerIdentitySchema, reason: z.string() }),
  /** Which of the deployment's targets gives; ratios above 1 are missed. */
  z.object({ kind: z.literal('targets'), costRatio: z.number(), recomputedRatio: z.number(), gives: z.enum(['nothing', 'cost', 'recomputed', 'both']) }),
  /** Losses after which the class targets of a service could not be met, with what can be had at present. */
  z.object({ kind: z.literal('not-survivable'), service: serviceNameSchema, losses: z.array(z.array(failureDomainSchema)) }),
  z.object({ kind: z.literal('order'), service: serviceNameSchema, model: z.string(), generation: count }),
  /** An instance that nobody wants, started by an order that came late; it was released. */
  z.object({ kind: z.literal('stray'), instance: instanceNameSchema })
])
export type PlannerEvent = z.infer<typeof plannerEventSchema>

/** The list as it is kept; the newest event is last. */
export const plannerHistorySchema = z.object({
  events: z.array(z.object({
    /** Wall time, in milliseconds. */
    at: z.number(),
    event: plannerEventSchema
  }))
})
export type PlannerHistory = z.infer<typeof plannerHistorySchema>

/** Events kept. */
const LONGEST_HISTORY = 200

/**
 * Appends events; the oldest go.
 *
 * @param now wall time, in milliseconds
 * @example
 * const next = withEvents(history, events, clock.wall())
 */
export function withEvents (history: PlannerHistory, events: readonly PlannerEvent[], now: number): PlannerHistory {
  return { events: [...history.events, ...events.map((event) => ({ at: now, event }))].slice(-LONGEST_HISTORY) }
}

/**
 * One event as a line for people.
 *
 * @example
 * describeEvent({ kind: 'lease-taken', fencing: 7 }) // 'a planner took the lease, fencing number 7'
 */
export function describeEvent (event: PlannerEvent): string {
  switch (event.kind) {
    case 'lease-taken': return `a planner took the lease, fencing number ${event.fencing}`
    case 'mix': return `${event.service}: ${event.instances.map((entry) => `${entry.count} ${entry.machineClass} ${entry.market} in ${entry.failureDomain}`).join(', ')} for ${Math.ceil(event.need)} a second, ${event.costPerHour.toFixed(2)} an hour`
    case 'instances': return `${event.service}: ${event.wanted} ordered, ${event.reclaimed} reclaimed, ${event.draining} draining, ${event.released} given back`
    case 'start-refused': return `${event.service}: no ${event.offer.market} ${event.offer.machineClass} in ${event.offer.failureDomain}: ${event.reason}`
    case 'targets': return describeTargets(event)
    case 'not-survivable': return event.losses.length === 0 ? `${event.service}: every likely loss is survived again` : `${event.service}: targets would be missed after the loss of ${event.losses.map((loss) => loss.join(' with ')).join(', or of ')}`
    case 'order': return `${event.service}: engines are ordered to serve ${event.model}, generation ${event.generation}`
    case 'stray': return `${event.instance}: nobody wants it, given back`
  }
}

function describeTargets (event: Extract<PlannerEvent, { kind: 'targets' }>): string {
  const cost = `cost at ${percent(event.costRatio)} of its target`
  const recomputed = `recomputed tokens at ${percent(event.recomputedRatio)} of theirs`
  switch (event.gives) {
    case 'nothing': return `both targets are met: ${cost}, ${recomputed}`
    case 'cost': return `cost gives: ${cost}, ${recomputed}`
    case 'recomputed': return `recomputed tokens give: ${recomputed}, ${cost}`
    case 'both': return `both targets give: ${cost}, ${recomputed}`
  }
}

function percent (ratio: number): string {
  return `${Math.round(ratio * 100)}%`
}
