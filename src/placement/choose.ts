/**
 * Chooses the upstream for one request by cached prompt parts, load and failure domain.
 *
 * Requests about one subject share all prompt parts except the last. Rendezvous hashing of the last shared part
 * gives all nodes the same preferred upstream without communication. That upstream probably has the shared parts in its
 * cache, so they need no prefill there. The cost of an upstream is the delay in milliseconds that the request would see:
 * the expected wait there and its own prefill, plus fixed costs.
 */
import type { Milliseconds } from '../clock.js'
import { score } from '../membership/rendezvous.js'
import type { Random } from '../random.js'
import { expectedWait, slotWait } from './expected-wait.js'
import { prefillTime } from './speed.js'
import type { EngineSpeed } from './speed.js'
import type { NodeLoad, PromptPart, UpstreamRecord, PlacementRequest } from './types.js'

/** One upstream that may take the request. */
export interface Candidate {
  readonly upstream: UpstreamRecord
  /** Requests of all nodes in flight there, as far as known. */
  readonly load: NodeLoad
  /** Delay of first answers that was recently observed there. */
  readonly delay: Milliseconds
  /** Factor by which it is lastingly slower than the median of its service; at least 1. */
  readonly slowness: number
}

/** Costs of placing a request, expressed as delay of that request. */
export interface PlacementCosts {
  /** Added for each request that already runs at the upstream. */
  readonly perRequest: Milliseconds
  /**
   * Fraction of the slot time that is added where all slots are occupied, and proportionally less where some are free. The
   * load is known with a delay, and free slots may be occupied by the time the request arrives.
   */
  readonly occupancy: number
  /** Added where the upstream is in another failure domain than the node. */
  readonly otherDomain: Milliseconds
  /** Added where the upstream is reclaimable and a reclaim would lose the request. */
  readonly reclaimable: Milliseconds
  /** Difference of costs below which upstreams count as equal. It is within the error of the expected wait. */
  readonly nearlyEqual: Milliseconds
  /** Whether the wait at an upstream can be predicted: its requests take longer than reports of load. */
  readonly predictsWait: boolean
  /** Number of top-ranked upstreams of a request among which it is placed while not too much prefill is queued there. */
  readonly preferredUpstreams: number
}

/** Times of a service's upstreams, as learnt. */
export interface ServiceTimes {
  readonly speed: EngineSpeed
  /** Mean time for which a request holds a slot. */
  readonly slotTime: Milliseconds
}

/** The node that places the request. */
export interface PlacingNode {
  readonly name: string
  readonly failureDomain: string
}

/** The chosen upstream and the load found there. */
export interface Choice {
  readonly upstream: UpstreamRecord
  /** Prefill time that the request needs there. */
  readonly reading: Milliseconds
  /** Prompt tokens that are probably in the upstream's cache. */
  readonly cached: number
  /** Expected time until the upstream begins the request. */
  readonly waiting: Milliseconds
  /** Number of upstreams that were compared. */
  readonly candidates: number
  /** Time from the beginning of the request at the upstream to its first answer; undefined where it cannot be predicted. */
  readonly firstAnswer?: Milliseconds
  /** Factor by which the upstream is lastingly slower than the median of its service, included in the other times. */
  readonly slowness?: number
}

/**
 * Part of the expected wait that counts in the comparison of upstreams, beside the whole wait for a slot. Loads are up to 2 s old,
 * so differences between them are partly over when the request arrives, and each request that leaves the home of its cached
 * parts adds prefill.
 */
const WAIT_WEIGHT = 0.2

/** Fraction of the request's target. Where the expected wait is longer, upstreams of any rank are considered. */
const MAX_WAITING_FRACTION = 0.5

/**
 * Costs for services with engines.
 *
 * `perRequest`: a running request delays each step of the others by 0.0165 ms, and up to some 100 steps come before the
 * first token. `reclaimable`: about the prefill time of half of the unshared prompt part of a request that a reclaim
 * would lose. `preferredUpstreams`: in simulations of 64 nodes whose states are up to 2.4 s old, 94.9 % of the first
 * tokens come in time with six preferred upstreams, and 92.7 % if all upstreams are compared.
 */
export const ENGINE_COSTS: PlacementCosts = { perRequest: 2, occupancy: 0, otherDomain: 2, reclaimable: 60, nearlyEqual: 10, predictsWait: true, preferredUpstreams: 6 }

/**
 * Costs for plain services, which have few upstreams with few slots. A request takes some ten milliseconds there and loads are up
 * to 2 s old, so requests neither wait at their node nor are refused because an upstream was full.
 */
export const PLAIN_COSTS: PlacementCosts = { perRequest: 0, occupancy: 1, otherDomain: 5, reclaimable: 0, nearlyEqual: 0, predictsWait: false, preferredUpstreams: Infinity }

/**
 * Chooses the candidate with the lowest cost.
 *
 * @param candidates upstreams that may take the request, in any order
 * @param node the node that places the request
 * @param times estimated times of the service's upstreams
 * @param random breaks ties
 * @returns undefined when there are no candidates
 * @example
 * chooseUpstream(request, candidates, { name: 'entry-1', failureDomain: 'lisbon-a' }, ENGINE_COSTS, { speed: speeds.of('plans'), slotTime: 600 }, random)?.upstream.id
 */
