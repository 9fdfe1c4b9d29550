/** Procedures by which a node answers operators' questions that reach further than itself. */
import * as z from 'zod'
import { incarnationSchema, requestIdSchema } from '../identifiers.js'
import type { RequestId } from '../identifiers.js'
import { requestFactsSchema } from '../report/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** What a node remembers of one request; nothing when it never saw it or has forgotten it. */
export const explanationSchema = z.object({ incarnation: incarnationSchema, request: requestFactsSchema.optional() })
export type Explanation = z.infer<typeof explanationSchema>

/** What is in force at a node. */
export const nodeStateSchema = z.object({
  incarnation: incarnationSchema,
  /** Configuration revision in force; 0 for none. */
  revision: z.number().int().nonnegative(),
  /** Whether the node takes new work. */
  usable: z.boolean(),
  /** Time since its report was last confirmed, in milliseconds; none: not yet. */
  reportAge: z.number().optional(),
  /** Requests open at it. */
  open: z.number().int().nonnegative()
})
export type NodeState = z.infer<typeof nodeStateSchema>

/** What a node does with such questions. */
export interface InquiryHandlers {
  explain (id: RequestId): Explanation
  state (): NodeState
  /** Writes the node's report now. */
  writeReport (): Promise<void>
}

/** @example inquiryProcedures(createInquiryHandlers(parts)) */
export function inquiryProcedures (handlers: InquiryHandlers) {
  return peerRouter({
    explain: peerProcedure.input(z.object({ id: requestIdSchema })).output(explanationSchema).query(({ input }) => handlers.explain(input.id)),
    state: peerProcedure.output(nodeStateSchema).query(() => handlers.state()),
    writeReport: peerProcedure.mutation(() => handlers.writeReport())
  })
}
