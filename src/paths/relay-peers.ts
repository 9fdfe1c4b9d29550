/** Chooses the nodes that are asked to relay a connection. */
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'

/** Other nodes as relays, by name. */
export interface RelayPeers {
  /** @returns the nodes to ask, in order */
  order (names: readonly string[], now: Milliseconds): string[]
  /** The node has relayed a connection. */
  succeeded (name: string): void
  /** The node has refused, or did not answer in time. */
  failed (name: string, now: Milliseconds): void
}

/** Maximum number of nodes that are asked for one connection. Where two thirds of nine nodes are cut off, one of five is not in 55 of 56 cases. */
const MAX_ASKED = 5

/** Time for which a node that has failed is asked after all others. Nodes that lost their paths refuse, and the loss lasts for seconds. */
const FAILURE_MEMORY: Milliseconds = 2_000

/**
 * Creates the record of the nodes that were asked.
 *
 * @example
 * const relays = createRelayPeers(random)
 * for (const name of relays.order(names, clock.now())) ask(name)
 */
export function createRelayPeers (random: Random): RelayPeers {
  const failedAt = new Map<string, Milliseconds>()

  function order (names: readonly string[], now: Milliseconds): string[] {
    const hasFailed = (name: string): boolean => now - (failedAt.get(name) ?? -Infinity) < FAILURE_MEMORY
    const shuffled = names.map((name) => ({ name, place: random.fraction() + (hasFailed(name) ? 1 : 0) }))
    shuffled.sort((left, right) => left.place - right.place)
    for (const name of failedAt.keys()) if (!hasFailed(name)) failedAt.delete(name)
    return shuffled.slice(0, MAX_ASKED).map(({ name }) => name)
  }

  return {
    order,
    succeeded: (name) => { failedAt.delete(name) },
    failed: (name, now) => { failedAt.set(name, now) }
  }
}
