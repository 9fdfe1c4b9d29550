/**
 * What nodes ask of each other, by tRPC (https://trpc.io/docs). Each matter has its own file of
 * procedures; {@link createPeerRouter} puts them together.
 */
import { agreementProcedures } from './agreement.js'
import type { AgreementHandlers } from './agreement.js'
import { peerRouter } from './procedure.js'
import { requestProcedures } from './request.js'
import type { RequestHandlers } from './request.js'

/** What a node does when a peer asks. */
export interface PeerHandlers {
  readonly agreement: AgreementHandlers
  readonly request: RequestHandlers
}

/**
 * @example
 * createPeerRouter({ agreement: membership.handlers, request: requestHandlers })
 */
export function createPeerRouter (handlers: PeerHandlers) {
  return peerRouter({
    agreement: agreementProcedures(handlers.agreement),
    request: requestProcedures(handlers.request)
  })
}

/** Type of the whole router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
