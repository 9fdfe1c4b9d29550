/**
 * What nodes ask of each other, by tRPC (https://trpc.io/docs). Each matter has its own file of
 * procedures; {@link createPeerRouter} puts them together.
 */
import { agreementProcedures } from './agreement.js'
import type { AgreementHandlers } from './agreement.js'
import { peerRouter } from './procedure.js'

/** What a node does when a peer asks. */
export interface PeerHandlers {
  readonly agreement: AgreementHandlers
}

/**
 * @example
 * createPeerRouter({ agreement: { exchange: async (message) => reply } })
 */
export function createPeerRouter (handlers: PeerHandlers) {
  return peerRouter({ agreement: agreementProcedures(handlers.agreement) })
}

/** Type of the whole router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
