/**
 * Procedures about what nodes agree on. Configuration revisions, membership changes and suspicions
 * ride on one periodic exchange; a new configuration is delivered down a tree at once.
 */
import * as z from 'zod'
import { configurationRevisionSchema } from '../configuration/index.js'
import { addressSchema, incarnationSchema } from '../identifiers.js'
import { MAX_RUMOURS, nodeRecordSchema, rumourSchema, viewChangesSchema } from '../membership/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** What one node tells another, as question and as answer. */
export const agreementMessageSchema = z.object({
  from: incarnationSchema,
  /** Configuration revision in force at the sender; 0 for none. */
  revision: z.number().int().nonnegative(),
  /** Revision of the key-value service up to which the sender's view of the nodes is complete. */
  seen: z.number().int().nonnegative(),
  /** Hash of that view; two nodes that have seen the same must have the same. */
  digest: z.number().int().nonnegative(),
  rumours: z.array(rumourSchema).max(MAX_RUMOURS),
  /** The sender's own record, while the key-value service may not hold it. */
  record: nodeRecordSchema.optional(),
  /** Membership changes after the other's `seen`; only in answers. */
  changes: viewChangesSchema.optional(),
  /** The configuration, when the other's revision is lower; only in answers. */
  configuration: configurationRevisionSchema.optional()
})
export type AgreementMessage = z.infer<typeof agreementMessageSchema>

/** A node that a delivery must reach. */
export const deliveryTargetSchema = z.object({ incarnation: incarnationSchema, peerAddress: addressSchema })
export type DeliveryTarget = z.infer<typeof deliveryTargetSchema>

/** A configuration for the receiver and for the part of the tree below it. */
export const deliverySchema = z.object({
  from: incarnationSchema,
  configuration: configurationRevisionSchema,
  below: z.array(deliveryTargetSchema).max(1_000),
  /** Time the sender waits for the answer, in milliseconds. */
  within_ms: z.number().positive()
})
export type Delivery = z.infer<typeof deliverySchema>

/** Who of the receiver's part of the tree has not confirmed. */
export const deliveryReceiptSchema = z.object({
  /** Revision in force at the receiver: the delivered one or a later one. */
  revision: z.number().int().nonnegative(),
  missing: z.array(incarnationSchema)
})
export type DeliveryReceipt = z.infer<typeof deliveryReceiptSchema>

/** Whether another node can reach a third one. */
export const probeAnswerSchema = z.object({ reached: z.boolean() })
export type ProbeAnswer = z.infer<typeof probeAnswerSchema>

/** What a node does with such messages. */
export interface AgreementHandlers {
  exchange (message: AgreementMessage): Promise<AgreementMessage>
  deliver (delivery: Delivery): Promise<DeliveryReceipt>
  probe (target: DeliveryTarget): Promise<ProbeAnswer>
}

/** @example agreementProcedures(membership.handlers) */
export function agreementProcedures (handlers: AgreementHandlers) {
  return peerRouter({
    exchange: peerProcedure.input(agreementMessageSchema).mutation(({ input }) => handlers.exchange(input)),
    deliver: peerProcedure.input(deliverySchema).mutation(({ input }) => handlers.deliver(input)),
    probe: peerProcedure.input(deliveryTargetSchema).mutation(({ input }) => handlers.probe(input))
  })
}
