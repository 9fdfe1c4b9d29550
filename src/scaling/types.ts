/** Input and result of the planning of a service's size. */
import type { Milliseconds } from '../clock.js'
import type { ScalingConfiguration } from '../routing/index.js'

/** Measurements on attempts that ended with a whole answer, as sums over the latest attempts of each node. */
export interface Measurements {
  /** Time since the first request of the service; the longest where several nodes measured. */
  readonly span: Milliseconds
  readonly attempts: number
  /** Maximum number of tokens that the requests allowed to be generated. */
  readonly tokens: number
  /** Time for which the attempts held a slot of an upstream. */
  readonly held: Milliseconds
}

/** Measurements before the first request. */
export const NO_MEASUREMENTS: Measurements = { span: 0, attempts: 0, tokens: 0, held: 0 }

/** Offered work of one service per second, and what was measured on attempts. */
export interface OfferedWork {
  readonly requests: number
  /** Time that upstreams need for the prefill of the prompts. */
  readonly reading: Milliseconds
  /** Maximum number of tokens that the requests allow to be generated. */
  readonly generatedTokens: number
  readonly measured: Measurements
}

/** Properties of one upstream that the plan depends on. */
export interface PresentUpstream {
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly leaving: boolean
}

/** Upstreams of one kind in one failure domain. They are ordered together. */
export interface Pool {
  readonly failureDomain: string
  readonly reclaimable: boolean
}

/** Desired number of upstreams of one pool. */
export interface PoolSize extends Pool {
  readonly desired: number
}

/** Input of a plan for one service. */
export interface ScalingInput {
  readonly facts: ScalingConfiguration
  /** Failure domains in which the service may run. */
  readonly failureDomains: readonly string[]
  /** Upstreams that are registered, of the version that carries the traffic. */
  readonly present: readonly PresentUpstream[]
  /** Number of upstreams that the offered work keeps busy. */
  readonly load: number
  /**
   * Whether planned reclaimable upstreams count as running. Set while a service boots and has received no requests yet,
   * so that no on-demand upstreams are ordered in place of reclaimable ones that are still booting.
   */
  readonly assumeReclaimableRunning: boolean
  /** Time until which a pool is not ordered because the platform had no upstreams for it. */
  readonly unavailableUntil: (pool: Pool) => Milliseconds
  readonly now: Milliseconds
}
