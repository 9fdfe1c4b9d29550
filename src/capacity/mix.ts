/**
 * What a mix of instances costs, carries after a loss, and is expected to recompute.
 *
 * A mix must carry the need after every loss of a list (see {@link lossesToSurvive}): any one
 * failure domain as a whole, and the reclaim of several at once where their history makes it likely.
 */
import type { FailureDomain } from '../identifiers.js'
import type { Offer, OfferIdentity } from './types.js'
import { HOUR } from '../clock.js'
import type { Milliseconds } from '../clock.js'

/** An offer with what is known of it for one service. */
export interface MixOffer extends Offer {
  /** Work a second that one instance serves within targets. */
  readonly capacity: number
  /** Expected reclaims of one instance an hour; 0 for on-demand ones. */
  readonly reclaimsPerHour: number
  /** Most instances that can be had: what runs while the offer refuses, else Infinity. */
  readonly most: number
}

/** What may be lost at once. */
export interface Loss {
  readonly failureDomains: readonly FailureDomain[]
  /** A failed domain loses everything, a reclaim only what is reclaimable. */
  readonly takes: 'everything' | 'reclaimable'
  /** Work a second to be carried after it, when the whole need cannot be; see {@link withoutImpossible}. */
  readonly need?: number
}

/** Work a second carried in a failure domain whatever the mix. */
export interface FixedWork {
  readonly failureDomain: FailureDomain
  readonly work: number
}

/** What a mix for one service must do. */
export interface MixProblem {
  /** Work a second to be served within targets, also after a loss. */
  readonly need: number
  readonly offers: readonly MixOffer[]
  readonly losses: readonly Loss[]
  /** Work a second that instances carry which are not the planner's to change. */
  readonly fixed?: readonly FixedWork[]
  /** Tokens computed again for each unit of work a second that a reclaim takes: an instance that serves more loses more streams. */
  readonly recomputedPerLostWork: number
  /** Tokens generated an hour, by which recomputed ones are counted. */
  readonly generatedPerHour: number
  /** Recomputed tokens per 1,000 generated that must not be exceeded; Infinity for no bound. */
  readonly recomputedBound: number
}

/** Instances of each offer, in the order of the problem's offers. */
export type Counts = readonly number[]

/** Figures of a mix. */
export interface MixFigures {
  readonly costPerHour: number
  /** Expected recomputed tokens per 1,000 generated. */
  readonly recomputed: number
  /** Work a second that the worst loss leaves unserved; 0 when the targets are met. */
  readonly shortfall: number
}

/** Reclaim waves that a failure domain is expected to see. */
export interface DomainWaves {
  readonly failureDomain: FailureDomain
  readonly wavesPerHour: number
}

const THOUSAND = 1_000

/**
 * Losses that a mix must survive.
 *
 * Any one domain may fail as a whole. Several domains, up to half of them, may be reclaimed before
 * replacements serve; such a set counts when its probability is above what the targets tolerate.
 *
 * @param options.replacement time until lost capacity is replaced, in milliseconds
 * @param options.tolerance share of requests that may go unserved: one less the strictest reliability
 * @example
 * const losses = lossesToSurvive(waves, { replacement: 5 * MINUTE, tolerance: 0.001 })
 */
export function lossesToSurvive (waves: readonly DomainWaves[], options: { replacement: Milliseconds, tolerance: number }): Loss[] {
  const losses: Loss[] = waves.map(({ failureDomain }) => ({ failureDomains: [failureDomain], takes: 'everything' }))
  const largest = Math.max(1, Math.floor(waves.length / 2))
  for (const domains of subsets(waves, 2, largest)) {
    const together = domains.reduce((product, domain) => product * waveProbability(domain, options.replacement), 1)
    if (together > options.tolerance) losses.push({ failureDomains: domains.map((domain) => domain.failureDomain), takes: 'reclaimable' })
  }
  return losses
}

/**
 * Figures of a mix.
 *
 * @example
 * const { costPerHour, shortfall } = figuresOf(problem, [2, 2, 2])
 */
