/**
 * The part of a large service's upstreams that one node uses. A node of hundreds cannot follow the
 * load and the cache of every upstream within its bytes and its time for a decision; a few dozen of
 * them, from all failure domains, balance as well.
 *
 * Rendezvous hashing (highest random weight) makes the part stable: an upstream that comes or goes
 * changes it by that one at most, a node that comes or goes changes no other node's part.
 */
import type { FailureDomain, ServiceName } from '../identifiers.js'
import { score } from '../membership/index.js'
import type { UpstreamView } from './types.js'

/** Upstreams of one service that a node uses at least, if there are as many, and at most. */
const SMALLEST_VIEW = 16
const LARGEST_VIEW = 48

/**
 * Nodes that should share an upstream. With more of them each one's share of the free places is less
 * than a request, and together they overfill what looks free to all.
 */
const SHARING_NODES = 8

/**
 * Upstreams of one service that each node uses.
 *
 * @param nodes all nodes
 * @param all upstreams of the service
 * @example
 * viewSize(370, 600) // 16
 */
export function viewSize (nodes: number, all: number): number {
  return Math.min(LARGEST_VIEW, Math.max(SMALLEST_VIEW, Math.ceil(all * SHARING_NODES / nodes)))
}

/**
 * The upstreams of one service that a node uses: as many from each failure domain as its size
 * warrants, leaving ones in addition, since requests still run there.
 *
 * @param node name of the node, stable over its life
 * @example
 * const mine = partialView('entry-17', views, viewSize(nodes, views.length))
 */
export function partialView (node: string, views: readonly UpstreamView[], most: number): readonly UpstreamView[] {
  const live = views.filter((view) => !view.leaving)
  if (live.length <= most) return views
  const domains = groupByDomain(live)
  const chosen = [...domains.values()].flatMap((domain) => best(node, domain, Math.round(most * domain.length / live.length)))
  return [...chosen, ...views.filter((view) => view.leaving)]
}

/**
 * The upstreams of all services that a node uses.
 *
 * @param node name of the node, stable over its life
 * @param views all upstreams
 * @param nodes all nodes
 * @example
 * const polled = usedUpstreams('entry-17', directory.views(), 370)
 */
export function usedUpstreams (node: string, views: readonly UpstreamView[], nodes: number): readonly UpstreamView[] {
  const services = new Map<ServiceName, UpstreamView[]>()
  for (const view of views) {
    const same = services.get(view.service)
    if (same === undefined) services.set(view.service, [view])
    else same.push(view)
  }
  return [...services.values()].flatMap((same) => partialView(node, same, viewSize(nodes, same.length)))
}

/**
 * Nodes that use the same upstream as this one, on average.
 *
 * @param nodes all nodes
 * @param used upstreams in this node's part
 * @param all upstreams of the service
 * @example
 * sharingNodes(370, 48, 600) // 29.6
 */
export function sharingNodes (nodes: number, used: number, all: number): number {
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

function best (node: string, views: readonly UpstreamView[], count: number): UpstreamView[] {
  const scored = views.map((view) => ({ view, score: score(node, view.name) }))
  scored.sort((left, right) => right.score - left.score)
  return scored.slice(0, Math.max(1, count)).map(({ view }) => view)
}
