/** Base procedure of all peer routers. It accepts calls from processes of the system only. */
import { initTRPC, TRPCError } from '@trpc/server'

/** Context of a call. */
export interface PeerContext {
  /** Whether the caller presented the peers' key. */
  readonly authorised: boolean
}

const trpc = initTRPC.context<PeerContext>().create()

/** Creates a router from procedures. */
export const peerRouter = trpc.router

/** Procedure that rejects a call without the peers' key as `UNAUTHORIZED`. */
export const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.authorised) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the peers\' key is required' })
  return next()
})