export function figuresOf (problem: MixProblem, counts: Counts): MixFigures {
  return {
    costPerHour: costOf(problem, counts),
    recomputed: recomputedOf(problem, counts),
    shortfall: shortfallOf(problem, counts)
  }
}

/**
 * Money an hour.
 *
 * @example
 * costOf(problem, counts)
 */
export function costOf (problem: MixProblem, counts: Counts): number {
  return problem.offers.reduce((sum, offer, index) => sum + offer.pricePerHour * (counts[index] ?? 0), 0)
}

/**
 * Expected recomputed tokens per 1,000 generated.
 *
 * @example
 * recomputedOf(problem, counts)
 */
export function recomputedOf (problem: MixProblem, counts: Counts): number {
  if (problem.generatedPerHour <= 0) return 0
  const lostWork = problem.offers.reduce((sum, offer, index) => sum + offer.reclaimsPerHour * offer.capacity * (counts[index] ?? 0), 0)
  return THOUSAND * lostWork * problem.recomputedPerLostWork / problem.generatedPerHour
}

/**
 * Work a second that the worst loss leaves unserved.
 *
 * @example
 * shortfallOf(problem, counts) // 0 when every loss is survived
 */
export function shortfallOf (problem: MixProblem, counts: Counts): number {
  let worst = Math.max(0, problem.need - remaining(problem, counts, undefined))
  for (const loss of problem.losses) worst = Math.max(worst, (loss.need ?? problem.need) - remaining(problem, counts, loss))
  return worst
}

/**
 * Work a second that a mix carries whatever is lost.
 *
 * @example
 * const carried = carriedAfterLosses(problem, counts)
 */
export function carriedAfterLosses (problem: MixProblem, counts: Counts): number {
  return Math.min(remaining(problem, counts, undefined), ...problem.losses.map((loss) => remaining(problem, counts, loss)))
}

/**
 * The problem without what no mix can do: where even every instance that can be had would not carry
 * the need after a loss, as much as can be carried is asked for.
 *
 * @returns the losses that cannot be survived in full at present, for the explanation
 * @example
 * const { problem: possible, unsurvivable } = withoutImpossible(problem)
 */
export function withoutImpossible (problem: MixProblem): { problem: MixProblem, unsurvivable: readonly Loss[] } {
  const all = problem.offers.map((offer) => offer.most)
  const need = Math.min(problem.need, remaining(problem, all, undefined))
  const losses = problem.losses.map((loss) => ({ ...loss, need: Math.min(need, remaining(problem, all, loss)) }))
  return { problem: { ...problem, losses, need }, unsurvivable: losses.filter((loss) => loss.need < problem.need) }
}

/**
 * Whether a loss takes instances of an offer.
 *
 * @example
 * isTaken({ failureDomains: ['zone-a'], takes: 'reclaimable' }, offer)
 */
export function isTaken (loss: Loss, offer: OfferIdentity): boolean {
  if (!loss.failureDomains.includes(offer.failureDomain)) return false
  return loss.takes === 'everything' || offer.market === 'reclaimable'
}

function remaining (problem: MixProblem, counts: Counts, loss: Loss | undefined): number {
  let sum = fixedAfter(problem, loss)
  for (let index = 0; index < problem.offers.length; index += 1) {
    const offer = problem.offers[index]
    const count = counts[index] ?? 0
    if (offer === undefined || count === 0) continue
    if (loss === undefined || !isTaken(loss, offer)) sum += count * offer.capacity
  }
  return sum
}

/**
 * Fixed work that remains after a loss; a reclaim may take it too, since nothing is known of its market.
 *
 * @example
 * const already = fixedAfter(problem, loss)
 */
export function fixedAfter (problem: MixProblem, loss: Loss | undefined): number {
  const left = (problem.fixed ?? []).filter((fixed) => !loss?.failureDomains.includes(fixed.failureDomain))
  return left.reduce((sum, fixed) => sum + fixed.work, 0)
}

function waveProbability (domain: DomainWaves, within: Milliseconds): number {
  return 1 - Math.exp(-domain.wavesPerHour * within / HOUR)
}

/** Subsets of a size in a range, in the order of the list. */
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
