/**
 * Selects the aggregators among the nodes, and the aggregator that each other node reports to.
 *
 * Load pattern: with hundreds of nodes that all receive each other's states, decoding the states took most of the processor
 * time not spent on requests (at 195 nodes), and each node read every change of the store itself. Up to
 * {@link MAX_FULL_MESH_NODES} nodes exchange their states directly. In larger deployments only a few aggregators do. Every
 * other node, a member, reports to one aggregator and receives sums. There is no election: all nodes rank the same records
 * in the same way, and a node that reaches no aggregator acts as one.
 */
import { rank, score } from '../membership/rendezvous.js'
import type { FailureDomain, Incarnation } from '../identifiers.js'

/** A registered node that may act as an aggregator. */
export interface AggregatorCandidate {
  readonly name: string
  readonly failureDomain: string
  /** Cores that it may use. */
  readonly processor: number
}

/** Largest number of nodes that all exchange states directly. A message with all their states has some 8 KB. */
export const MAX_FULL_MESH_NODES = 16

/** Members per aggregator. With one report per 0.4 s and member, an aggregator gets 60 reports per second. */
const MEMBERS_PER_AGGREGATOR = 24

/**
 * With fewer aggregators, the loss of a failure domain or of half of the nodes may leave none. More aggregators cost more
 * reads of the store.
 */
const MIN_AGGREGATORS = 4

/**
 * Nodes with less than this fraction of the largest node's cores become aggregators only if there are not enough others.
 */
const MIN_PROCESSOR_FRACTION = 0.75

/** Rendezvous key by which aggregators are ranked. */
const AGGREGATOR_KEY = 'aggregator'

/**
 * Selects the nodes that exchange states with each other.
 *
 * @param nodes all registered nodes
 * @returns the aggregators, spread over failure domains; all nodes in a small deployment
 * @example
 * pickAggregators(records).some(({ name }) => name === own.name)
 */
export function pickAggregators<T extends AggregatorCandidate> (nodes: readonly T[]): T[] {
  if (nodes.length <= MAX_FULL_MESH_NODES) return [...nodes]
  const count = Math.max(MIN_AGGREGATORS, Math.ceil(nodes.length / MEMBERS_PER_AGGREGATOR))
  const largest = Math.max(...nodes.map(({ processor }) => processor))
  const strong = nodes.filter(({ processor }) => processor >= largest * MIN_PROCESSOR_FRACTION)
  return pickRoundRobin(strong.length >= count ? strong : nodes, count)
}

/**
 * Orders the aggregators for one member.
 *
 * @param own the node that reports
 * @param aggregators to be ordered
 * @returns the aggregators in the order in which the node tries them: first those in its own failure domain, and among
 * equals in a rendezvous order that spreads the members evenly
 * @example
 * const [first] = aggregatorOrderFor(own, pickAggregators(records))
 */
export function aggregatorOrderFor<T extends AggregatorCandidate> (own: AggregatorCandidate, aggregators: readonly T[]): T[] {
  const distance = ({ failureDomain }: AggregatorCandidate): number => failureDomain === own.failureDomain ? 0 : 1
  return [...aggregators].sort((left, right) => distance(left) - distance(right) || score(own.name, right.name) - score(own.name, left.name))
}

/** Picks the highest-ranked nodes round-robin over the failure domains. */
function pickRoundRobin<T extends AggregatorCandidate> (nodes: readonly T[], count: number): T[] {
  const byName = new Map(nodes.map((node) => [node.name, node]))
  // Ranking by name keeps a node's rank over restarts, so that its members need not change the aggregator twice.
  const ranked = rank(AGGREGATOR_KEY, nodes.map(({ name, failureDomain }) => ({ incarnation: name as Incarnation, failureDomain: failureDomain as FailureDomain })))
  const nextRounds = new Map<string, number>()
  const placed = ranked.map(({ incarnation, failureDomain }) => {
    const round = nextRounds.get(failureDomain) ?? 0
    nextRounds.set(failureDomain, round + 1)
    return { node: byName.get(incarnation)!, turn: round }
  })
  return placed.sort((left, right) => left.turn - right.turn).slice(0, count).map(({ node }) => node)
}
