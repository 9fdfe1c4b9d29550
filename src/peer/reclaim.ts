/**
 * Procedures about reclaims of upstreams. Nodes forward reclaim notices to each other, and one node plans the exports of
 * a leaving upstream for all nodes.
 */
import * as z from 'zod'
import { incarnationSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import { noticeMessageSchema, openStreamSchema, streamPlanSchema } from '../upstream/reclaim/index.js'
import type { StreamPlan } from '../upstream/reclaim/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** Maximum number of notices in one message. */
const MAX_NOTICES = 1_000

/** Maximum number of streams in one plan request. */
const MAX_STREAMS = 2_000

/** Reclaim notices that the sender has received for the first time. */
export const noticesMessageSchema = z.object({
  from: incarnationSchema,
  notices: z.array(noticeMessageSchema).max(MAX_NOTICES)
})
export type NoticesMessage = z.infer<typeof noticesMessageSchema>

/** Request for plans: the open streams of one node at a leaving upstream. */
export const planRequestSchema = z.object({
  from: incarnationSchema,
  upstream: upstreamNameSchema,
  /** Time in milliseconds until the upstream ends, as known to the sender. */
  remainingMs: z.number().nonnegative(),
  streams: z.array(openStreamSchema).max(MAX_STREAMS)
})
export type PlanRequest = z.infer<typeof planRequestSchema>

/** Plans for exactly the streams of the request. */
export const planAnswerSchema = z.object({ plans: z.array(streamPlanSchema) })

/** Request to add an export to the export queue of a leaving upstream's link. */
export const exportRequestSchema = z.object({
  upstream: upstreamNameSchema,
  id: requestIdSchema,
  /** Tokens to export. */
  tokens: z.number().nonnegative(),
  /** Planned start. Exports with a lower rank run first. */
  rank: z.number().nonnegative(),
  /** Whether the export is the only way to save the stream. */
  required: z.boolean(),
  /** Time in milliseconds until the upstream ends, as known to the sender. */
  remainingMs: z.number().nonnegative()
})
export type ExportRequestMessage = z.infer<typeof exportRequestSchema>

/** Notification that a started export has ended. `moved` is true if the stream was exported. */
export const exportEndSchema = z.object({ upstream: upstreamNameSchema, id: requestIdSchema, moved: z.boolean() })
export type ExportEndMessage = z.infer<typeof exportEndSchema>

/** Handlers of the reclaim procedures at a node. */
export interface ReclaimHandlers {
  /** Receives notices that a peer forwards. */
  notices (message: NoticesMessage): void
  /** Resolves to the plans for the streams of the request. */
  plan (request: PlanRequest): Promise<{ plans: readonly StreamPlan[] }>
  /** Queues an export. Resolves when the export may start, or with `go: false` when too little time is left for it. */
  turn (request: ExportRequestMessage): Promise<{ go: boolean }>
  /** Removes an ended export, so that the next export of the queue may start. */
  turnEnded (end: ExportEndMessage): void
}

/**
 * Creates the router of the reclaim procedures.
 *
 * @example
 * reclaimProcedures({ notices: noticeReceiver.receive, ...coordinator })
 */
export function reclaimProcedures (handlers: ReclaimHandlers) {
  return peerRouter({
    notices: peerProcedure.input(noticesMessageSchema).mutation(({ input }) => handlers.notices(input)),
    plan: peerProcedure.input(planRequestSchema).mutation(({ input }) => handlers.plan(input)),
    turn: peerProcedure.input(exportRequestSchema).mutation(({ input }) => handlers.turn(input)),
    turnEnded: peerProcedure.input(exportEndSchema).mutation(({ input }) => handlers.turnEnded(input))
  })
}
