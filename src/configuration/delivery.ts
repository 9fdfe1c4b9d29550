/**
 * Delivery of a new revision through a tree of nodes.
 *
 * Each node sends the revision to the heads of a few groups, and each head delivers it to the rest of its group. The
 * message lists the group, so the nodes need not have the same view of the fleet.
 */

/** Number of groups to which one node sends a revision. 370 nodes are reached in five steps. */
export const DELIVERY_FAN_OUT = 4

/** Fraction of the available time that a node gives to the nodes below it, so that its own answer is on time. */
const SUBTREE_TIME_FRACTION = 0.7

/**
 * Splits targets into groups of nearly equal size. The first target of each group is its head.
 *
 * @param groupCount maximum number of groups
 * @example
 * splitTargets([1, 2, 3, 4, 5], 2) // [[1, 3, 5], [2, 4]]
 */
export function splitTargets<T> (targets: readonly T[], groupCount: number): T[][] {
  const groups: T[][] = Array.from({ length: Math.min(groupCount, targets.length) }, () => [])
  targets.forEach((target, index) => groups[index % groupCount]?.push(target))
  return groups
}

/**
 * Time available to the nodes below this one, in milliseconds.
 *
 * @param within time for which the sender waits for this node, in milliseconds
 * @example
 * timeForSubtree(4_000) // 2_800
 */
export function timeForSubtree (within: number): number {
  return within * SUBTREE_TIME_FRACTION
}
