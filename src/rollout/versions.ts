/** Which versions of a service may get requests. */
import { epochOf } from '../revision.js'
import type { RolloutOrder, RolloutStage, RolloutStatus } from './types.js'

/**
 * Part that a version has.
 *
 * - `serving`: it carries the traffic, or did until now
 * - `tried`: the order's; how much it gets is a matter of the stage
 * - `avoided`: it gets nothing
 */
export type VersionRole = 'serving' | 'tried' | 'avoided'

/** Stages never go back. */
const RANK: Record<RolloutStage, number> = { canary: 0, probe: 1, cutover: 2, done: 3, 'rolled-back': 3 }

/** Whether a status is the answer to this order. */
export function answers (status: RolloutStatus | undefined, order: RolloutOrder): status is RolloutStatus {
  return status?.order === order.revision
}

/**
 * The order under the revision that its trial has. Failure guarded against: a store that came back from a copy has the
 * operator's order under another revision; it would be tried as a new one, and its version get its part a second time.
 *
 * @param before the order as it was known, or as a status answers it; undefined where neither is known
 * @example
 * sameOrder(order, { version: status.version, revision: status.order })
 */
export function sameOrder (order: RolloutOrder, before: Pick<RolloutOrder, 'version' | 'revision'> | undefined): RolloutOrder {
  if (before?.version !== order.version || epochOf(before.revision) >= epochOf(order.revision)) return order
  return { ...order, revision: before.revision }
}

/**
 * Whether a status was superseded by a known one, which a store that came back from a copy has lost.
 *
 * @example
 * isBehind(canary, rolledBack) // true: the version stays out of use
 */
export function isBehind (status: RolloutStatus, known: RolloutStatus): boolean {
  const isSameOrder = status.order === known.order || (status.version === known.version && epochOf(status.order) > epochOf(known.order))
  return isSameOrder ? RANK[status.stage] < RANK[known.stage] : status.order < known.order
}

/**
 * Failures guarded against: a version that was rolled back, or was tried when another order came, gets requests again
 * as one that isn't the present order's; the upstreams of a replaced version, which stop without notice, get some more.
 *
 * @param order in force; undefined where there is none
 * @param status the latest; it may answer an earlier order
 * @example
 * roleOf('v2', order, undefined) // 'tried'
 */
export function roleOf (version: string, order: RolloutOrder | undefined, status: RolloutStatus | undefined): VersionRole {
  const isDecided = status !== undefined && status.version === version
  if (isDecided && status.stage === 'done') return 'serving'
  if (order?.version === version) {
    return answers(status, order) && status.stage === 'rolled-back' ? 'avoided' : 'tried'
  }
  if (isDecided || status?.avoided.includes(version) === true) return 'avoided'
  return 'serving'
}
