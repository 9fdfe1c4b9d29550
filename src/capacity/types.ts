/** What can be bought, what was bought, and what was taken back. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'

/** How an instance is paid for; a reclaimable one may be taken back after a notice. */
export const marketSchema = z.enum(['reclaimable', 'on-demand'])
export type Market = z.infer<typeof marketSchema>

/** What the cloud sells. */
export const offerSchema = z.object({
  failureDomain: failureDomainSchema,
  machineClass: z.string().min(1),
  market: marketSchema,
  /** Money an hour, in the cloud's currency. */
  pricePerHour: z.number().nonnegative()
})
export type Offer = z.infer<typeof offerSchema>

/** An order for one instance. Its name makes it idempotent: one name is started at most once, ever. */
export const startOrderSchema = z.object({
  name: instanceNameSchema,
  /** Deployment that the instance belongs to; the planner touches only its own group. */
  group: z.string().min(1),
  service: serviceNameSchema,
  failureDomain: failureDomainSchema,
  machineClass: z.string().min(1),
  market: marketSchema
})
export type StartOrder = z.infer<typeof startOrderSchema>

/** An instance as the cloud knows it. */
export const cloudInstanceSchema = startOrderSchema.extend({
  state: z.enum(['starting', 'live', 'reclaiming'])
})
export type CloudInstance = z.infer<typeof cloudInstanceSchema>

/** The cloud's answer to a start order. Being refused is an answer, not an error. */
export const startAnswerSchema = z.discriminatedUnion('kind', [
  /** Started now, or by an earlier order of the same name. */
  z.object({ kind: z.literal('started'), instance: cloudInstanceSchema }),
  /** The offer has nothing left at present. */
  z.object({ kind: z.literal('refused'), reason: z.string() }),
  /** The name was used and its instance has ended; it is never started again. */
  z.object({ kind: z.literal('ended') })
])
export type StartAnswer = z.infer<typeof startAnswerSchema>

/** The cloud takes an instance back. */
export const reclaimNoticeSchema = z.object({
  /** Strictly rising over all notices. */
  sequence: z.number().int().positive(),
  instance: instanceNameSchema,
  failureDomain: failureDomainSchema,
  /** Time left when the cloud answered, in milliseconds; a span, so that clocks need not agree. */
  remainingMs: z.number().nonnegative()
})
export type ReclaimNotice = z.infer<typeof reclaimNoticeSchema>

/** What makes two offers the same apart from their price. */
export const offerIdentitySchema = offerSchema.pick({ failureDomain: true, machineClass: true, market: true })
export type OfferIdentity = z.infer<typeof offerIdentitySchema>

/** An offer's identity as one string, for maps. */
export type OfferKey = string & { readonly offerKey: unique symbol }

/**
 * @example
 * offerKey({ failureDomain, machineClass: 'large', market: 'on-demand' }) // 'zone-a/large/on-demand'
 */
export function offerKey (offer: OfferIdentity): OfferKey {
  return `${offer.failureDomain}/${offer.machineClass}/${offer.market}` as OfferKey
}
