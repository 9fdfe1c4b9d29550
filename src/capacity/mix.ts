/**
 * Cost, work carried after a loss, and expected recomputed tokens of a mix of instances.
 *
 * A mix must carry the need after each of a list of losses (see {@link lossesToSurvive}): the failure of any one
 * failure domain, and simultaneous reclaims in several domains where their history makes that likely.
 */
import type { FailureDomain } from '../identifiers.js'
import type { Offer, OfferIdentity } from './types.js'
import { HOUR } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** An offer with its learnt properties for one service. */
export interface MixOffer extends Offer {
  /** Work per second that one instance serves within targets. */
  readonly capacity: number
  /** Expected reclaims per hour of one instance. 0 for on-demand instances. */
  readonly reclaimsPerHour: number
  /** Maximum number of instances: the running ones while the offer refuses starts, otherwise Infinity. */
  readonly maxCount: number
}

/** Instances that may be lost at the same time. */
export interface Loss {
  readonly failureDomains: readonly FailureDomain[]
  /** A failed domain loses all its instances, a reclaim only the reclaimable ones. */
  readonly takes: 'everything' | 'reclaimable'
  /** Work per second to be carried after the loss if the whole need cannot be. See {@link limitToFeasible}. */
  readonly need?: number
}

/** Work per second carried in a failure domain independently of the mix. */
export interface FixedWork {
  readonly failureDomain: FailureDomain
  readonly work: number
}

/** Requirements on the mix of one service. */
export interface MixProblem {
  /** Work per second to be served within targets, also after a loss. */
  readonly need: number
  readonly offers: readonly MixOffer[]
  readonly losses: readonly Loss[]
  /** Work per second carried by instances that the planner does not manage. */
  readonly fixed?: readonly FixedWork[]
  /**
   * Recomputed tokens for each unit of work per second that a reclaim removes. An instance that serves more loses
   * more streams.
   */
  readonly recomputedPerLostWork: number
  /** Tokens generated per hour, the reference for recomputed tokens. */
  readonly generatedPerHour: number
  /** Maximum number of recomputed tokens per 1,000 generated. Infinity for no bound. */
  readonly recomputedBound: number
}

/** Number of instances of each offer, in the order of the problem's offers. */
export type InstanceCounts = readonly number[]

/** Figures of a mix. */
export interface MixFigures {
  readonly costPerHour: number
  /** Expected recomputed tokens per 1,000 generated. */
  readonly recomputed: number
  /** Work per second that is not served after the worst loss. 0 if the targets are met. */
  readonly shortfall: number
}

/** Expected reclaim waves of a failure domain. */
export interface DomainWaves {
  readonly failureDomain: FailureDomain
  readonly wavesPerHour: number
}

const THOUSAND = 1_000

/**
 * Losses that a mix must survive.
 *
 * Any one domain may fail completely. Up to half of the domains may also be reclaimed together before replacements
 * serve. Such a set is included if its probability exceeds what the targets tolerate.
 *
 * @param options.replacement time until lost capacity is replaced, in milliseconds
 * @param options.tolerance fraction of requests that may go unserved: 1 minus the strictest reliability target
 * @example
 * const losses = lossesToSurvive(waves, { replacement: 5 * MINUTE, tolerance: 0.001 })
 */
export function lossesToSurvive (waves: readonly DomainWaves[], options: { replacement: Milliseconds, tolerance: number }): Loss[] {
  const losses: Loss[] = waves.map(({ failureDomain }) => ({ failureDomains: [failureDomain], takes: 'everything' }))
  const largest = Math.max(1, Math.floor(waves.length / 2))
  for (const domains of subsets(waves, 2, largest)) {
    const jointProbability = domains.reduce((product, domain) => product * waveProbability(domain, options.replacement), 1)
    if (jointProbability > options.tolerance) losses.push({ failureDomains: domains.map((domain) => domain.failureDomain), takes: 'reclaimable' })
  }
  return losses
}

/**
 * Figures of a mix.
 *
 * @example
 * const { costPerHour, shortfall } = figuresOf(problem, [2, 2, 2])
 */
export function figuresOf (problem: MixProblem, counts: InstanceCounts): MixFigures {
  return {
    costPerHour: costOf(problem, counts),
    recomputed: recomputedOf(problem, counts),
    shortfall: shortfallOf(problem, counts)
  }
}

/**
 * Cost of a mix per hour.
 *
 * @example
 * costOf(problem, counts)
 */
