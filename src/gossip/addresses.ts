/**
 * Which addresses one caller is told.
 *
 * Load pattern answered: more nodes than callers take from one answer. Where all get the same first ones, these carry
 * all traffic and the others none; where each answer is drawn anew, callers drop the connections that the new one lacks.
 * Each caller's nodes are ranked by weighted rendezvous hashing instead (Schindelhauer and Schomaker, Weighted
 * distributed hash tables, 2005): the same at every node that answers and at each time, spread over all nodes by what
 * they can carry, and a node that comes or goes moves only its own places.
 */
import { score } from '../membership/rendezvous.js'

/** A node that may be named. */
export interface Reachable {
  readonly name: string
  /** Address for callers. */
  readonly front: string
  /** Cores that it may use; nodes of other sizes are named in proportion. */
  readonly processor: number
}

/** Scores lie below this. */
const SCORES = 2 ** 32

/**
 * @param caller whoever asks; the same text gets the same nodes
 * @param nodes that take requests
 * @param most addresses that a caller takes from one answer
 * @returns all addresses where there are no more than that
 * @example
 * chooseAddresses('10.3.0.7', nodes, 64)
 */
export function chooseAddresses (caller: string, nodes: readonly Reachable[], most: number): string[] {
  if (nodes.length <= most) return nodes.map(({ front }) => front)
  const ranked = nodes.map((node) => ({ node, distance: distanceOf(caller, node) }))
  ranked.sort((left, right) => left.distance - right.distance)
  return ranked.slice(0, most).map(({ node }) => node.front)
}

function distanceOf (caller: string, { name, processor }: Reachable): number {
  return -Math.log((score(caller, name) + 0.5) / SCORES) / processor
}
