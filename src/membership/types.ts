/** Entry nodes as each other and callers see them. */
import * as z from 'zod'
import { addressSchema, failureDomainSchema, incarnationSchema, instanceNameSchema } from '../identifiers.js'

/** One entry node's record. */
export const nodeRecordSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  failureDomain: failureDomainSchema,
  /** Where callers connect. */
  address: addressSchema,
  /** Where peers connect. */
  peerAddress: addressSchema,
  /** A leaving node is not given to callers any more. */
  leaving: z.boolean()
})
export type NodeRecord = z.infer<typeof nodeRecordSchema>

/**
 * What is known of an incarnation.
 *
 * - `live`: in the view.
 * - `leaving`: in the view, takes no new work.
 * - `gone`: was in the view; its lease lapsed, it left, or its instance runs a new incarnation.
 * - `unknown`: never seen, or gone so long ago that it has been forgotten.
 */
export type PeerState = 'live' | 'leaving' | 'gone' | 'unknown'

/** One membership change with the key-value service's revision of it. */
export const viewChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), revision: z.number().int().nonnegative(), record: nodeRecordSchema }),
  z.object({ kind: z.literal('delete'), revision: z.number().int().nonnegative(), incarnation: incarnationSchema })
])
export type ViewChange = z.infer<typeof viewChangeSchema>

/** Consecutive membership changes. */
export const viewChangesSchema = z.object({
  /** The list holds every change after this revision... */
  after: z.number().int().nonnegative(),
  /** ...up to and with this one. */
  upTo: z.number().int().nonnegative(),
  changes: z.array(viewChangeSchema)
})
export type ViewChanges = z.infer<typeof viewChangesSchema>

/**
 * What nodes tell each other about a node that does not answer. A higher number wins; at the same
 * number a suspicion wins. Only the node itself raises its number, to refute a suspicion.
 */
export const rumourSchema = z.object({
  about: incarnationSchema,
  state: z.enum(['live', 'suspect']),
  number: z.number().int().nonnegative(),
  /** How long the sender has believed it or heard that others have, in milliseconds. */
  age_ms: z.number().int().nonnegative()
})
export type Rumour = z.infer<typeof rumourSchema>

/** What callers receive when they ask which addresses to use. */
export const addressAnswerSchema = z.object({
  nodes: z.array(z.object({ address: addressSchema, incarnation: incarnationSchema, failure_domain: failureDomainSchema })),
  /** The answer may be kept this long, in milliseconds. */
  lifetime_ms: z.number().int().positive()
})
export type AddressAnswer = z.infer<typeof addressAnswerSchema>
