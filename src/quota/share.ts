/**
 * Computes this node's share of an organisation's quota.
 *
 * The shares of all nodes add up to 1, so the sum of the grants keeps to the rate even if reports are late or lost. A
 * fraction of the rate is divided equally, so that a node can serve the first request of an organisation without a remote
 * call. The rest is divided by demand.
 *
 * Failure guarded against: a node that has just started or is partitioned has no reports of other demand and would take the
 * whole rate. Nodes that may serve but have not reported are counted with the mean of the known demand.
 */

/** Demand reported for several nodes together, in units per second. */
export interface ReportedDemand {
  readonly demand: number
  readonly nodes: number
}

/**
 * Fraction of the rate that is divided equally. With this value three of nine nodes can take all demand at 0.8 of the rate.
 */
export const EVEN_FRACTION = 0.25

/**
 * Computes this node's share of an organisation's quota.
 *
 * @param own recent demand of the organisation at this node, in units per second
 * @param others latest reported demand of the other live nodes, and their number
 * @param nodes number of nodes that may serve, including this node; at least 1
 * @returns a number above 0 and at most 1
 * @example
 * shareOf(300, { demand: 100, nodes: 2 }, 3) // 0.646
 */
export function shareOf (own: number, others: ReportedDemand, nodes: number): number {
  const even = 1 / Math.max(1, nodes)
  const reported = own + others.demand
  const unreported = Math.max(0, nodes - 1 - others.nodes)
  const total = reported + unreported * reported / (others.nodes + 1)
  if (total <= 0) return even
  return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own / total
}
