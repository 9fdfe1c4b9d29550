/** Procedures about reclaims of upstreams: notices are passed on, and one node plans for all. */
import * as z from 'zod'
import { incarnationSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import { noticeMessageSchema, openStreamSchema, streamPlanSchema } from '../upstream/reclaim/index.js'
import type { StreamPlan } from '../upstream/reclaim/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

const MOST_NOTICES = 1_000
const MOST_STREAMS = 2_000

/** Notices that are new to the sender. */
export const noticesMessageSchema = z.object({
  from: incarnationSchema,
  notices: z.array(noticeMessageSchema).max(MOST_NOTICES)
})
export type NoticesMessage = z.infer<typeof noticesMessageSchema>

/** The streams that one node has open at a leaving upstream. */
export const planRequestSchema = z.object({
  from: incarnationSchema,
  upstream: upstreamNameSchema,
  /** Time until the upstream ends, as the sender knows it. */
  remainingMs: z.number().nonnegative(),
  streams: z.array(openStreamSchema).max(MOST_STREAMS)
})
export type PlanRequest = z.infer<typeof planRequestSchema>

/** Plans for exactly the streams that were asked about. */
export const planAnswerSchema = z.object({ plans: z.array(streamPlanSchema) })

/** An export that wants its turn on the link of a leaving upstream. */
export const turnRequestSchema = z.object({
  upstream: upstreamNameSchema,
  id: requestIdSchema,
  tokens: z.number().nonnegative(),
  /** Planned start; smaller goes first. */
  rank: z.number().nonnegative(),
  /** Nothing but an export can save the stream. */
  required: z.boolean(),
  remainingMs: z.number().nonnegative()
})
export type TurnRequest = z.infer<typeof turnRequestSchema>

/** The export of a turn has ended. */
export const turnEndSchema = z.object({ upstream: upstreamNameSchema, id: requestIdSchema, moved: z.boolean() })
export type TurnEnd = z.infer<typeof turnEndSchema>

/** What a node does with such messages. */
export interface ReclaimHandlers {
  notices (message: NoticesMessage): void
  plan (request: PlanRequest): Promise<{ plans: readonly StreamPlan[] }>
  /** Resolves when it is the export's turn, or when it does not fit any more. */
  turn (request: TurnRequest): Promise<{ go: boolean }>
  turnEnded (end: TurnEnd): void
}

/** @example reclaimProcedures({ notices: keeper.heard, plan: planner.plan }) */
export function reclaimProcedures (handlers: ReclaimHandlers) {
  return peerRouter({
    notices: peerProcedure.input(noticesMessageSchema).mutation(({ input }) => handlers.notices(input)),
    plan: peerProcedure.input(planRequestSchema).mutation(({ input }) => handlers.plan(input)),
    turn: peerProcedure.input(turnRequestSchema).mutation(({ input }) => handlers.turn(input)),
    turnEnded: peerProcedure.input(turnEndSchema).mutation(({ input }) => handlers.turnEnded(input))
  })
}
