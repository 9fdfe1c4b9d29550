/** The procedure that all peer routers build on: only the system's own processes may call it. */
import { initTRPC, TRPCError } from '@trpc/server'

/** What every procedure knows of its caller. */
export interface PeerContext {
  /** The caller presented the peers' key. */
  readonly authorised: boolean
}

const trpc = initTRPC.context<PeerContext>().create()

/** Builds routers out of procedures. */
export const peerRouter = trpc.router

/** A procedure behind the peers' key. */
export const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.authorised) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'the peers\' key is required' })
  return next()
})
