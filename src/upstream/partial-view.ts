/**
 * Selects the subset of a large service's upstreams that one node uses. Following the load and the cache of several
 * hundred upstreams would cost a node too much bandwidth and too much time per decision. A few dozen upstreams from
 * all failure domains balance the load equally well.
 *
 * Rendezvous hashing (highest random weight) keeps the subset stable: adding or removing an upstream changes at most
 * one member of the subset, and adding or removing a node does not change the subsets of other nodes.
 */
import type { FailureDomain, ServiceName } from '../identifiers.js'
import { score } from '../membership/index.js'
import type { UpstreamView } from './types.js'

/** Minimum and maximum number of upstreams of one service that a node uses. A smaller service is used completely. */
const MIN_VIEW_SIZE = 16
const MAX_VIEW_SIZE = 48

/**
 * Number of nodes that should share an upstream. With more nodes, each one's share of the free slots is less than one
 * request, and together the nodes overload upstreams that look free to all of them.
 */
const TARGET_NODES_PER_UPSTREAM = 8

/**
 * Number of upstreams of one service that each node uses.
 *
 * @param nodes number of nodes
 * @param all number of upstreams of the service
 * @example
 * viewSize(370, 600) // 16
 */
export function viewSize (nodes: number, all: number): number {
  return Math.min(MAX_VIEW_SIZE, Math.max(MIN_VIEW_SIZE, Math.ceil(all * TARGET_NODES_PER_UPSTREAM / nodes)))
}

/**
 * Upstreams of one service that a node uses. The number from each failure domain is proportional to the domain's
 * size. Leaving upstreams are always included, because requests may still run there.
 *
 * @param node name of the node, which must be stable over the node's lifetime
 * @param maxSize number of upstreams to select; domains are rounded separately, so the result may differ slightly
 * @example
 * const mine = partialView('entry-17', views, viewSize(nodes, views.length))
 */
export function partialView (node: string, views: readonly UpstreamView[], maxSize: number): readonly UpstreamView[] {
  const live = views.filter((view) => !view.leaving)
  if (live.length <= maxSize) return views
  const domains = groupByDomain(live)
  const chosen = [...domains.values()].flatMap((domain) => highestScored(node, domain, Math.round(maxSize * domain.length / live.length)))
  return [...chosen, ...views.filter((view) => view.leaving)]
}

/**
 * Upstreams of all services that a node uses.
 *
 * @param node name of the node, which must be stable over the node's lifetime
 * @param views all upstreams
 * @param nodes number of nodes
 * @example
 * const polled = usedUpstreams('entry-17', directory.views(), 370)
 */
export function usedUpstreams (node: string, views: readonly UpstreamView[], nodes: number): readonly UpstreamView[] {
  const services = new Map<ServiceName, UpstreamView[]>()
  for (const view of views) {
    const viewsOfService = services.get(view.service)
    if (viewsOfService === undefined) services.set(view.service, [view])
    else viewsOfService.push(view)
  }
  return [...services.values()].flatMap((viewsOfService) => partialView(node, viewsOfService, viewSize(nodes, viewsOfService.length)))
}

/**
 * Average number of nodes that use the same upstream.
 *
 * @param nodes number of nodes
 * @param used number of upstreams that this node uses
 * @param all number of upstreams of the service
 * @example
 * nodesPerUpstream(370, 48, 600) // 29.6
 */
export function nodesPerUpstream (nodes: number, used: number, all: number): number {
  return Math.max(1, nodes * Math.min(1, used / Math.max(1, all)))
}

function groupByDomain (views: readonly UpstreamView[]): Map<FailureDomain, UpstreamView[]> {
  const domains = new Map<FailureDomain, UpstreamView[]>()
  for (const view of views) {
    const domain = domains.get(view.failureDomain) ?? []
    domain.push(view)
    domains.set(view.failureDomain, domain)
  }
  return domains
}

function highestScored (node: string, views: readonly UpstreamView[], count: number): UpstreamView[] {
  const scored = views.map((view) => ({ view, score: score(node, view.name) }))
  scored.sort((left, right) => right.score - left.score)
  return scored.slice(0, Math.max(1, count)).map(({ view }) => view)
}
