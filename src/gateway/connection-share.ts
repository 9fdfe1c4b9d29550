/** Share of the connections to an upstream that one node may open. */

/** Fraction of the connections that an upstream accepts which all nodes together may open. */
const CONNECTION_FRACTION = 0.85

/** Minimum number of nodes that the connections of an upstream are divided by, even if fewer nodes are known. */
const MIN_ASSUMED_NODES = 4

/**
 * @param maxConnections number of connections that an upstream accepts
 * @param nodes number of nodes that may serve
 * @returns maximum number of connections that each node may open, at least one
 * @example
 * connectionShare(370, 9) // 34
 */
export function connectionShare (maxConnections: number, nodes: number): number {
  return Math.max(1, Math.floor(maxConnections * CONNECTION_FRACTION / Math.max(MIN_ASSUMED_NODES, nodes)))
}
