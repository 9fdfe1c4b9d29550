/** Types of a reclaim: notices, leaving instances, open streams, targets and plans. */
import * as z from 'zod'
import type { Milliseconds } from '../../clock.js'
import { addressSchema, failureDomainSchema, instanceNameSchema, requestIdSchema, upstreamNameSchema } from '../../identifiers.js'
import type { Address, FailureDomain, InstanceName, RequestId, UpstreamName } from '../../identifiers.js'

/** Source of the first notice that an instance is leaving. */
export const noticeSourceSchema = z.enum(['cloud', 'instance-list', 'load-report', 'refusal', 'peer'])
export type NoticeSource = z.infer<typeof noticeSourceSchema>

/** A notice that an instance is leaving. Times are of the local clock. */
export interface Notice {
  readonly instance: InstanceName
  /** Address of the leaving incarnation. Undefined if the source knows only the name. */
  readonly address: Address | undefined
  readonly source: NoticeSource
  /** When the first node received the notice. */
  readonly noticedAt: Milliseconds
  /** When the instance ends. Undefined if the source does not state the end. */
  readonly deadline: Milliseconds | undefined
}

/** An instance that is leaving, from the first notice on. */
export interface LeavingInstance {
  readonly instance: InstanceName
  readonly address: Address | undefined
  readonly source: NoticeSource
  readonly noticedAt: Milliseconds
  /** Earliest plausible end of the instance. */
  readonly deadline: Milliseconds
  /** Whether a source has stated the deadline. Otherwise it is assumed. */
  readonly announced: boolean
}

/**
 * Notice as sent between nodes. It contains durations instead of times, because the clocks of two processes differ.
 */
export const noticeMessageSchema = z.object({
  instance: instanceNameSchema,
  address: addressSchema.optional(),
  /** Time since the first node received the notice, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Time until the instance ends, in milliseconds. Absent if no source has stated the end. */
  remainingMs: z.number().nonnegative().optional()
})
export type NoticeMessage = z.infer<typeof noticeMessageSchema>

/** Number of tokens of a prompt that an upstream is expected to have cached. */
export const prefixHitSchema = z.object({ upstream: upstreamNameSchema, tokens: z.number().int().nonnegative() })

/** A stream that is open at a leaving upstream. It is serialisable, because one node plans the streams of several. */
export const openStreamSchema = z.object({
  id: requestIdSchema,
  /**
   * Whether the stream may be started again from its prompt. Otherwise it may only finish, or move by its stream
   * handle.
   */
  idempotent: z.boolean(),
  promptTokens: z.number().int().nonnegative(),
  /** Number of tokens generated so far. */
  generatedTokens: z.number().int().nonnegative(),
  /** Estimated number of tokens still to be generated. */
  remainingTokens: z.number().nonnegative(),
  /** Tokens that the leaving upstream has cached for this stream. 0 before the stream starts to run. */
  cachedTokens: z.number().int().nonnegative(),
  /** Time between two tokens at the leaving upstream, in milliseconds. */
  tokenTime: z.number().positive(),
  /**
   * Time left to the class's target for the whole answer, in milliseconds. Negative if the target has been missed.
   */
  slack: z.number(),
  /** Other upstreams that have cached a part of the prompt. */
  prefixHits: z.array(prefixHitSchema)
})
export type OpenStream = z.infer<typeof openStreamSchema>

/** An upstream of the same service to which streams may move. */
export interface ReclaimTarget {
  readonly upstream: UpstreamName
  readonly failureDomain: FailureDomain
  readonly leaving: boolean
  /** Free cache memory, in tokens. */
  readonly freeCacheTokens: number
  /** Number of additional streams that it can run without making them wait. */
  readonly freeSlots: number
  /** Prompt tokens computed per millisecond. */
  readonly prefillRate: number
  /** Time between two tokens at its current load. */
  readonly tokenTime: Milliseconds
  /** Cached tokens that it can import per millisecond. */
  readonly importRate: number
}

/** The link of a leaving instance, as estimated from earlier transfers. */
export interface ExportLink {
  /** Cached tokens sent per millisecond. */
  readonly rate: number
  /** Time that a transfer takes whatever its size. */
  readonly setup: Milliseconds
  /** Time until exports that were planned earlier have ended. */
  readonly busyFor: Milliseconds
}

/** Input of the plan for one leaving upstream. */
export interface ReclaimSituation {
  readonly upstream: UpstreamName
  readonly failureDomain: FailureDomain
  readonly deadline: Milliseconds
  readonly link: ExportLink
  readonly streams: readonly OpenStream[]
  readonly targets: readonly ReclaimTarget[]
  /** Upstreams of the service that are leaving at the moment, including this one. */
  readonly leaving: readonly UpstreamName[]
  /** Failure domains that are being reclaimed as a whole. */
  readonly leavingDomains: readonly FailureDomain[]
  /**
   * The deployment's target for recomputed tokens per 1,000 generated ones. With a low target, recomputed tokens
   * weigh more than machine time.
   */
  readonly recomputedPerThousandTokens: number
}

/**
 * Plan for one stream.
 * - `finish`: the stream is expected to end before the deadline.
 * - `export`: its cache moves to the target, where it continues without recomputation. If the link is too slow, the
 *   plan named by `otherwise` applies.
 * - `resume`: it is started again from its prompt and the tokens generated so far. Without a target, the scheduler
 *   chooses one.
 * - `stay`: it must not be started again and no export fits. It runs until its upstream ends, and is reported as lost
 *   if it is incomplete by then.
 */
export const streamPlanSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('finish'), id: requestIdSchema }),
  z.object({ kind: z.literal('export'), id: requestIdSchema, target: upstreamNameSchema, startAfter: z.number().nonnegative(), endAfter: z.number().nonnegative(), otherwise: z.enum(['finish', 'resume', 'stay']) }),
  z.object({ kind: z.literal('resume'), id: requestIdSchema, target: upstreamNameSchema.optional(), startAfter: z.number().nonnegative() }),
  z.object({ kind: z.literal('stay'), id: requestIdSchema })
])
export type StreamPlan = z.infer<typeof streamPlanSchema>

/** A possible export, with its cost on the link and its benefit. */
export interface ExportCandidate {
  readonly id: RequestId
  /** Tokens to send. */
  readonly tokens: number
  /** Recomputed tokens that the export avoids. */
  readonly savedTokens: number
  /** Expected time on the link. */
  readonly duration: Milliseconds
  /** Whether the export is the only way to save the stream. */
  readonly required: boolean
  readonly slack: Milliseconds
}

/** Failure domain of an upstream, used to detect reclaims of whole domains. */
export const domainMemberSchema = z.object({ failureDomain: failureDomainSchema, leaving: z.boolean() })
