/** The problem that a service's mix must solve, from the configuration and from what was learnt. */
import type { Configuration, Service } from '../configuration/index.js'
import { HOUR, MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { FailureDomain } from '../identifiers.js'
import { neededWork } from './demand.js'
import type { Demand } from './demand.js'
import { capacityOf } from './instance-capacity.js'
import { capacityKnown, demandOf, recomputedPerLostWork } from './learned.js'
import type { Learned } from './learned.js'
import { carriedAfterLosses, lossesToSurvive } from './mix.js'
import type { MixOffer, MixProblem } from './mix.js'
import { reclaimRate } from './reclaim-history.js'
import { isRefusing } from './refusals.js'
import type { Slot } from './desired-state.js'
import { offerKey } from './types.js'
import type { Offer } from './types.js'

/** The strictest of a service's classes' targets. */
export interface ServiceTargets {
  readonly quantile: number
  readonly reliability: number
  /** Milliseconds; undefined for plain services. */
  readonly betweenTokens: Milliseconds | undefined
}

/** What a service's problem is made of. */
export interface ProblemInput {
  readonly configuration: Configuration
  readonly service: Service
  /** Offers of machine classes that can run the service. */
  readonly offers: readonly Offer[]
  readonly learned: Learned
  readonly slots: readonly Slot[]
  /** Work a second for which the present mix was chosen. */
  readonly chosenNeed: number
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
}

/** Time from an order until the instance serves: start, weights, first answers. */
export const REPLACEMENT_TIME: Milliseconds = 5 * MINUTE

/** Until demand was watched this long, a service keeps at least what it has. */
const SETTLING: Milliseconds = 15 * MINUTE

/** Work a second of an instance before anything was seen of the service. */
const PRIOR_CAPACITY = { model: 400, plain: 50 }

/** Share of a class's capacity that is believed from another class's and the ratio of their prices. */
const CAUTION = 0.8

/** Tokens of a prompt, before recomputed tokens were seen. */
const PRIOR_PROMPT = 1_000

/** Time between tokens where no class has a target for it, in milliseconds. */
const PRIOR_BETWEEN_TOKENS: Milliseconds = 34

/** Share of an instance's work that is always needed, so that no service ever goes to nothing. */
const LEAST_NEED = 0.01

/**
 * @returns the problem without its bound on recomputed tokens, which the deployment's target gives
 * @example
 * const problem = problemOf({ configuration, service, offers, learned, slots, chosenNeed, now })
 */
export function problemOf (input: ProblemInput): Omit<MixProblem, 'recomputedBound'> {
  const { service, learned } = input
  const targets = targetsOf(input.configuration, service)
  const demand = demandOf(learned, service.name)
  const offers = mixOffers(input, targets)
  const losses = lossesToSurvive(wavesOf(input), { replacement: REPLACEMENT_TIME, tolerance: 1 - targets.reliability })
  const common = { offers, losses, ...recomputedOf(input, demand) }
  return { ...common, need: needOf(input, demand, targets, { ...common, need: 0, recomputedBound: Infinity }) }
}

/**
 * The strictest of a service's classes' targets.
 *
 * @example
 * targetsOf(configuration, service).quantile // 0.95
 */
export function targetsOf (configuration: Configuration, service: Service): ServiceTargets {
  const targets = configuration.classes.filter((one) => one.service === service.name).map((one) => one.target)
  const between = targets.flatMap((target) => target.between_tokens_ms ?? [])
  return {
    quantile: Math.max(0.5, ...targets.map((target) => target.quantile)),
    reliability: Math.max(0.9, ...targets.map((target) => target.reliability)),
    betweenTokens: service.kind === 'plain' || between.length === 0 ? undefined : Math.min(...between)
  }
}

function mixOffers (input: ProblemInput, targets: ServiceTargets): MixOffer[] {
  const { learned, now } = input
  return input.offers.map((offer) => {
    const key = offerKey(offer)
    const running = input.slots.filter((slot) => slot.service === input.service.name && slot.state === 'wanted' && slot.started && offerKey(slot.offer) === key)
    return {
      ...offer,
      capacity: capacityIn(input, targets, offer.machineClass),
      reclaimsPerHour: offer.market === 'reclaimable' ? reclaimRate(learned.reclaims, offer.failureDomain).perInstanceHour : 0,
      most: isRefusing(learned.refusals, key, now) ? running.length : Infinity
    }
  })
}

function capacityIn (input: ProblemInput, targets: ServiceTargets, machineClass: string): number {
  const { learned, service } = input
  const domains = domainsOf(input.offers).length
  const known = capacityKnown(learned, service.name, machineClass)
  if (known !== undefined && known.highest > 0) return capacityOf(known, targets.betweenTokens, domains)
  const other = learned.capacities.find((entry) => entry.service === service.name && entry.capacity.highest > 0)
  if (other === undefined) return PRIOR_CAPACITY[service.kind]
  const ratio = meanPrice(input.offers, machineClass) / meanPrice(input.offers, other.machineClass)
  const scaled = capacityOf(other.capacity, targets.betweenTokens, domains) * CAUTION
  return Number.isFinite(ratio) && ratio > 0 ? scaled * ratio : scaled
}

/** Dearer machines are believed to do more, until one was seen; on-demand prices move least. */
function meanPrice (offers: readonly Offer[], machineClass: string): number {
  const sold = offers.filter((offer) => offer.machineClass === machineClass && offer.market === 'on-demand')
  return sold.reduce((sum, offer) => sum + offer.pricePerHour, 0) / sold.length
}

/**
 * Failure guarded against: a planner that has just come to a running service has seen no demand and
 * would give its instances back. Until demand was watched for a while, the need is at least what the
 * present instances carry after a loss, and what the present mix was chosen for: instances that were
 * taken back meanwhile are still needed.
 */
function needOf (input: ProblemInput, demand: Demand | undefined, targets: ServiceTargets, problem: MixProblem): number {
  const least = Math.max(0, ...problem.offers.map((offer) => offer.capacity)) * LEAST_NEED
  const wanted = demand === undefined ? 0 : neededWork(demand, { quantile: targets.quantile, lead: REPLACEMENT_TIME })
  const isSettled = demand !== undefined && input.now - demand.since >= SETTLING
  if (isSettled) return Math.max(least, wanted)
  const own = input.slots.filter((slot) => slot.service === input.service.name && slot.state === 'wanted')
  const counts = problem.offers.map((offer) => own.filter((slot) => offerKey(slot.offer) === offerKey(offer)).length)
  return Math.max(least, wanted, input.chosenNeed, presentWork(problem, counts))
}

/** What the present instances are relied on for; instances in one domain carry nothing after its loss, and yet are used. */
function presentWork (problem: MixProblem, counts: readonly number[]): number {
  const total = problem.offers.reduce((sum, offer, index) => sum + offer.capacity * (counts[index] ?? 0), 0)
  if (domainsOf(problem.offers).length === 1) return total
  return Math.max(carriedAfterLosses(problem, counts), total / 2)
}

function wavesOf (input: ProblemInput) {
  return domainsOf(input.offers).map((failureDomain) => ({ failureDomain, wavesPerHour: reclaimRate(input.learned.reclaims, failureDomain).wavesPerHour }))
}

function domainsOf (offers: readonly Offer[]): FailureDomain[] {
  return [...new Set(offers.map((offer) => offer.failureDomain))].sort()
}

/** Recomputed tokens for lost work: what was seen, before that the streams that make one token a second. */
function recomputedOf (input: ProblemInput, demand: Demand | undefined): { recomputedPerLostWork: number, generatedPerHour: number } {
  const { service, learned, configuration } = input
  if (service.kind === 'plain' || demand === undefined || demand.requestsPerSecond <= 0) return { recomputedPerLostWork: 0, generatedPerHour: 0 }
  const { betweenTokens } = targetsOf(configuration, service)
  const answer = demand.workPerSecond / demand.requestsPerSecond
  const streams = (betweenTokens ?? PRIOR_BETWEEN_TOKENS) / SECOND
  return {
    recomputedPerLostWork: recomputedPerLostWork(learned, service.name, streams * (PRIOR_PROMPT + answer / 2)),
    generatedPerHour: demand.workPerSecond * HOUR / SECOND
  }
}
