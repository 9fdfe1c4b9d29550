/** Seeded, non-cryptographic hash of short texts, and the rankings of nodes that are based on it. */
import type { FailureDomain, Incarnation } from '../identifiers.js'
import { rank, score } from '../membership/index.js'

/** The properties of a node that rankings use. */
export interface RankedNode {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
  /** Whether the node is leaving. A leaving node is never selected as owner or successor. */
  readonly leaving: boolean
}

/**
 * Hash of a text.
 *
 * @returns an integer in `[0, 2^32)`
 * @example
 * hashText('entry-1-x7', 1) % 16
 */
export function hashText (text: string, seed: number): number {
  return score(String(seed), text)
}

/**
 * Ranks nodes by their responsibility for a subject (rendezvous hashing). All nodes with the same view of the fleet
 * compute the same ranking. When a node leaves, only the subjects that it was responsible for change their owner.
 *
 * @param subject an incarnation, a fingerprint or a shard
 * @example
 * rankNodes(fingerprint, nodes)[0] // the node that owns the fingerprint
 */
export function rankNodes<Node extends RankedNode> (subject: string, nodes: readonly Node[]): Node[] {
  return rank(subject, nodes)
}

/**
 * Ranks the successors for a home's open requests, best first.
 *
 * The order is that of {@link rankNodes} for the home's incarnation, without the home itself and without leaving
 * nodes. Nodes in other failure domains come before those in the home's own. The first successor is also the home's
 * buddy. To find the successor that took over from a home that is gone, ask the nodes in the order of {@link
 * rankNodes} for its incarnation.
 *
 * @example
 * rankSuccessors(own, nodes)[0]?.incarnation
 */
export function rankSuccessors<Node extends RankedNode> (home: RankedNode, nodes: readonly Node[]): Node[] {
  const candidates = rankNodes(home.incarnation, nodes).filter((node) => !node.leaving && node.incarnation !== home.incarnation)
  const inOtherDomains = candidates.filter((node) => node.failureDomain !== home.failureDomain)
  const inSameDomain = candidates.filter((node) => node.failureDomain === home.failureDomain)
  return [...inOtherDomains, ...inSameDomain]
}
