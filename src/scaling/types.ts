/** What the size of a service is planned from. */
import type { Milliseconds } from '../clock.js'
import type { ScalingFacts } from '../routing/index.js'

/** Offered work of one service, a second, over all nodes. */
export interface OfferedWork {
  readonly requests: number
  readonly promptTokens: number
  readonly generatedTokens: number
}

/** One upstream as planning sees it. */
export interface PresentUpstream {
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly leaving: boolean
}

/** Kind and place of upstreams that are ordered together. */
export interface Pool {
  readonly failureDomain: string
  readonly reclaimable: boolean
}

/** Desired number of upstreams of one pool. */
export interface PoolSize extends Pool {
  readonly desired: number
}

/** What a plan is made from. */
export interface ScalingSituation {
  readonly facts: ScalingFacts
  /** Failure domains in which the service may run. */
  readonly failureDomains: readonly string[]
  readonly present: readonly PresentUpstream[]
  /** Upstreams that the offered work keeps busy all the time. */
  readonly load: number
  /** Pools that gave nothing lately, until when they are not asked. */
  readonly refusedUntil: (pool: Pool) => Milliseconds
  readonly now: Milliseconds
}
