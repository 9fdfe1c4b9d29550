/** Which nodes take which place: answering an organisation, watching, keeping notes, taking over. */
import type { OrganisationName } from '../identifiers.js'
import { pickPerDomain, pickSpread, rank, score } from './rendezvous.js'
import type { NodeRecord } from './types.js'

/** Nodes of each failure domain that watch the key-value service for all. */
export const WATCHERS_PER_DOMAIN = 2

/** Key by which watchers are ranked. */
const WATCH = 'watch'

/** Smallest number of nodes in an address answer: today's three failure domains and a spare. */
const SMALLEST_ANSWER = 4

/** An answer grows with the square root of the fleet: 5 of 8 nodes, 29 of 370. */
const ANSWER_GROWTH = 1.5

/**
 * Nodes that an organisation's callers use: few, so that its prompts meet the same upstreams' caches,
 * spread over failure domains, and the same under churn but for the nodes that came or went.
 *
 * @param nodes live nodes; leaving ones are never answered
 * @example
 * answerNodes(organisation, nodes).map((node) => node.address)
 */
export function answerNodes (organisation: OrganisationName, nodes: readonly NodeRecord[]): NodeRecord[] {
  const staying = nodes.filter((node) => !node.leaving)
  return pickSpread(`organisation/${organisation}`, staying, answerSize(staying.length))
}

/**
 * Number of nodes in an address answer.
 *
 * @example
 * answerSize(370) // 29
 */
export function answerSize (nodes: number): number {
  return Math.min(nodes, Math.max(SMALLEST_ANSWER, Math.ceil(ANSWER_GROWTH * Math.sqrt(nodes))))
}

/**
 * Nodes that watch the key-value service; every node reckons the same ones from the same view.
 *
 * @example
 * watchers(nodes).includes(own)
 */
export function watchers (nodes: readonly NodeRecord[]): NodeRecord[] {
  return pickPerDomain(WATCH, nodes.filter((node) => !node.leaving), WATCHERS_PER_DOMAIN)
}

/**
 * Whether a node is one of the {@link watchers}. Each node asks this every second, so only its own
 * failure domain is looked at and nothing is sorted.
 *
 * @example
 * isWatcher(own, nodes)
 */
export function isWatcher (own: NodeRecord, nodes: readonly NodeRecord[]): boolean {
  if (own.leaving) return false
  const ownScore = score(WATCH, own.incarnation)
  const before = nodes.filter((node) => {
    if (node.failureDomain !== own.failureDomain || node.leaving || node.incarnation === own.incarnation) return false
    const other = score(WATCH, node.incarnation)
    return other > ownScore || (other === ownScore && node.incarnation < own.incarnation)
  })
  return before.length < WATCHERS_PER_DOMAIN
}

/**
 * Nodes that may take over from one, best first: other failure domains before its own.
 *
 * @example
 * const [buddy] = successorsOf(own, nodes)
 */
export function successorsOf (own: NodeRecord, nodes: readonly NodeRecord[]): NodeRecord[] {
  const others = nodes.filter((node) => node.incarnation !== own.incarnation && !node.leaving)
  const ranked = rank(`successor/${own.incarnation}`, others)
  const elsewhere = ranked.filter((node) => node.failureDomain !== own.failureDomain)
  const beside = ranked.filter((node) => node.failureDomain === own.failureDomain)
  return [...elsewhere, ...beside]
}
