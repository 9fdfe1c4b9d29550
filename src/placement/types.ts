/** What placement knows of upstreams and requests. */
import type { Milliseconds } from '../clock.js'

/** One life of an upstream, as the registry tells it. */
export interface UpstreamRecord {
  /** New with each start, unlike the address. */
  readonly id: string
  readonly service: string
  readonly address: string
  readonly failureDomain: string
  /** Requests that it runs at once. */
  readonly slots: number
  /** A leaving upstream takes no new work. */
  readonly leaving: boolean
  /** Time until it is gone, where that is known. */
  readonly leavesIn: Milliseconds | undefined
  /** The platform may take it back at short notice. */
  readonly reclaimable: boolean
}

/** One part of a prompt; parts are cached in order. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a request asks of an upstream. */
export interface Work {
  readonly service: string
  readonly parts: readonly PromptPart[]
  /** Tokens of the whole prompt. */
  readonly promptTokens: number
  /** It can't go on elsewhere once it has begun, and runs for longer than the notice of a reclaim. */
  readonly bound: boolean
}

/** What one node has in flight at one upstream. */
export interface NodeLoad {
  readonly requests: number
  /** Reading of prompts that it has still to do before it can answer new ones. */
  readonly reading: Milliseconds
}

/** Loads by upstream id. */
export type InFlight = Readonly<Record<string, NodeLoad>>