export function costOf (problem: MixProblem, counts: InstanceCounts): number {
  return problem.offers.reduce((sum, offer, index) => sum + offer.pricePerHour * (counts[index] ?? 0), 0)
}

/**
 * Expected recomputed tokens per 1,000 generated.
 *
 * @example
 * recomputedOf(problem, counts)
 */
export function recomputedOf (problem: MixProblem, counts: InstanceCounts): number {
  if (problem.generatedPerHour <= 0) return 0
  const lostWork = problem.offers.reduce((sum, offer, index) => sum + offer.reclaimsPerHour * offer.capacity * (counts[index] ?? 0), 0)
  return THOUSAND * lostWork * problem.recomputedPerLostWork / problem.generatedPerHour
}

/**
 * Work per second that is not served after the worst loss.
 *
 * @example
 * shortfallOf(problem, counts) // 0 when every loss is survived
 */
export function shortfallOf (problem: MixProblem, counts: InstanceCounts): number {
  let worst = Math.max(0, problem.need - workAfterLoss(problem, counts, undefined))
  for (const loss of problem.losses) worst = Math.max(worst, (loss.need ?? problem.need) - workAfterLoss(problem, counts, loss))
  return worst
}

/**
 * Work per second that a mix carries after the worst loss.
 *
 * @example
 * const carried = workAfterWorstLoss(problem, counts)
 */
export function workAfterWorstLoss (problem: MixProblem, counts: InstanceCounts): number {
  return Math.min(workAfterLoss(problem, counts, undefined), ...problem.losses.map((loss) => workAfterLoss(problem, counts, loss)))
}

/**
 * Limits a problem to what the available capacity can do. Where even all available instances would not carry the need
 * after a loss, the need is reduced to what they carry.
 *
 * @returns the limited problem, and the losses that cannot be fully survived at present
 * @example
 * const { problem: possible, unsurvivable } = limitToFeasible(problem)
 */
export function limitToFeasible (problem: MixProblem): { problem: MixProblem, unsurvivable: readonly Loss[] } {
  const maxCounts = problem.offers.map((offer) => offer.maxCount)
  const need = Math.min(problem.need, workAfterLoss(problem, maxCounts, undefined))
  const losses = problem.losses.map((loss) => ({ ...loss, need: Math.min(need, workAfterLoss(problem, maxCounts, loss)) }))
  return { problem: { ...problem, losses, need }, unsurvivable: losses.filter((loss) => loss.need < problem.need) }
}

/**
 * Whether a loss takes the instances of an offer.
 *
 * @example
 * isLost({ failureDomains: ['zone-a'], takes: 'reclaimable' }, offer)
 */
export function isLost (loss: Loss, offer: OfferIdentity): boolean {
  if (!loss.failureDomains.includes(offer.failureDomain)) return false
  return loss.takes === 'everything' || offer.market === 'reclaimable'
}

function workAfterLoss (problem: MixProblem, counts: InstanceCounts, loss: Loss | undefined): number {
  let sum = fixedWorkAfterLoss(problem, loss)
  for (let index = 0; index < problem.offers.length; index += 1) {
    const offer = problem.offers[index]
    const count = counts[index] ?? 0
    if (offer === undefined || count === 0) continue
    if (loss === undefined || !isLost(loss, offer)) sum += count * offer.capacity
  }
  return sum
}

/**
 * Fixed work per second that remains after a loss. A reclaim is assumed to take it too, because its market is
 * unknown.
 *
 * @example
 * const carried = fixedWorkAfterLoss(problem, loss)
 */
export function fixedWorkAfterLoss (problem: MixProblem, loss: Loss | undefined): number {
  const left = (problem.fixed ?? []).filter((fixed) => !loss?.failureDomains.includes(fixed.failureDomain))
  return left.reduce((sum, fixed) => sum + fixed.work, 0)
}

function waveProbability (domain: DomainWaves, within: Milliseconds): number {
  return 1 - Math.exp(-domain.wavesPerHour * within / HOUR)
}

/** Subsets with sizes in the given range, in the order of the list. */
function subsets<T> (items: readonly T[], smallest: number, largest: number): T[][] {
  const found: T[][] = []
  const extend = (chosen: T[], from: number): void => {
    if (chosen.length >= smallest) found.push(chosen)
    if (chosen.length === largest) return
    for (let index = from; index < items.length; index += 1) extend([...chosen, items[index] as T], index + 1)
  }
  extend([], 0)
  return found
}
