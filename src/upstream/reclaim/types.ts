/** What is known of a reclaim, and what is planned for the streams it hits. */
import * as z from 'zod'
import type { Milliseconds } from '../../clock.js'
import { addressSchema, failureDomainSchema, instanceNameSchema, requestIdSchema, upstreamNameSchema } from '../../identifiers.js'
import type { Address, FailureDomain, InstanceName, RequestId, UpstreamName } from '../../identifiers.js'

/** Who said first that an instance leaves. */
export const noticeSourceSchema = z.enum(['cloud', 'instance-list', 'load-report', 'refusal', 'peer'])
export type NoticeSource = z.infer<typeof noticeSourceSchema>

/** One statement that an instance leaves. Points in time are of the local clock. */
export interface Notice {
  readonly instance: InstanceName
  /** Address of the incarnation that leaves; undefined where the source knows only the name. */
  readonly address: Address | undefined
  readonly source: NoticeSource
  /** When the first node heard of it. */
  readonly noticedAt: Milliseconds
  /** When the instance ends, where the source says so. */
  readonly deadline: Milliseconds | undefined
}

/** An instance that leaves, from the first notice on. */
export interface Leaving {
  readonly instance: InstanceName
  readonly address: Address | undefined
  readonly source: NoticeSource
  readonly noticedAt: Milliseconds
  /** Earliest plausible end. */
  readonly deadline: Milliseconds
  /** False: no source has told the deadline, it is assumed. */
  readonly announced: boolean
}

/** A notice between nodes. Durations instead of points in time: clocks of two processes differ. */
export const noticeMessageSchema = z.object({
  instance: instanceNameSchema,
  address: addressSchema.optional(),
  /** Time since the first node heard of it. */
  ageMs: z.number().nonnegative(),
  /** Time until the instance ends; absent when nobody was told. */
  remainingMs: z.number().nonnegative().optional()
})
export type NoticeMessage = z.infer<typeof noticeMessageSchema>

/** Tokens of a prompt that an upstream is expected to have cached. */
export const prefixHitSchema = z.object({ upstream: upstreamNameSchema, tokens: z.number().int().nonnegative() })

/** A stream that is open at a leaving upstream. Serializable: one node plans for the streams of several. */
export const openStreamSchema = z.object({
  id: requestIdSchema,
  /** False: it may finish or move by its handle, but never be started again from its prompt. */
  idempotent: z.boolean(),
  promptTokens: z.number().int().nonnegative(),
  /** Tokens of the answer that exist. */
  generatedTokens: z.number().int().nonnegative(),
  /** Estimated tokens still to come. */
  remainingTokens: z.number().nonnegative(),
  /** Tokens the leaving upstream holds in its cache for this stream; 0 before it began to run. */
  cachedTokens: z.number().int().nonnegative(),
  /** Time between two tokens at the leaving upstream, in milliseconds. */
  tokenTime: z.number().positive(),
  /** Time until the class's target for the whole answer passes, in milliseconds; negative when it has passed. */
  slack: z.number(),
  /** Where a part of the prompt is cached besides. */
  prefixHits: z.array(prefixHitSchema)
})
export type OpenStream = z.infer<typeof openStreamSchema>

/** An upstream of the same service that may take streams over. */
export interface ReclaimTarget {
  readonly upstream: UpstreamName
  readonly failureDomain: FailureDomain
  readonly leaving: boolean
  /** Cache memory that can be filled, in tokens. */
  readonly freeCacheTokens: number
  /** Streams it can run besides its own without making them wait. */
  readonly freePlaces: number
  /** Tokens of prompt computed per millisecond. */
  readonly prefillRate: number
  /** Time between two tokens at its present load, in milliseconds. */
  readonly tokenTime: Milliseconds
  /** Tokens of cache it can import per millisecond. */
  readonly importRate: number
}

/** The link of a leaving instance, as learnt from earlier transfers. */
export interface ExportLink {
  /** Tokens of cache sent per millisecond. */
  readonly rate: number
  /** Time a transfer takes whatever its size, in milliseconds. */
  readonly setup: Milliseconds
  /** Time until exports that were planned before have ended, in milliseconds. */
  readonly busyFor: Milliseconds
}

/** Everything the plan for one leaving upstream depends on. */
export interface ReclaimSituation {
  readonly upstream: UpstreamName
  readonly failureDomain: FailureDomain
  readonly deadline: Milliseconds
  readonly link: ExportLink
  readonly streams: readonly OpenStream[]
  readonly targets: readonly ReclaimTarget[]
  /** Upstreams of the service that leave at this time, this one included. */
  readonly leaving: readonly UpstreamName[]
  /** Failure domains that are being reclaimed as a whole. */
  readonly leavingDomains: readonly FailureDomain[]
  /** The deployment's target; small: recomputed tokens weigh more than machine time. */
  readonly recomputedPerThousandTokens: number
}

/**
 * What becomes of one stream.
 * - `finish`: it is expected to end before the deadline.
 * - `export`: its cache moves to the target; it continues there without recomputation. When the link
 *   turns out too slow, it becomes what `otherwise` says.
 * - `resume`: started again from prompt and tokens so far; no target: the scheduler chooses.
 * - `stay`: it must not be started again and no export fits; it runs until its upstream ends, and
 *   what is not whole by then is reported as lost.
 */
export const streamPlanSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('finish'), id: requestIdSchema }),
  z.object({ kind: z.literal('export'), id: requestIdSchema, target: upstreamNameSchema, startAfter: z.number().nonnegative(), endAfter: z.number().nonnegative(), otherwise: z.enum(['finish', 'resume', 'stay']) }),
  z.object({ kind: z.literal('resume'), id: requestIdSchema, target: upstreamNameSchema.optional(), startAfter: z.number().nonnegative() }),
  z.object({ kind: z.literal('stay'), id: requestIdSchema })
])
export type StreamPlan = z.infer<typeof streamPlanSchema>

/** A stream's request id beside its estimated worth on the link. */
export interface ExportCandidate {
  readonly id: RequestId
  /** Tokens to send. */
  readonly tokens: number
  /** Recomputed tokens that the export avoids. */
  readonly saved: number
  /** Time on the link, in milliseconds. */
  readonly duration: Milliseconds
  /** True when nothing but an export can save the stream. */
  readonly required: boolean
  readonly slack: Milliseconds
}

/** Failure domain of an upstream, for the detection of domain-wide reclaims. */
export const domainMemberSchema = z.object({ failureDomain: failureDomainSchema, leaving: z.boolean() })
