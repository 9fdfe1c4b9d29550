/**
 * Procedures by which nodes agree on configuration and membership. One periodic exchange carries configuration
 * revisions, membership changes and rumours. A new configuration is also delivered immediately, along a tree of nodes.
 */
import * as z from 'zod'
import { configurationRevisionSchema } from '../configuration/index.js'
import { addressSchema, incarnationSchema } from '../identifiers.js'
import { MAX_RUMOURS, nodeRecordSchema, rumourSchema, viewChangesSchema } from '../membership/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** State of one node, sent to a peer both as the request and as the response of an exchange. */
export const agreementMessageSchema = z.object({
  from: incarnationSchema,
  /** Configuration revision in force at the sender, or 0 for none. */
  revision: z.number().int().nonnegative(),
  /** Revision of the key-value service up to which the sender's membership view is complete. */
  seen: z.number().int().nonnegative(),
  /** Hash of the sender's membership view. Nodes with the same `seen` must have the same hash. */
  digest: z.number().int().nonnegative(),
  rumours: z.array(rumourSchema).max(MAX_RUMOURS),
  /** The sender's own node record, while the key-value service may not contain it. */
  record: nodeRecordSchema.optional(),
  /** Membership changes after the `seen` of the request. Set in responses only. */
  changes: viewChangesSchema.optional(),
  /** Configuration of the sender, if the revision of the request is lower. Set in responses only. */
  configuration: configurationRevisionSchema.optional()
})
export type AgreementMessage = z.infer<typeof agreementMessageSchema>

/** Node that a configuration is delivered to or that is probed. */
export const deliveryTargetSchema = z.object({ incarnation: incarnationSchema, peerAddress: addressSchema })
export type DeliveryTarget = z.infer<typeof deliveryTargetSchema>

/** Configuration for the receiver and for the subtree below the receiver. */
export const deliverySchema = z.object({
  from: incarnationSchema,
  configuration: configurationRevisionSchema,
  /** Nodes of the subtree, without the receiver. */
  below: z.array(deliveryTargetSchema).max(1_000),
  /** Time in milliseconds for which the sender waits for the response. */
  within_ms: z.number().positive()
})
export type Delivery = z.infer<typeof deliverySchema>

/** Response to a delivery. */
export const deliveryReceiptSchema = z.object({
  /** Revision in force at the receiver: the delivered revision or a later revision. */
  revision: z.number().int().nonnegative(),
  /** Nodes of the subtree that have not confirmed the configuration. */
  missing: z.array(incarnationSchema)
})
export type DeliveryReceipt = z.infer<typeof deliveryReceiptSchema>

/** Response to a probe: whether the probing node reached the target. */
export const probeAnswerSchema = z.object({ reached: z.boolean() })
export type ProbeAnswer = z.infer<typeof probeAnswerSchema>

/** Handlers of the agreement procedures at a node. */
export interface AgreementHandlers {
  /** Applies the state of a peer and returns the state of this node. */
  exchange (message: AgreementMessage): Promise<AgreementMessage>
  /** Applies a configuration and forwards the configuration to the subtree. */
  deliver (delivery: Delivery): Promise<DeliveryReceipt>
  /** Checks whether this node can reach the target. */
  probe (target: DeliveryTarget): Promise<ProbeAnswer>
}

/**
 * Creates the router of the agreement procedures.
 *
 * @example
 * agreementProcedures(membership.handlers)
 */
export function agreementProcedures (handlers: AgreementHandlers) {
  return peerRouter({
    exchange: peerProcedure.input(agreementMessageSchema).mutation(({ input }) => handlers.exchange(input)),
    deliver: peerProcedure.input(deliverySchema).mutation(({ input }) => handlers.deliver(input)),
    probe: peerProcedure.input(deliveryTargetSchema).mutation(({ input }) => handlers.probe(input))
  })
}
