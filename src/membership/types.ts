/** Records, changes and rumours about entry nodes, as exchanged between nodes and with callers. */
import * as z from 'zod'
import { addressSchema, failureDomainSchema, incarnationSchema, instanceNameSchema } from '../identifiers.js'

/** Record of one entry node. */
export const nodeRecordSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  failureDomain: failureDomainSchema,
  /** Address for callers. */
  address: addressSchema,
  /** Address for other nodes. */
  peerAddress: addressSchema,
  /** Whether the node is leaving. Its address is then no longer given to callers. */
  leaving: z.boolean()
})
export type NodeRecord = z.infer<typeof nodeRecordSchema>

/**
 * State of an incarnation.
 *
 * - `live`: in the view.
 * - `leaving`: in the view, but accepts no new work.
 * - `gone`: removed from the view because its lease expired, it left, or its instance runs a newer incarnation.
 * - `unknown`: never seen, or removed so long ago that it is no longer recorded.
 */
export type PeerState = 'live' | 'leaving' | 'gone' | 'unknown'

/** One membership change with its revision at the key-value service. */
export const viewChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), revision: z.number().int().nonnegative(), record: nodeRecordSchema }),
  z.object({ kind: z.literal('delete'), revision: z.number().int().nonnegative(), incarnation: incarnationSchema })
])
export type ViewChange = z.infer<typeof viewChangeSchema>

/** Consecutive membership changes. */
export const viewChangesSchema = z.object({
  /** Revision after which the list is complete (exclusive). */
  after: z.number().int().nonnegative(),
  /** Revision up to which the list is complete (inclusive). */
  upTo: z.number().int().nonnegative(),
  changes: z.array(viewChangeSchema)
})
export type ViewChanges = z.infer<typeof viewChangesSchema>

/**
 * A statement about a node, spread between nodes: a suspicion or its refutation.
 *
 * The statement with the higher number takes precedence. At equal numbers a suspicion does. Only the node itself
 * increases its number, in order to refute a suspicion.
 */
export const rumourSchema = z.object({
  about: incarnationSchema,
  state: z.enum(['live', 'suspect']),
  number: z.number().int().nonnegative(),
  /** Time since the statement was first made by any node, in milliseconds. */
  age_ms: z.number().int().nonnegative()
})
export type Rumour = z.infer<typeof rumourSchema>

/** Answer to a caller that asks for the addresses of entry nodes. */
export const addressAnswerSchema = z.object({
  nodes: z.array(z.object({ address: addressSchema, incarnation: incarnationSchema, failure_domain: failureDomainSchema })),
  /** Time for which the caller may use the answer, in milliseconds. */
  lifetime_ms: z.number().int().positive()
})
export type AddressAnswer = z.infer<typeof addressAnswerSchema>
