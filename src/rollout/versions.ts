/** Decides which versions of a service may get requests. */
import { epochOf } from '../revision.js'
import type { RolloutOrder, RolloutStage, RolloutStatus } from './types.js'

/**
 * Role of a version.
 *
 * - `serving`: the version carries the traffic, or did so until the cutover
 * - `tried`: the version of the order; the stage determines how many requests it gets
 * - `avoided`: the version gets no requests
 */
export type VersionRole = 'serving' | 'tried' | 'avoided'

/** Order of the stages. A roll-out never returns to an earlier stage. */
const STAGE_RANK: Record<RolloutStage, number> = { canary: 0, probe: 1, cutover: 2, done: 3, 'rolled-back': 3 }

/** Whether a status belongs to this order. */
export function isAnswerTo (status: RolloutStatus | undefined, order: RolloutOrder): status is RolloutStatus {
  return status?.order === order.revision
}

/**
 * Replaces the revision of an order by the revision under which its trial began.
 *
 * Failure guarded against: a store that was restored from a backup has the operator's order under another revision. The
 * order would be tried as a new one, and its version would be exposed to the allowed requests a second time.
 *
 * @param before the known order, or version and order revision of a status; undefined where neither is known
 * @example
 * withKnownRevision(order, { version: status.version, revision: status.order })
 */
export function withKnownRevision (order: RolloutOrder, before: Pick<RolloutOrder, 'version' | 'revision'> | undefined): RolloutOrder {
  if (before?.version !== order.version || epochOf(before.revision) >= epochOf(order.revision)) return order
  return { ...order, revision: before.revision }
}

/**
 * Whether a status was superseded by a known status that a store restored from a backup has lost.
 *
 * @example
 * isSuperseded(canary, rolledBack) // true: the version stays out of use
 */
export function isSuperseded (status: RolloutStatus, known: RolloutStatus): boolean {
  const isSameOrder = status.order === known.order || (status.version === known.version && epochOf(status.order) > epochOf(known.order))
  return isSameOrder ? STAGE_RANK[status.stage] < STAGE_RANK[known.stage] : status.order < known.order
}

/**
 * Determines the role of a version.
 *
 * Failures guarded against: a version that was rolled back, or was tried when another order arrived, gets requests again
 * because it is not the version of the current order. Upstreams of a replaced version, which stop without notice, get
 * further requests.
 *
 * @param version the version of an upstream
 * @param order the order in force; undefined where there is none
 * @param status latest status, which may belong to an earlier order
 * @example
 * roleOf('v2', order, undefined) // 'tried'
 */
export function roleOf (version: string, order: RolloutOrder | undefined, status: RolloutStatus | undefined): VersionRole {
  const isVersionOfStatus = status !== undefined && status.version === version
  if (isVersionOfStatus && status.stage === 'done') return 'serving'
  if (order?.version === version) {
    return isAnswerTo(status, order) && status.stage === 'rolled-back' ? 'avoided' : 'tried'
  }
  if (isVersionOfStatus || status?.avoided.includes(version) === true) return 'avoided'
  return 'serving'
}
