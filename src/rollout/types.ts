/** Types of roll-outs, which move the traffic of a service to upstreams of another version or roll it back. */
import type { Milliseconds } from '../clock.js'
import type { VersionEvidence } from './evidence.js'

/** Order of an operator. */
export interface RolloutOrder {
  readonly service: string
  /** Version that is to serve. The platform starts its upstreams in addition to those of other versions. */
  readonly version: string
  /** Time within which the roll-out is to be completed or rolled back. */
  readonly duration: Milliseconds
  /** Revision of the order in the store, which distinguishes it from other orders for the same version. */
  readonly revision: number
}

/**
 * Stage of a roll-out.
 *
 * - `canary`: a small fraction of the requests tries the new version
 * - `probe`: a larger fraction does for a short time, within the bounds on requests for a bad version
 * - `cutover`: no requests are started at other versions, and running ones end
 * - `done`: the other versions are stopped
 * - `rolled-back`: the new version is not used again, unless an operator orders it anew
 */
export type RolloutStage = 'canary' | 'probe' | 'cutover' | 'done' | 'rolled-back'

/** Decision about one service, as written to the store. */
export interface RolloutStatus {
  readonly service: string
  readonly version: string
  /** Revision of the order that the status belongs to. */
  readonly order: number
  readonly stage: RolloutStage
  /** Fraction of the requests that a probe sends to the tried version; undefined before the first probe. */
  readonly probedPart: number | undefined
  /** Time of the shared wall clock when the order was first seen. */
  readonly orderedAt: Milliseconds
  /** Versions that get no requests: rolled back, replaced, or abandoned for another order. */
  readonly avoided: readonly string[]
}

/** Bounds on the requests that a bad version may get. */
export interface RolloutBounds {
  /** Fraction of all requests of its service in the duration of the order. */
  readonly exposedPart: number
  /** Number of requests in addition to that fraction. */
  readonly exposedExtra: number
}

/** Evidence of one or more nodes, by service. */
export type RolloutEvidence = Readonly<Record<string, VersionEvidence>>
