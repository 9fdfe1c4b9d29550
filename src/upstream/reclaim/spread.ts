/**
 * How notices reach every node: a few nodes of each failure domain ask the cloud, and what they hear
 * goes to the rest in one or two steps. No node talks to all others.
 */
import type { FailureDomain, Incarnation } from '../../identifiers.js'
import { rank } from '../../membership/index.js'

/** A node, as far as the spreading of notices depends on it. */
export interface SpreadNode {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
  readonly leaving: boolean
}

/** Nodes of a failure domain that ask the cloud for notices: one may be dead, another paused. */
export const POLLERS_PER_DOMAIN = 3

/**
 * The nodes of a failure domain that ask the cloud. All nodes with the same list agree on them, and
 * one more node changes at most one of them. A leaving node asks only where nobody else is left.
 *
 * @example
 * pollersOf(nodes, failureDomain).some((node) => node.incarnation === own)
 */
export function pollersOf<Node extends SpreadNode> (nodes: readonly Node[], domain: FailureDomain, count = POLLERS_PER_DOMAIN): readonly Node[] {
  const members = nodes.filter((node) => node.failureDomain === domain)
  const staying = members.filter((node) => !node.leaving)
  return rank('poll', staying.length > 0 ? staying : members).slice(0, count)
}

/**
 * Whom a node tells of a notice that is new to it. An ordinary node tells the askers of its own
 * failure domain; an asker tells its whole domain, and the askers of the other domains when the
 * notice did not come from one of those.
 *
 * @param from the peer it was heard from; undefined: from the platform or an upstream
 * @example
 * for (const node of recipientsOf(own, from, nodes)) peers.at(node.peerAddress).reclaim.notices.mutate(messages)
 */
export function recipientsOf<Node extends SpreadNode> (own: SpreadNode, from: Incarnation | undefined, nodes: readonly Node[]): readonly Node[] {
  const others = nodes.filter((node) => node.incarnation !== own.incarnation && node.incarnation !== from)
  const domainPollers = pollersOf(nodes, own.failureDomain)
  const asks = domainPollers.some((node) => node.incarnation === own.incarnation)
  if (!asks) return from === undefined ? others.filter((node) => domainPollers.includes(node)) : []
  const origin = nodes.find((node) => node.incarnation === from)
  const heardAbroad = origin !== undefined && origin.failureDomain !== own.failureDomain
  const abroad = heardAbroad ? [] : pollersAbroad(nodes, own.failureDomain)
  return others.filter((node) => node.failureDomain === own.failureDomain || abroad.includes(node))
}

function pollersAbroad<Node extends SpreadNode> (nodes: readonly Node[], domain: FailureDomain): readonly Node[] {
  const domains = new Set(nodes.map((node) => node.failureDomain))
  domains.delete(domain)
  return [...domains].flatMap((other) => pollersOf(nodes, other))
}
