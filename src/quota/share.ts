/**
 * This node's share of what an organisation may use over all nodes together.
 *
 * The shares of all nodes add up to one, so the sum of what the nodes let through keeps to the rate
 * whatever is late or lost between them. A part is even, so that a node with a first request of an
 * organisation needn't ask; the rest follows demand.
 *
 * Failure guarded against: a node that has just started or is cut off hears of no other demand and would
 * take the whole rate. Nodes that may serve and aren't heard of count with the mean of what is known.
 */

/** Demand of several nodes together, in units a second. */
export interface HeardDemand {
  readonly demand: number
  readonly nodes: number
}

/** Part of the rate that is dealt evenly. Chosen so that three nodes of nine can take all demand at 0.8 of the rate. */
export const EVEN_PART = 0.25

/**
 * @param own this node's recent demand of the organisation, in units a second
 * @param others the same of the other live nodes together, as last heard, and how many these are
 * @param nodes nodes that may serve, this one included; at least 1
 * @returns a number above 0 and at most 1
 * @example
 * shareOf(300, { demand: 100, nodes: 2 }, 3) // 0.646
 */
export function shareOf (own: number, others: HeardDemand, nodes: number): number {
  const even = 1 / Math.max(1, nodes)
  const heard = own + others.demand
  const unheard = Math.max(0, nodes - 1 - others.nodes)
  const total = heard + unheard * heard / (others.nodes + 1)
  if (total <= 0) return even
  return EVEN_PART * even + (1 - EVEN_PART) * own / total
}
