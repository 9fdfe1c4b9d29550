/** Log of the planner's actions and their reasons for operators: a bounded list in the key-value service. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'
import { offerIdentitySchema } from './types.js'

const count = z.number().int().nonnegative()

/** One action or finding of the planner. */
export const plannerEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('lease-taken'), fencing: count }),
  /** The chosen mix of a service has changed. */
  z.object({
    kind: z.literal('mix'),
    service: serviceNameSchema,
    /** Work per second to be served. */
    need: z.number(),
    costPerHour: z.number(),
    instances: z.array(offerIdentitySchema.extend({ count }))
  }),
  /** Numbers of instances of a service that changed their state. */
  z.object({ kind: z.literal('instances'), service: serviceNameSchema, wanted: count, reclaimed: count, draining: count, released: count }),
  z.object({ kind: z.literal('start-refused'), service: serviceNameSchema, offer: offerIdentitySchema, reason: z.string() }),
  /** Which of the deployment's targets are exceeded. A ratio above 1 misses its target. */
  z.object({ kind: z.literal('targets'), costRatio: z.number(), recomputedRatio: z.number(), gives: z.enum(['nothing', 'cost', 'recomputed', 'both']) }),
  /** Losses after which the class targets of a service could not be met with the capacity available at present. */
  z.object({ kind: z.literal('not-survivable'), service: serviceNameSchema, losses: z.array(z.array(failureDomainSchema)) }),
  z.object({ kind: z.literal('order'), service: serviceNameSchema, model: z.string(), generation: count }),
  /** An instance that is not wanted and was started by a late order. It was released. */
  z.object({ kind: z.literal('stray'), instance: instanceNameSchema })
])
export type PlannerEvent = z.infer<typeof plannerEventSchema>

/** The stored list. The newest event is last. */
export const plannerHistorySchema = z.object({
  events: z.array(z.object({
    /** Wall time, in milliseconds. */
    at: z.number(),
    event: plannerEventSchema
  }))
})
export type PlannerHistory = z.infer<typeof plannerHistorySchema>

/** Maximum number of events kept. */
const MAX_EVENTS = 200

/**
 * Appends events and drops the oldest ones beyond the limit.
 *
 * @param now wall time, in milliseconds
 * @example
 * const next = withEvents(history, events, clock.wall())
 */
export function withEvents (history: PlannerHistory, events: readonly PlannerEvent[], now: number): PlannerHistory {
  return { events: [...history.events, ...events.map((event) => ({ at: now, event }))].slice(-MAX_EVENTS) }
}

/**
 * Describes an event in one line of text.
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
