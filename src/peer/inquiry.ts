/** Procedures by which a node collects data from its peers to answer an operator. */
import * as z from 'zod'
import { incarnationSchema, requestIdSchema } from '../identifiers.js'
import type { RequestId } from '../identifiers.js'
import { requestFactsSchema } from '../report/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/**
 * Facts that a node has recorded about one request. `request` is missing if the node never received the request or
 * has discarded its record.
 */
export const explanationSchema = z.object({ incarnation: incarnationSchema, request: requestFactsSchema.optional() })
export type Explanation = z.infer<typeof explanationSchema>

/** Current state of a node. */
export const nodeStateSchema = z.object({
  incarnation: incarnationSchema,
  /** Configuration revision in force, or 0 for none. */
  revision: z.number().int().nonnegative(),
  /** Whether the node accepts new requests. */
  usable: z.boolean(),
  /** Time in milliseconds since the node's report was last confirmed. Missing before the first confirmation. */
  reportAge: z.number().optional(),
  /** Number of open requests at the node. */
  open: z.number().int().nonnegative()
})
export type NodeState = z.infer<typeof nodeStateSchema>

/** Handlers of the inquiry procedures at a node. */
export interface InquiryHandlers {
  /** Returns the recorded facts about a request. */
  explain (id: RequestId): Explanation
  /** Returns the current state of the node. */
  state (): NodeState
  /** Writes the node's report immediately. */
  writeReport (): Promise<void>
}

/**
 * Creates the router of the inquiry procedures.
 *
 * @example
 * inquiryProcedures(createInquiryHandlers(parts))
 */
export function inquiryProcedures (handlers: InquiryHandlers) {
  return peerRouter({
    explain: peerProcedure.input(z.object({ id: requestIdSchema })).output(explanationSchema).query(({ input }) => handlers.explain(input.id)),
    state: peerProcedure.output(nodeStateSchema).query(() => handlers.state()),
    writeReport: peerProcedure.mutation(() => handlers.writeReport())
  })
}
