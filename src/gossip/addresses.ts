/**
 * Chooses the node addresses that are returned to a caller.
 *
 * Load pattern: there are more nodes than addresses that a caller takes from one answer. If all callers got the same
 * addresses, those nodes would carry all traffic. If each answer were drawn at random, callers would close the connections
 * to addresses missing from a new answer. Therefore the nodes are ranked for each caller by weighted rendezvous hashing
 * (Schindelhauer and Schomaker, Weighted distributed hash tables, 2005). The ranking is the same at every node and at any
 * time, spreads callers in proportion to node capacity, and changes only in the places of nodes that join or leave.
 */
import { score } from '../membership/rendezvous.js'

/** A node whose address may be returned. */
export interface ReachableNode {
  readonly name: string
  /** Address for callers. */
  readonly front: string
  /** Cores that it may use. The share of callers that get its address is proportional to this. */
  readonly processor: number
}

/** Exclusive upper bound of rendezvous scores. */
const SCORE_RANGE = 2 ** 32

/**
 * Chooses the addresses for one caller.
 *
 * @param callerKey identifies the caller; the same key gets the same nodes
 * @param nodes nodes that accept requests
 * @param maxAddresses number of addresses that a caller takes from one answer
 * @returns the addresses of all nodes where there are at most `maxAddresses`
 * @example
 * chooseAddresses('10.3.0.7', nodes, 64)
 */
export function chooseAddresses (callerKey: string, nodes: readonly ReachableNode[], maxAddresses: number): string[] {
  if (nodes.length <= maxAddresses) return nodes.map(({ front }) => front)
  const ranked = nodes.map((node) => ({ node, distance: distanceOf(callerKey, node) }))
  ranked.sort((left, right) => left.distance - right.distance)
  return ranked.slice(0, maxAddresses).map(({ node }) => node.front)
}

function distanceOf (caller: string, { name, processor }: ReachableNode): number {
  return -Math.log((score(caller, name) + 0.5) / SCORE_RANGE) / processor
}
