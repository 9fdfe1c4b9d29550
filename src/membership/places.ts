/** Assignment of nodes to callers and roles: address answers, watchers of the key-value service and successors. */
import type { OrganisationName } from '../identifiers.js'
import { pickPerDomain, pickAcrossDomains, rank, score } from './rendezvous.js'
import type { NodeRecord } from './types.js'

/** Number of nodes per failure domain that watch the key-value service on behalf of all nodes. */
export const WATCHERS_PER_DOMAIN = 2

/** Key for the ranking of watchers. */
const WATCHER_KEY = 'watch'

/** Minimum number of nodes in an address answer: one for each of three failure domains, and a spare. */
const MIN_ANSWER_SIZE = 4

/** Factor of the square root of the number of nodes in the size of an answer: 5 of 8 nodes, 29 of 370. */
const ANSWER_SIZE_FACTOR = 1.5

/**
 * Selects the nodes that the callers of an organisation use.
 *
 * There are only few, so that the prompts of the organisation reach the caches of the same upstreams. They are spread
 * over the failure domains. When nodes join or leave, only those nodes are replaced in the selection.
 *
 * @param nodes live nodes. Leaving nodes are never selected.
 * @example
 * selectAddressNodes(organisation, nodes).map((node) => node.address)
 */
export function selectAddressNodes (organisation: OrganisationName, nodes: readonly NodeRecord[]): NodeRecord[] {
  const staying = nodes.filter((node) => !node.leaving)
  return pickAcrossDomains(`organisation/${organisation}`, staying, addressAnswerSize(staying.length))
}

/**
 * Number of nodes in an address answer.
 *
 * @param nodes number of live nodes
 * @example
 * addressAnswerSize(370) // 29
 */
export function addressAnswerSize (nodes: number): number {
  return Math.min(nodes, Math.max(MIN_ANSWER_SIZE, Math.ceil(ANSWER_SIZE_FACTOR * Math.sqrt(nodes))))
}

/**
 * Nodes that watch the key-value service. All nodes with the same view determine the same watchers.
 *
 * @example
 * watchers(nodes).includes(own)
 */
export function watchers (nodes: readonly NodeRecord[]): NodeRecord[] {
  return pickPerDomain(WATCHER_KEY, nodes.filter((node) => !node.leaving), WATCHERS_PER_DOMAIN)
}

/**
 * Whether a node is one of the {@link watchers}. Each node checks this every second, so the function only examines the
 * node's own failure domain and does not sort.
 *
 * @example
 * isWatcher(own, nodes)
 */
export function isWatcher (own: NodeRecord, nodes: readonly NodeRecord[]): boolean {
  if (own.leaving) return false
  const ownScore = score(WATCHER_KEY, own.incarnation)
  const rankedHigher = nodes.filter((node) => {
    if (node.failureDomain !== own.failureDomain || node.leaving || node.incarnation === own.incarnation) return false
    const other = score(WATCHER_KEY, node.incarnation)
    return other > ownScore || (other === ownScore && node.incarnation < own.incarnation)
  })
  return rankedHigher.length < WATCHERS_PER_DOMAIN
}

/**
 * Nodes that may take over the work of a node, best first. Nodes in other failure domains precede those in its own.
 *
 * @example
 * const [successor] = successorsOf(own, nodes)
 */
export function successorsOf (own: NodeRecord, nodes: readonly NodeRecord[]): NodeRecord[] {
  const others = nodes.filter((node) => node.incarnation !== own.incarnation && !node.leaving)
  const ranked = rank(`successor/${own.incarnation}`, others)
  const otherDomains = ranked.filter((node) => node.failureDomain !== own.failureDomain)
  const sameDomain = ranked.filter((node) => node.failureDomain === own.failureDomain)
  return [...otherDomains, ...sameDomain]
}
