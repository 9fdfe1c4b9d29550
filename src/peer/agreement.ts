/** Procedures about what nodes agree on: revisions and liveness ride on one exchange. */
import { z } from 'zod'
import { incarnationSchema } from '../identifiers.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** What one node tells another about itself. */
export const agreementMessageSchema = z.object({
  from: incarnationSchema,
  /** Configuration revision in force at the sender; 0 for none. */
  revision: z.number().int().nonnegative()
})
export type AgreementMessage = z.infer<typeof agreementMessageSchema>

/** What a node does with such a message. */
export interface AgreementHandlers {
  exchange (message: AgreementMessage): Promise<AgreementMessage>
}

/** @example agreementProcedures({ exchange: async (message) => ({ from: own, revision: 3 }) }) */
export function agreementProcedures (handlers: AgreementHandlers) {
  return peerRouter({
    exchange: peerProcedure.input(agreementMessageSchema).mutation(({ input }) => handlers.exchange(input))
  })
}
