/**
 * Propagation of notices to all nodes. A few nodes of each failure domain, the pollers, poll the cloud. Their notices
 * reach the other nodes in one or two hops. No node sends to all others.
 */
import type { FailureDomain, Incarnation } from '../../identifiers.js'
import { rank } from '../../membership/index.js'

/** The fields of a node that determine the propagation of notices. */
export interface NoticeNode {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
  readonly leaving: boolean
}

/**
 * Number of nodes per failure domain that poll the cloud for notices. With three, one may be dead and another one
 * paused.
 */
export const POLLERS_PER_DOMAIN = 3

/**
 * The nodes of a failure domain that poll the cloud. All nodes with the same list compute the same pollers, and
 * adding a node changes at most one of them. Leaving nodes poll only if no other node of the domain is left.
 *
 * @example
 * pollersOf(nodes, failureDomain).some((node) => node.incarnation === own)
 */
export function pollersOf<Node extends NoticeNode> (nodes: readonly Node[], domain: FailureDomain, count = POLLERS_PER_DOMAIN): readonly Node[] {
  const members = nodes.filter((node) => node.failureDomain === domain)
  const staying = members.filter((node) => !node.leaving)
  return rank('poll', staying.length > 0 ? staying : members).slice(0, count)
}

/**
 * The nodes to which a node forwards a notice that is new to it. An ordinary node sends its own notices to the
 * pollers of its failure domain. A poller sends to its whole domain, and also to the pollers of the other domains
 * unless the notice came from another domain.
 *
 * @param from the peer that sent the notice; undefined if it came from the platform or an upstream
 * @example
 * for (const node of noticeRecipients(own, from, nodes)) peers.at(node.peerAddress).reclaim.notices.mutate(messages)
 */
export function noticeRecipients<Node extends NoticeNode> (own: NoticeNode, from: Incarnation | undefined, nodes: readonly Node[]): readonly Node[] {
  const others = nodes.filter((node) => node.incarnation !== own.incarnation && node.incarnation !== from)
  const domainPollers = pollersOf(nodes, own.failureDomain)
  const isPoller = domainPollers.some((node) => node.incarnation === own.incarnation)
  if (!isPoller) return from === undefined ? others.filter((node) => domainPollers.includes(node)) : []
  const origin = nodes.find((node) => node.incarnation === from)
  const isFromOtherDomain = origin !== undefined && origin.failureDomain !== own.failureDomain
  const otherDomainPollers = isFromOtherDomain ? [] : pollersOfOtherDomains(nodes, own.failureDomain)
  return others.filter((node) => node.failureDomain === own.failureDomain || otherDomainPollers.includes(node))
}

function pollersOfOtherDomains<Node extends NoticeNode> (nodes: readonly Node[], domain: FailureDomain): readonly Node[] {
  const domains = new Set(nodes.map((node) => node.failureDomain))
  domains.delete(domain)
  return [...domains].flatMap((other) => pollersOf(nodes, other))
}
