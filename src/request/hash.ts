/** Seeded hashing of short texts, and the rankings of nodes that follow from it. Not cryptographic. */
import type { FailureDomain, Incarnation } from '../identifiers.js'

/** A node as far as rankings need it. */
export interface RankedNode {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
  /** A leaving node is never chosen to take anything. */
  readonly leaving: boolean
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Hash of a text.
 *
 * @returns an integer in `[0, 2^32)`
 * @example
 * hashText('entry-1-x7', 1) % 16
 */
export function hashText (text: string, seed: number): number {
  let hash = (FNV_OFFSET ^ seed) >>> 0
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return mix(hash)
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
  const seed = hashText(subject, 0)
  const scored = nodes.map((node) => ({ node, score: hashText(node.incarnation, seed) }))
  scored.sort((left, right) => right.score - left.score || compare(left.node.incarnation, right.node.incarnation))
  return scored.map(({ node }) => node)
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

/** Finalizer of MurmurHash3: spreads every input bit over the whole result. */
function mix (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

function compare (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
