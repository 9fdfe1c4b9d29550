/**
 * What nodes ask of each other, by tRPC (https://trpc.io/docs). Each matter has its own file of
 * procedures; {@link createPeerRouter} puts them together.
 */
import { agreementProcedures } from './agreement.js'
import type { AgreementHandlers } from './agreement.js'
import { inquiryProcedures } from './inquiry.js'
import type { InquiryHandlers } from './inquiry.js'
import { noteProcedures } from './notes.js'
import type { NoteHandlers } from './notes.js'
import { peerRouter } from './procedure.js'
import { reclaimProcedures } from './reclaim.js'
import type { ReclaimHandlers } from './reclaim.js'
import { requestProcedures } from './request.js'
import type { RequestHandlers } from './request.js'

/** What a node does when a peer asks. */
export interface PeerHandlers {
  readonly agreement: AgreementHandlers
  readonly inquiry: InquiryHandlers
  readonly notes: NoteHandlers
  readonly reclaim: ReclaimHandlers
  readonly request: RequestHandlers
}

/**
 * @example
 * createPeerRouter({ agreement: membership.handlers, request: requestHandlers })
 */
export function createPeerRouter (handlers: PeerHandlers) {
  return peerRouter({
    agreement: agreementProcedures(handlers.agreement),
    inquiry: inquiryProcedures(handlers.inquiry),
    notes: noteProcedures(handlers.notes),
    reclaim: reclaimProcedures(handlers.reclaim),
    request: requestProcedures(handlers.request)
  })
}

/** Type of the whole router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
