/** Entry nodes as each other and callers see them. */
import { z } from 'zod'
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

/** What callers receive when they ask which addresses to use. */
export const addressAnswerSchema = z.object({
  nodes: z.array(z.object({ address: addressSchema, incarnation: incarnationSchema, failure_domain: failureDomainSchema })),
  /** The answer may be kept this long, in milliseconds. */
  lifetime_ms: z.number().int().positive()
})
export type AddressAnswer = z.infer<typeof addressAnswerSchema>
