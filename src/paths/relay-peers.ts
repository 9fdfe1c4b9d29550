/** Chooses the nodes that are asked to relay a connection. */
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'

/** Another node that may relay connections. */
export interface RelayNode {
  readonly name: string
  readonly failureDomain: string
  /** Address for requests of nodes. */
  readonly peer: string
}

/** Other nodes as relays. */
export interface RelayPeers {
  /**
   * @param nearby failure domains through which a relayed connection crosses no more domains than a direct one
   * @returns the nodes to ask, in order
   */
  order (nodes: readonly RelayNode[], nearby: ReadonlySet<string>, now: Milliseconds): RelayNode[]
  /** The node has relayed a connection. */
  succeeded (name: string): void
  /** The node has refused, or did not answer in time. */
  failed (name: string, now: Milliseconds): void
}

/** Maximum number of nodes that are asked for one connection. Where two thirds of nine nodes are cut off, one of five is not in 55 of 56 cases. */
export const MAX_ASKED_RELAYS = 5

/** Time for which a node that has failed is asked after all others. Nodes that lost their paths refuse, and the loss lasts for seconds. */
const FAILURE_MEMORY: Milliseconds = 2_000

/**
 * Creates the record of the nodes that were asked.
 *
 * @example
 * const relays = createRelayPeers(random)
 * for (const node of relays.order(nodes, new Set(['lisbon-a']), clock.now())) ask(node)
 */
export function createRelayPeers (random: Random): RelayPeers {
  const failedAt = new Map<string, Milliseconds>()

  function hasFailed (name: string, now: Milliseconds): boolean {
    return now - (failedAt.get(name) ?? -Infinity) < FAILURE_MEMORY
  }

  function order (nodes: readonly RelayNode[], nearby: ReadonlySet<string>, now: Milliseconds): RelayNode[] {
    for (const name of failedAt.keys()) if (!hasFailed(name, now)) failedAt.delete(name)
    const shuffled = nodes.map((node) => ({ node, place: random.fraction() + (failedAt.has(node.name) ? 1 : 0) }))
    shuffled.sort((left, right) => left.place - right.place)
    const ordered = shuffled.map(({ node }) => node)
    // One alone, since a whole failure domain may have lost its paths.
    const first = ordered.find(({ name, failureDomain }) => nearby.has(failureDomain) && !failedAt.has(name))
    return (first === undefined ? ordered : [first, ...ordered.filter((node) => node !== first)]).slice(0, MAX_ASKED_RELAYS)
  }

  return {
    order,
    succeeded: (name) => { failedAt.delete(name) },
    failed: (name, now) => { failedAt.set(name, now) }
  }
}
