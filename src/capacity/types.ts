/** Offers, start orders, instances and reclaim notices of the cloud. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'

/** Pricing model of an instance. The cloud may take a reclaimable instance back after a notice. */
export const marketSchema = z.enum(['reclaimable', 'on-demand'])
export type Market = z.infer<typeof marketSchema>

/** A machine class that the cloud offers in one failure domain and market. */
export const offerSchema = z.object({
  failureDomain: failureDomainSchema,
  machineClass: z.string().min(1),
  market: marketSchema,
  /** Price per hour, in the cloud's currency. */
  pricePerHour: z.number().nonnegative()
})
export type Offer = z.infer<typeof offerSchema>

/** An order to start one instance. The name makes it idempotent: at most one instance is ever started per name. */
export const startOrderSchema = z.object({
  name: instanceNameSchema,
  /** Deployment that the instance belongs to. The planner manages only the instances of its own group. */
  group: z.string().min(1),
  service: serviceNameSchema,
  failureDomain: failureDomainSchema,
  machineClass: z.string().min(1),
  market: marketSchema
})
export type StartOrder = z.infer<typeof startOrderSchema>

/** An instance as reported by the cloud. */
export const cloudInstanceSchema = startOrderSchema.extend({
  state: z.enum(['starting', 'live', 'reclaiming'])
})
export type CloudInstance = z.infer<typeof cloudInstanceSchema>

/** The cloud's answer to a start order. A refusal is a normal answer and not an error. */
export const startAnswerSchema = z.discriminatedUnion('kind', [
  /** Started by this order, or by an earlier order with the same name. */
  z.object({ kind: z.literal('started'), instance: cloudInstanceSchema }),
  /** The offer has no capacity at present. */
  z.object({ kind: z.literal('refused'), reason: z.string() }),
  /** An instance of this name was started before and has ended. It is never started again. */
  z.object({ kind: z.literal('ended') })
])
export type StartAnswer = z.infer<typeof startAnswerSchema>

/** Notice that the cloud takes an instance back. */
export const reclaimNoticeSchema = z.object({
  /** Strictly increasing over all notices. */
  sequence: z.number().int().positive(),
  instance: instanceNameSchema,
  failureDomain: failureDomainSchema,
  /** Milliseconds left when the cloud answered. It is a duration, so that clocks need not agree. */
  remainingMs: z.number().nonnegative()
})
export type ReclaimNotice = z.infer<typeof reclaimNoticeSchema>

/** The fields that identify an offer. Its price may change. */
export const offerIdentitySchema = offerSchema.pick({ failureDomain: true, machineClass: true, market: true })
export type OfferIdentity = z.infer<typeof offerIdentitySchema>

/** An offer's identity as a string, for use as a map key. */
export type OfferKey = string & { readonly offerKey: unique symbol }

/**
 * Key of an offer.
 *
 * @example
 * offerKey({ failureDomain, machineClass: 'large', market: 'on-demand' }) // 'zone-a/large/on-demand'
 */
export function offerKey (offer: OfferIdentity): OfferKey {
  return `${offer.failureDomain}/${offer.machineClass}/${offer.market}` as OfferKey
}
