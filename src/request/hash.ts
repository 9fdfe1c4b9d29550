/** Seeded hashing of short texts, and the rankings of nodes that follow from it. Not cryptographic. */
import type { FailureDomain, Incarnation } from '../identifiers.js'
import { rank, score } from '../membership/index.js'

/** A node as far as rankings need it. */
export interface RankedNode {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
  /** A leaving node is never chosen to take anything. */
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
 * Nodes in the order in which they are responsible for a subject (rendezvous hashing): all nodes with
 * the same view agree, and a node that leaves moves only what it was responsible for.
 *
 * @param subject an incarnation, a fingerprint or a shard
 * @example
 * rankNodes(fingerprint, nodes)[0] // the node that owns the fingerprint
 */
export function rankNodes<Node extends RankedNode> (subject: string, nodes: readonly Node[]): Node[] {
  return rank(subject, nodes)
}

/**
 * Successors for a home's open requests, best first: the ranking of the home's incarnation without
 * itself and without leaving nodes, other failure domains before its own. Its first element is also the
 * home's buddy. Whoever looks for the heir of a home that has gone asks the nodes of
 * {@link rankNodes} of that incarnation in turn.
 *
 * @example
 * rankSuccessors(own, nodes)[0]?.incarnation
 */
export function rankSuccessors<Node extends RankedNode> (home: RankedNode, nodes: readonly Node[]): Node[] {
  const candidates = rankNodes(home.incarnation, nodes).filter((node) => !node.leaving && node.incarnation !== home.incarnation)
  const elsewhere = candidates.filter((node) => node.failureDomain !== home.failureDomain)
  const beside = candidates.filter((node) => node.failureDomain === home.failureDomain)
  return [...elsewhere, ...beside]
}
