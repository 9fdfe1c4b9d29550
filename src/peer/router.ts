/** Router of all tRPC procedures (https://trpc.io/docs) that nodes call on each other, one sub-router for each file. */
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

/** Handlers of all procedures at a node. */
export interface PeerHandlers {
  readonly agreement: AgreementHandlers
  readonly inquiry: InquiryHandlers
  readonly notes: NoteHandlers
  readonly reclaim: ReclaimHandlers
  readonly request: RequestHandlers
}

/**
 * Creates the router of a node.
 *
 * @example
 * createPeerRouter({ agreement: membership.handlers, inquiry, notes, reclaim, request: requestHandlers })
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

/** Type of the router, from which clients derive the types of their calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
