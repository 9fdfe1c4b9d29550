/**
 * How a new revision goes down a tree of nodes: each node hands it to the heads of a few groups, and
 * each head to its own. The groups are named in the message, so nodes need not agree on who there is.
 */

/** Groups that one node hands a revision to: 370 nodes are reached in five steps. */
export const DELIVERY_FAN_OUT = 4

/** Share of the time that a node leaves to the nodes below it, so that its own answer is in time. */
const SHARE_BELOW = 0.7

/**
 * Parts targets into groups of nearly equal size; the first of each is its head.
 *
 * @example
 * partTargets([1, 2, 3, 4, 5], 2) // [[1, 3, 5], [2, 4]]
 */
export function partTargets<T> (targets: readonly T[], groups: number): T[][] {
  const parts: T[][] = Array.from({ length: Math.min(groups, targets.length) }, () => [])
  targets.forEach((target, index) => parts[index % groups]?.push(target))
  return parts
}

/**
 * Time that the nodes below have, in milliseconds.
 *
 * @param within time that the sender waits for this node
 * @example
 * timeBelow(4_000) // 2_800
 */
export function timeBelow (within: number): number {
  return within * SHARE_BELOW
}
