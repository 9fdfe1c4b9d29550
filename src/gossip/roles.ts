/**
 * Which nodes exchange with each other, and to which of them the others report.
 *
 * Load pattern answered: hundreds of nodes that each hear the state of each other. At 195 nodes unpacking these took
 * most of a node's processor time beside requests, and each node read each change of the store for itself. Up to
 * {@link EQUALS} nodes exchange directly; beyond, a few aggregators do, and each other node (a member) reports to one of
 * them and hears sums. Nobody is elected: each node ranks the same records the same way, and a node that doesn't find an
 * aggregator acts as one.
 */
import { rank, score } from '../membership/rendezvous.js'
import type { FailureDomain, Incarnation } from '../identifiers.js'

/** A registered node. */
export interface Ranked {
  readonly name: string
  readonly failureDomain: string
  /** Cores that it may use. */
  readonly processor: number
}

/** Nodes that all exchange directly: one message with all their states is some 8 KB. */
export const EQUALS = 16

/** Members of one aggregator: with a report each 0.4 s, 60 reports a second. */
const MEMBERS = 24

/** With fewer, the loss of a failure domain or of half of the nodes may leave none. Each reads the store, which is paid for. */
const FEWEST = 4

/** A node with less than this part of the largest processor is no aggregator while there are enough others. */
const STRONG_PART = 0.75

/** Key by which aggregators are ranked. */
const KEY = 'aggregator'

/**
 * @param nodes all that are registered
 * @returns the nodes that exchange with each other, spread over failure domains
 * @example
 * pickAggregators(records).some(({ name }) => name === own.name)
 */
export function pickAggregators<T extends Ranked> (nodes: readonly T[]): T[] {
  if (nodes.length <= EQUALS) return [...nodes]
  const count = Math.max(FEWEST, Math.ceil(nodes.length / MEMBERS))
  const largest = Math.max(...nodes.map(({ processor }) => processor))
  const strong = nodes.filter(({ processor }) => processor >= largest * STRONG_PART)
  return pickInTurn(strong.length >= count ? strong : nodes, count)
}

/**
 * @param own the node that reports
 * @param aggregators to choose among
 * @returns them in the order in which it tries them: its own failure domain first, members spread evenly
 * @example
 * const [first] = orderFor(own, pickAggregators(records))
 */
export function orderFor<T extends Ranked> (own: Ranked, aggregators: readonly T[]): T[] {
  const distance = ({ failureDomain }: Ranked): number => failureDomain === own.failureDomain ? 0 : 1
  return [...aggregators].sort((left, right) => distance(left) - distance(right) || score(own.name, right.name) - score(own.name, left.name))
}

/** The best of each failure domain in turn. */
function pickInTurn<T extends Ranked> (nodes: readonly T[], count: number): T[] {
  const byName = new Map(nodes.map((node) => [node.name, node]))
  // A node keeps its rank over restarts, so that the others needn't look for another aggregator twice.
  const ranked = rank(KEY, nodes.map(({ name, failureDomain }) => ({ incarnation: name as Incarnation, failureDomain: failureDomain as FailureDomain })))
  const turns = new Map<string, number>()
  const placed = ranked.map(({ incarnation, failureDomain }) => {
    const turn = turns.get(failureDomain) ?? 0
    turns.set(failureDomain, turn + 1)
    return { node: byName.get(incarnation)!, turn }
  })
  return placed.sort((left, right) => left.turn - right.turn).slice(0, count).map(({ node }) => node)
}
