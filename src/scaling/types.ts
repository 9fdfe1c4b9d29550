/** What the size of a service is planned from. */
import type { Milliseconds } from '../clock.js'
import type { ScalingFacts } from '../routing/index.js'

/** Offered work of one service, a second, over all nodes. */
export interface OfferedWork {
  readonly requests: number
  /** Milliseconds that upstreams read prompts. */
  readonly reading: Milliseconds
  /** Most tokens that may be generated. */
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
  /** Nothing is asked yet: reclaimable upstreams that boot count as running, so that nothing else is kept in their place. */
  readonly awaitReclaimable: boolean
  /** Pools that gave nothing lately, until when they are not asked. */
  readonly refusedUntil: (pool: Pool) => Milliseconds
  readonly now: Milliseconds
}