export function chooseUpstream (request: PlacementRequest, candidates: readonly Candidate[], node: PlacingNode, costs: PlacementCosts, times: ServiceTimes, random: Random): Choice | undefined {
  const cacheKey = request.parts.at(-2)?.id
  if (cacheKey === undefined) return findCheapest(request, candidates, undefined, node, costs, times, random)
  const ranked = rankByRendezvous(cacheKey, candidates)
  const preferred = ranked[0]?.upstream
  const choice = findCheapest(request, ranked.slice(0, costs.preferredUpstreams), preferred, node, costs, times, random)
  if (choice === undefined || choice.waiting < request.target * MAX_WAITING_FRACTION || ranked.length <= costs.preferredUpstreams) return choice
  return findCheapest(request, candidates, preferred, node, costs, times, random)
}

/**
 * Counts the tokens of the parts that requests about one subject share, which are all but the last.
 *
 * @example
 * sharedTokens([{ id: 'a', tokens: 500 }, { id: 'b', tokens: 90 }]) // 500
 */
export function sharedTokens (parts: readonly PromptPart[]): number {
  let sum = 0
  for (let index = 0; index + 1 < parts.length; index += 1) sum += parts[index]!.tokens
  return sum
}

function findCheapest (request: PlacementRequest, candidates: readonly Candidate[], preferred: UpstreamRecord | undefined, node: PlacingNode, costs: PlacementCosts, times: ServiceTimes, random: Random): Choice | undefined {
  const shared = Math.min(request.promptTokens, sharedTokens(request.parts))
  const fullPrefill = prefillTime(request.promptTokens, 0, times.speed)
  const remainingPrefill = prefillTime(request.promptTokens - shared, shared, times.speed)
  const perRunningRequest = (slots: number): Milliseconds => costs.perRequest + costs.occupancy * times.slotTime / slots
  const priced = candidates.map(({ upstream, load, delay, slowness }): PricedCandidate => {
    const reading = (upstream === preferred ? remainingPrefill : fullPrefill) * slowness
    const waiting = expectedWait(load, upstream.slots, times.slotTime * slowness, delay)
    const fixed = reading + (upstream.failureDomain === node.failureDomain ? 0 : costs.otherDomain) +
      (request.lostOnReclaim && upstream.reclaimable ? costs.reclaimable : 0)
    const cost = fixed + Math.max(slotWait(load.requests, upstream.slots, times.slotTime * slowness), waiting * WAIT_WEIGHT) + Math.min(load.requests, upstream.slots) * perRunningRequest(upstream.slots) * slowness
    return { upstream, reading, waiting, slowness, fixed, cost, weight: Math.max(1, upstream.slots - load.requests) / slowness }
  })
  const chosen = pickNearlyCheapest(priced, costs.nearlyEqual, random)
  if (chosen === undefined) return undefined
  const { upstream, reading, waiting, slowness } = chosen
  return { upstream, reading, cached: upstream === preferred ? shared : 0, waiting: costs.predictsWait ? waiting : 0, candidates: candidates.length, firstAnswer: request.streams ? times.speed.base * slowness + reading : times.slotTime * slowness, slowness }
}

interface PricedCandidate {
  readonly upstream: UpstreamRecord
  readonly reading: Milliseconds
  readonly waiting: Milliseconds
  /** Part of the cost that does not depend on the load. */
  readonly fixed: Milliseconds
  readonly cost: Milliseconds
  readonly slowness: number
  /** Probability of the choice among nearly equal candidates, relative to the others: the free slots, as they are at the usual speed. */
  readonly weight: number
}

/**
 * Picks at random among the cheapest candidate and those that are nearly as cheap, weighted by their free slots.
 *
 * Failure guarded against: nodes with the same old information all send their requests to the upstream that was idle one second
 * ago. Candidates with a higher fixed cost take no part, so that cached prompts and the own failure domain stay preferred.
 */
function pickNearlyCheapest (priced: readonly PricedCandidate[], nearlyEqual: Milliseconds, random: Random): PricedCandidate | undefined {
  let cheapest = priced[0]
  for (const candidate of priced) if (candidate.cost < cheapest!.cost) cheapest = candidate
  if (cheapest === undefined) return undefined
  const { cost, fixed } = cheapest
  const isNearlyCheapest = (candidate: PricedCandidate): boolean => candidate.cost <= cost + nearlyEqual && candidate.fixed <= fixed
  let weights = 0
  for (const candidate of priced) if (isNearlyCheapest(candidate)) weights += candidate.weight
  if (weights === cheapest.weight) return cheapest
  let remaining = random.fraction() * weights
  for (const candidate of priced) {
    if (!isNearlyCheapest(candidate)) continue
    remaining -= candidate.weight
    if (remaining < 0) return candidate
  }
  return cheapest
}

/** Ranks the upstreams for a cache key, in the same order at all nodes. */
function rankByRendezvous (cacheKey: string, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, weight: score(cacheKey, candidate.upstream.id) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ candidate }) => candidate)
}
