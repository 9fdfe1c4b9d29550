/**
 * Choice of an upstream for one request: where its prompt is cached, how busy each is, and how near.
 *
 * Requests about one subject share all parts of the prompt but the last. Rendezvous hashing of the last
 * shared part gives all nodes the same ranking without a word between them; the first two of it and the
 * least loaded one are weighed by what they cost the request in time.
 */
import type { Milliseconds } from '../clock.js'
import { score } from '../membership/rendezvous.js'
import type { PromptPart, UpstreamRecord, Work } from './types.js'

/** One upstream that may take the request. */
export interface Candidate {
  readonly upstream: UpstreamRecord
  /** Requests in flight there from all nodes, as far as known. */
  readonly load: number
}

/** The node that chooses. */
export interface PlacingNode {
  readonly name: string
  readonly failureDomain: string
}

/** Costs in milliseconds of the request's time, unless said otherwise. */
export interface PlacementCosts {
  /** Reading a token that isn't cached. */
  readonly perTokenRead: Milliseconds
  /** Each request that runs there already. */
  readonly perRequest: Milliseconds
  /** An upstream in another failure domain. */
  readonly otherDomain: Milliseconds
}

/** Engines read 61.8 tokens a millisecond; a running request adds 0.0165 ms to each of some 400 steps and reads beside it. */
export const ENGINE_COSTS: PlacementCosts = { perTokenRead: 1 / 61.8, perRequest: 14, otherDomain: 2 }

/** A plain request holds one of six slots for some 30 ms. */
export const PLAIN_COSTS: PlacementCosts = { perTokenRead: 0, perRequest: 15, otherDomain: 5 }

/**
 * @param candidates upstreams that may take the request; their order doesn't matter
 * @returns undefined when there are none
 * @example
 * chooseUpstream(work, candidates, { name: 'entry-1', failureDomain: 'lisbon-a' }, ENGINE_COSTS)?.id
 */
export function chooseUpstream (work: Work, candidates: readonly Candidate[], node: PlacingNode, costs: PlacementCosts): UpstreamRecord | undefined {
  const shared = work.parts.slice(0, -1)
  const home = shared.at(-1)?.id
  const preferred = home === undefined ? undefined : firstByRendezvous(home, candidates)
  let best: UpstreamRecord | undefined
  let lowest = Infinity
  for (const { upstream, load } of candidates) {
    const cost = load * costs.perRequest +
      (upstream.failureDomain === node.failureDomain ? 0 : costs.otherDomain) +
      (upstream === preferred ? 0 : tokensOf(shared) * costs.perTokenRead) +
      tieBreak(node.name, upstream.id)
    if (cost < lowest) {
      lowest = cost
      best = upstream
    }
  }
  return best
}

function firstByRendezvous (home: string, candidates: readonly Candidate[]): UpstreamRecord | undefined {
  let first: UpstreamRecord | undefined
  let highest = -1
  for (const { upstream } of candidates) {
    const weight = score(home, upstream.id)
    if (weight > highest) {
      highest = weight
      first = upstream
    }
  }
  return first
}

function tokensOf (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}

/** Below a millisecond. Each node has an order of its own, so that equal upstreams don't get all nodes' requests in turn. */
function tieBreak (node: string, id: string): Milliseconds {
  return score(node, id) / 2 ** 32
}
