/** Builds the mix problem of a service from the configuration and the learnt state. */
import type { Configuration, Service } from '../configuration/index.js'
import { HOUR, MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { FailureDomain } from '../identifiers.js'
import { neededWork } from './demand.js'
import type { Demand } from './demand.js'
import { capacityOf } from './instance-capacity.js'
import { learnedCapacity, demandOf, recomputedPerLostWork } from './learned.js'
import type { Learned } from './learned.js'
import { workAfterWorstLoss, lossesToSurvive } from './mix.js'
import type { MixOffer, MixProblem } from './mix.js'
import { reclaimRate } from './reclaim-history.js'
import { isRefusing } from './refusals.js'
import type { Slot } from './desired-state.js'
import { offerKey } from './types.js'
import type { Offer } from './types.js'

/** Strictest targets of a service's classes. */
export interface ServiceTargets {
  readonly quantile: number
  readonly reliability: number
  /** Target for the time between tokens, in milliseconds. Undefined for plain services. */
  readonly betweenTokens: Milliseconds | undefined
}

/** Input of a service's problem. */
export interface ProblemInput {
  readonly configuration: Configuration
  readonly service: Service
  /** Offers of machine classes that can run the service. */
  readonly offers: readonly Offer[]
  readonly learned: Learned
  readonly slots: readonly Slot[]
  /** Work per second for which the current mix was chosen. */
  readonly chosenNeed: number
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
}

/** Time from an order until the instance serves requests: start of the machine, loading of weights, first answers. */
export const REPLACEMENT_TIME: Milliseconds = 5 * MINUTE

/** Time for which demand must be observed before a service may shrink. */
const LEARNING_PERIOD: Milliseconds = 15 * MINUTE

/** Work per second of an instance before any observation. */
const PRIOR_CAPACITY = { model: 400, plain: 50 }

/** Safety factor for a capacity that is scaled from another machine class by the ratio of prices. */
const SCALED_CAPACITY_FACTOR = 0.8

/** Assumed number of tokens of a prompt before recomputed tokens were observed. */
const PRIOR_PROMPT_TOKENS = 1_000

/** Assumed time between tokens if no class has a target for it. */
const PRIOR_BETWEEN_TOKENS: Milliseconds = 34

/** Fraction of one instance's work that is always needed, so that every service keeps capacity. */
const MIN_NEED_FRACTION = 0.01

/**
 * Builds the mix problem of a service.
 *
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
  const shared = { offers, losses, ...recomputedOf(input, demand) }
  return { ...shared, need: needOf(input, demand, targets, { ...shared, need: 0, recomputedBound: Infinity }) }
}

/**
 * Strictest targets of a service's classes.
 *
 * @example
 * targetsOf(configuration, service).quantile // 0.95
 */
export function targetsOf (configuration: Configuration, service: Service): ServiceTargets {
  const targets = configuration.classes.filter((candidate) => candidate.service === service.name).map((candidate) => candidate.target)
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
      capacity: capacityFor(input, targets, offer.machineClass),
      reclaimsPerHour: offer.market === 'reclaimable' ? reclaimRate(learned.reclaims, offer.failureDomain).perInstanceHour : 0,
      maxCount: isRefusing(learned.refusals, key, now) ? running.length : Infinity
    }
  })
}

function capacityFor (input: ProblemInput, targets: ServiceTargets, machineClass: string): number {
  const { learned, service } = input
  const domains = domainsOf(input.offers).length
  const known = learnedCapacity(learned, service.name, machineClass)
  if (known !== undefined && known.highest > 0) return capacityOf(known, targets.betweenTokens, domains)
  const other = learned.capacities.find((entry) => entry.service === service.name && entry.capacity.highest > 0)
  if (other === undefined) return PRIOR_CAPACITY[service.kind]
  const ratio = meanPrice(input.offers, machineClass) / meanPrice(input.offers, other.machineClass)
  const scaled = capacityOf(other.capacity, targets.betweenTokens, domains) * SCALED_CAPACITY_FACTOR
  return Number.isFinite(ratio) && ratio > 0 ? scaled * ratio : scaled
}

/**
 * Mean on-demand price of a machine class, the stand-in for its capacity until one was observed. On-demand prices
 * vary least.
 */
function meanPrice (offers: readonly Offer[], machineClass: string): number {
  const onDemand = offers.filter((offer) => offer.machineClass === machineClass && offer.market === 'on-demand')
  return onDemand.reduce((sum, offer) => sum + offer.pricePerHour, 0) / onDemand.length
}

/**
 * Work per second needed by the service.
 *
 * Failure guarded against: a planner that takes over a running service has not observed any demand and would release
 * its instances. Until demand has been observed for a while, the need is at least what the current instances carry
 * after a loss, and at least the need for which the current mix was chosen, because instances reclaimed in the
 * meantime are still needed.
 */
function needOf (input: ProblemInput, demand: Demand | undefined, targets: ServiceTargets, problem: MixProblem): number {
  const minimum = Math.max(0, ...problem.offers.map((offer) => offer.capacity)) * MIN_NEED_FRACTION
  const wanted = demand === undefined ? 0 : neededWork(demand, { quantile: targets.quantile, leadTime: REPLACEMENT_TIME })
  const isSettled = demand !== undefined && input.now - demand.since >= LEARNING_PERIOD
  if (isSettled) return Math.max(minimum, wanted)
  const own = input.slots.filter((slot) => slot.service === input.service.name && slot.state === 'wanted')
  const counts = problem.offers.map((offer) => own.filter((slot) => offerKey(slot.offer) === offerKey(offer)).length)
  return Math.max(minimum, wanted, input.chosenNeed, currentWork(problem, counts))
}

/**
 * Work per second that the current instances are relied on for. Instances in a single domain carry nothing after its
 * loss but are still in use.
 */
function currentWork (problem: MixProblem, counts: readonly number[]): number {
  const total = problem.offers.reduce((sum, offer, index) => sum + offer.capacity * (counts[index] ?? 0), 0)
  if (domainsOf(problem.offers).length === 1) return total
  return Math.max(workAfterWorstLoss(problem, counts), total / 2)
}

function wavesOf (input: ProblemInput) {
  return domainsOf(input.offers).map((failureDomain) => ({ failureDomain, wavesPerHour: reclaimRate(input.learned.reclaims, failureDomain).wavesPerHour }))
}

function domainsOf (offers: readonly Offer[]): FailureDomain[] {
  return [...new Set(offers.map((offer) => offer.failureDomain))].sort()
}

/**
 * Recomputed tokens per lost work. Before any observation they are estimated from the number of streams that generate
 * one token per second.
 */
function recomputedOf (input: ProblemInput, demand: Demand | undefined): { recomputedPerLostWork: number, generatedPerHour: number } {
  const { service, learned, configuration } = input
  if (service.kind === 'plain' || demand === undefined || demand.requestsPerSecond <= 0) return { recomputedPerLostWork: 0, generatedPerHour: 0 }
  const { betweenTokens } = targetsOf(configuration, service)
  const answer = demand.workPerSecond / demand.requestsPerSecond
  const streams = (betweenTokens ?? PRIOR_BETWEEN_TOKENS) / SECOND
  return {
    recomputedPerLostWork: recomputedPerLostWork(learned, service.name, streams * (PRIOR_PROMPT_TOKENS + answer / 2)),
    generatedPerHour: demand.workPerSecond * HOUR / SECOND
  }
}
