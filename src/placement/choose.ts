/**
 * Choice of an upstream for one request: where its prompt is cached, how busy each is, and how near.
 *
 * Requests about one subject share all parts of the prompt but the last. Rendezvous hashing of the last
 * shared part gives all nodes the same home without a word between them; there the shared parts need no
 * reading. What remains to be read there and what is already waiting decide, as the request's own time.
 */
import type { Milliseconds } from '../clock.js'
import { score } from '../membership/rendezvous.js'
import { readingTime } from './speed.js'
import type { EngineSpeed } from './speed.js'
import type { NodeLoad, PromptPart, UpstreamRecord, Work } from './types.js'

/** One upstream that may take the request. */
export interface Candidate {
  readonly upstream: UpstreamRecord
  /** What all nodes have in flight there, as far as known. */
  readonly load: NodeLoad
}

/** Costs in milliseconds of the request's time. */
export interface PlacementCosts {
  /** Each request that runs there already. */
  readonly perRequest: Milliseconds
  /** An upstream in another failure domain. */
  readonly otherDomain: Milliseconds
  /** A reclaimable upstream for a request that would be lost with it. */
  readonly reclaimable: Milliseconds
  /** Upstreams, in a request's own order, among which it is placed while they have room. */
  readonly homes: number
}

/** The node that chooses. */
export interface PlacingNode {
  readonly name: string
  readonly failureDomain: string
}

/** An upstream, and the reading that the request causes there. */
export interface Choice {
  readonly upstream: UpstreamRecord
  readonly reading: Milliseconds
  /** Tokens of the prompt that are probably kept there. */
  readonly cached: number
  /** Reading that the upstream has to do before. */
  readonly waiting: Milliseconds
  /** Upstreams that it was chosen from. */
  readonly candidates: number
}

/** Part of a request's target; where more reading than that waits, others are looked at, whatever the order. */
const FULL_WAITING_PART = 0.5

/**
 * A running request of an engine delays each step of the others by 0.0165 ms, some 100 of them before the first
 * token at the worst. Plans lean to engines that stay by the reading of half of a plan's own part. Six upstreams of
 * a request's own order bring 94.9 of 100 first tokens in time at 64 nodes whose states are up to 2.4 s old, all of
 * them 92.7 (simulated, npm run bench -- gateway-placement).
 */
export const ENGINE_COSTS: PlacementCosts = { perRequest: 2, otherDomain: 2, reclaimable: 60, homes: 6 }

/** A plain request holds one of six slots for some 30 ms; a service has three upstreams. */
export const PLAIN_COSTS: PlacementCosts = { perRequest: 15, otherDomain: 5, reclaimable: 0, homes: Infinity }

/**
 * @param candidates upstreams that may take the request; their order doesn't matter
 * @param speed of the service's engines
 * @returns undefined when there are none
 * @example
 * chooseUpstream(work, candidates, { name: 'entry-1', failureDomain: 'lisbon-a' }, ENGINE_COSTS, speeds.of('plans'))?.upstream.id
 */
export function chooseUpstream (work: Work, candidates: readonly Candidate[], node: PlacingNode, costs: PlacementCosts, speed: EngineSpeed): Choice | undefined {
  const home = work.parts.at(-2)?.id
  if (home === undefined) return cheapest(work, candidates, undefined, node, costs, speed)
  const ranked = byRendezvous(home, candidates)
  const preferred = ranked[0]?.upstream
  const near = cheapest(work, ranked.slice(0, costs.homes), preferred, node, costs, speed)
  if (near === undefined || near.waiting < work.target * FULL_WAITING_PART || ranked.length <= costs.homes) return near
  return cheapest(work, candidates, preferred, node, costs, speed)
}

/**
 * Tokens of the parts that requests share: all but the last.
 *
 * @example
 * sharedTokens([{ id: 'a', tokens: 500 }, { id: 'b', tokens: 90 }]) // 500
 */
export function sharedTokens (parts: readonly PromptPart[]): number {
  let sum = 0
  for (let index = 0; index + 1 < parts.length; index += 1) sum += parts[index]!.tokens
  return sum
}

function cheapest (work: Work, candidates: readonly Candidate[], preferred: UpstreamRecord | undefined, node: PlacingNode, costs: PlacementCosts, speed: EngineSpeed): Choice | undefined {
  const shared = Math.min(work.promptTokens, sharedTokens(work.parts))
  const whole = readingTime(work.promptTokens, 0, speed)
  const rest = readingTime(work.promptTokens - shared, shared, speed)
  let best: Choice | undefined
  let lowest = Infinity
  for (const { upstream, load } of candidates) {
    const reading = upstream === preferred ? rest : whole
    const cost = load.reading + reading + load.requests * costs.perRequest +
      (upstream.failureDomain === node.failureDomain ? 0 : costs.otherDomain) +
      (work.bound && upstream.reclaimable ? costs.reclaimable : 0) +
      tieBreak(node.name, upstream.id)
    if (cost < lowest) {
      lowest = cost
      best = { upstream, reading, cached: upstream === preferred ? shared : 0, waiting: load.reading, candidates: candidates.length }
    }
  }
  return best
}

/** All nodes rank the upstreams of a request the same way. */
function byRendezvous (home: string, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, weight: score(home, candidate.upstream.id) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ candidate }) => candidate)
}

/** Below a millisecond. Each node has an order of its own, so that equal upstreams don't get all nodes' requests in turn. */
function tieBreak (node: string, id: string): Milliseconds {
  return score(node, id) / 2 ** 32
}
