/** Upstreams, requests and loads as placement sees them. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'

/**
 * Identifies one incarnation of an upstream, from its start to its end. Load, failures, reclaim notice and open connections
 * are kept by incarnation, because a restarted upstream may have the same id with none of the earlier state, and another
 * upstream may get the same address.
 */
export const upstreamIncarnationSchema = z.string().brand('UpstreamLife')
export type UpstreamIncarnation = z.infer<typeof upstreamIncarnationSchema>

/** One incarnation of an upstream, as registered. */
export interface UpstreamRecord {
  /** Name of the upstream. A restart may keep it. */
  readonly id: string
  /** Key of all state that is kept about the upstream. */
  readonly incarnation: UpstreamIncarnation
  readonly service: string
  /** Version of its software; empty where the upstream gives none. */
  readonly version: string
  readonly address: string
  readonly failureDomain: string
  /** Number of requests that it runs concurrently. */
  readonly slots: number
  /** A leaving upstream takes no new requests. */
  readonly leaving: boolean
  /** Time until it is gone; undefined where that is not known. */
  readonly leavesIn: Milliseconds | undefined
  /** Whether the platform may reclaim its instance at short notice. */
  readonly reclaimable: boolean
}

/**
 * Forms the identifier of an incarnation.
 *
 * @param id of the upstream
 * @param startedAt time of its start as registered; undefined where none is registered, in which case each start has a new
 * id
 * @example
 * incarnationOf('i-7', 1_790_000_000_000) // 'i-7@1790000000000'
 */
export function incarnationOf (id: string, startedAt: Milliseconds | undefined): UpstreamIncarnation {
  return (startedAt === undefined ? id : `${id}@${startedAt}`) as UpstreamIncarnation
}

/** One part of a prompt. Engines cache parts in their order, as a prefix. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A request to be placed. */
export interface PlacementRequest {
  readonly service: string
  readonly parts: readonly PromptPart[]
  /** Tokens of the whole prompt. */
  readonly promptTokens: number
  /** Time to the first byte of the answer within which the request counts as in time. */
  readonly target: Milliseconds
  /**
   * Whether a reclaim of the upstream loses the request: it cannot be moved once begun and runs for longer than the notice.
   */
  readonly lostOnReclaim: boolean
  /** Whether the first answer comes after the prefill, rather than at the end of the request. */
  readonly streams: boolean
}

/** Requests of one node in flight at one upstream. */
export interface NodeLoad {
  readonly requests: number
  /** Prefill time of the requests without a first answer, not reduced by the time that has elapsed since their dispatch. */
  readonly reading: Milliseconds
  /** Requests without a first answer. */
  readonly unanswered: number
}

/** Loads by incarnation of an upstream. */
export type InFlight = Readonly<Record<UpstreamIncarnation, NodeLoad>>
