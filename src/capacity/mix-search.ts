/**
 * Search for the cheapest mix that carries the need after every loss and keeps recomputed tokens within their bound.
 *
 * The search is a local descent: starting from mixes that spread the need over the cheapest domains, it applies moves
 * that save cost and keep the mix valid. Enumeration would be exact but is too slow beyond about a dozen instances. A
 * linear program would need a library, and rounding its solution violates the losses at small sizes. The price of
 * recomputed tokens is found by bisection, so that the bound is met at the lowest cost. The result is deterministic.
 * See docs/design/capacity.md for its gap to the exact optimum.
 */
import type { FailureDomain } from '../identifiers.js'
import { figuresOf, fixedWorkAfterLoss, isLost, limitToFeasible } from './mix.js'
import type { InstanceCounts, Loss, MixFigures, MixOffer, MixProblem } from './mix.js'

/** A mix and its figures. */
export interface MixSolution {
  readonly counts: InstanceCounts
  readonly figures: MixFigures
  /** Losses that the available capacity cannot fully survive. */
  readonly unsurvivable: readonly Loss[]
}

/** A problem converted to arrays for the search. The arrays over offers are in the order of the problem's offers. */
interface PreparedProblem {
  readonly problem: MixProblem
  readonly size: number
  readonly price: readonly number[]
  readonly capacity: readonly number[]
  /** Recomputed tokens per 1,000 generated that one instance adds. */
  readonly recomputed: readonly number[]
  readonly maxCounts: readonly number[]
  /** Work per second to be carried: first without a loss, then after each loss. */
  readonly needs: readonly number[]
  /** For each need, whether instances of each offer survive the loss. */
  readonly surviving: ReadonlyArray<readonly boolean[]>
}

/** A mutable mix with the work that it carries for each need. */
interface Draft {
  readonly counts: number[]
  readonly carried: number[]
}

const THOUSAND = 1_000

/** Number of bisection steps for the price of recomputed tokens. */
const BISECTION_STEPS = 14

/** Maximum number of passes of one descent. Each pass tries every move once. */
const MAX_PASSES = 60

/** Numbers of instances moved at a time. Large blocks come first, so that large mixes converge quickly. */
const BLOCK_SIZES = [32, 8, 4, 3, 2, 1]

/** Savings and shortfalls up to these values are floating-point rounding errors. */
const MIN_SAVING = 1e-9
const SHORTFALL_TOLERANCE = 1e-6

/**
 * Finds the cheapest mix for a problem.
 *
 * @example
 * const { counts, figures } = searchMix(problem)
 */
export function searchMix (problem: MixProblem): MixSolution {
  const { problem: possible, unsurvivable } = limitToFeasible(problem)
  const prepared = prepareProblem(possible)
  const counts = cheapestWithinBound(prepared)
  return { counts, figures: figuresOf(problem, counts), unsurvivable }
}

/**
 * Amends a current mix with as few changes as possible: instances are added where the need is not carried and removed
 * where they are not needed.
 *
 * @example
 * const { counts } = amendMix(problem, presentCounts)
 */
export function amendMix (problem: MixProblem, present: InstanceCounts): MixSolution {
  const { problem: possible, unsurvivable } = limitToFeasible(problem)
  const prepared = prepareProblem(possible)
  const draft = emptyDraft(prepared)
  prepared.maxCounts.forEach((maxCount, index) => addInstances(prepared, draft, index, Math.min(maxCount, present[index] ?? 0)))
  repair(prepared, draft, 0)
  for (const index of mostExpensiveFirst(prepared)) removeSurplus(prepared, draft, index)
  return { counts: draft.counts, figures: figuresOf(problem, draft.counts), unsurvivable }
}

function mostExpensiveFirst (prepared: PreparedProblem): number[] {
  return prepared.price.map((_, index) => index).sort((left, right) => priceOfWork(prepared, right, 0) - priceOfWork(prepared, left, 0))
}

function removeSurplus (prepared: PreparedProblem, draft: Draft, index: number): void {
  while ((draft.counts[index] ?? 0) > 0) {
    addInstances(prepared, draft, index, -1)
    if (shortfall(prepared, draft) <= SHORTFALL_TOLERANCE) continue
    addInstances(prepared, draft, index, 1)
    return
  }
}

function cheapestWithinBound (prepared: PreparedProblem): InstanceCounts {
  const bound = prepared.problem.recomputedBound
  const unconstrained = descendFromAll(prepared, 0)
  if (recomputedOf(prepared, unconstrained.counts) <= bound) return unconstrained.counts
  let low = 0
  let high = maxTokenPrice(prepared)
  let best = descendFromAll(prepared, high)
  // Even the mix with the fewest expected reclaims exceeds the bound, so it is the best available.
  if (recomputedOf(prepared, best.counts) > bound) return best.counts
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2
    const draft = descendFromAll(prepared, middle)
    if (recomputedOf(prepared, draft.counts) > bound) {
      low = middle
      continue
    }
    high = middle
    if (costOf(prepared, draft.counts) < costOf(prepared, best.counts)) best = draft
  }
  return descend(prepared, best, 0, bound).counts
}

/** A price of recomputed tokens at which avoiding them outweighs every cost. */
function maxTokenPrice (prepared: PreparedProblem): number {
  const steps = prepared.recomputed.filter((recomputed) => recomputed > 0)
  return steps.length === 0 ? 0 : THOUSAND * Math.max(...prepared.price) / Math.min(...steps)
}

function descendFromAll (prepared: PreparedProblem, tokenPrice: number): Draft {
  const drafts = startingMixes(prepared, tokenPrice).map((draft) => descend(prepared, draft, tokenPrice, Infinity))
  return drafts.reduce((best, draft) => (objective(prepared, draft.counts, tokenPrice) < objective(prepared, best.counts, tokenPrice) - MIN_SAVING ? draft : best))
}

/** Starting mixes: for each number of domains, the need is spread evenly over the cheapest ones. */
function startingMixes (prepared: PreparedProblem, tokenPrice: number): Draft[] {
  const domains = cheapestPerDomain(prepared, tokenPrice)
  const largestLoss = Math.max(0, ...prepared.problem.losses.map((loss) => loss.failureDomains.length))
  const drafts: Draft[] = []
  for (let used = 1; used <= domains.length; used += 1) {
    const draft = emptyDraft(prepared)
    const share = Math.max(0, prepared.needs[0] ?? 0) / Math.max(1, used - largestLoss)
    for (const index of domains.slice(0, used)) addInstances(prepared, draft, index, Math.min(prepared.maxCounts[index] ?? 0, Math.ceil(share / (prepared.capacity[index] ?? 1))))
    drafts.push(repair(prepared, draft, tokenPrice))
  }
  if (drafts.length === 0) drafts.push(emptyDraft(prepared))
  return drafts
}

function cheapestPerDomain (prepared: PreparedProblem, tokenPrice: number): number[] {
  const best = new Map<FailureDomain, number>()
  prepared.problem.offers.forEach((offer, index) => {
    if (offer.maxCount <= 0) return
    const known = best.get(offer.failureDomain)
    if (known === undefined || priceOfWork(prepared, index, tokenPrice) < priceOfWork(prepared, known, tokenPrice)) best.set(offer.failureDomain, index)
  })
  return [...best.values()].sort((left, right) => priceOfWork(prepared, left, tokenPrice) - priceOfWork(prepared, right, tokenPrice))
}

/** Adds instances until every need is carried. Offers that cover the most missing work for their price come first. */
function repair (prepared: PreparedProblem, draft: Draft, tokenPrice: number): Draft {
  while (shortfall(prepared, draft) > SHORTFALL_TOLERANCE) {
    const missing = prepared.needs.map((need, position) => Math.max(0, need - (draft.carried[position] ?? 0)))
    let best = -1
    let bestRatio = 0
    for (let index = 0; index < prepared.size; index += 1) {
      if ((draft.counts[index] ?? 0) >= (prepared.maxCounts[index] ?? 0)) continue
      const covered = missing.reduce((sum, amount, position) => sum + (prepared.surviving[position]?.[index] ? Math.min(amount, prepared.capacity[index] ?? 0) : 0), 0)
      const ratio = covered / Math.max(MIN_SAVING, unitPrice(prepared, index, tokenPrice))
      if (ratio > bestRatio) [best, bestRatio] = [index, ratio]
    }
    if (best < 0) return draft
    addInstances(prepared, draft, best, 1)
  }
  return draft
}

/** Applies moves that save cost until none does. Every step keeps the mix valid. */
function descend (prepared: PreparedProblem, start: Draft, tokenPrice: number, bound: number): Draft {
  const draft = { counts: [...start.counts], carried: [...start.carried] }
  for (let pass = 0; pass < MAX_PASSES; pass += 1) {
    let moved = false
    for (const block of BLOCK_SIZES) {
      for (let from = 0; from < prepared.size; from += 1) moved = improve(prepared, draft, from, block, tokenPrice, bound) || moved
    }
    if (!moved) break
  }
  return draft
}

/** Removes blocks of one offer, or replaces them with another offer, as long as that saves cost. */
function improve (prepared: PreparedProblem, draft: Draft, from: number, block: number, tokenPrice: number, bound: number): boolean {
  let moved = false
  while ((draft.counts[from] ?? 0) >= block && move(prepared, draft, from, block, tokenPrice, bound)) moved = true
  return moved
}

/**
 * Removes one block of an offer, or replaces it with the cheapest other offer.
 *
 * @returns false, with the draft unchanged, if no replacement saves cost
 */
function move (prepared: PreparedProblem, draft: Draft, from: number, block: number, tokenPrice: number, bound: number): boolean {
  addInstances(prepared, draft, from, -block)
  const missing = shortfall(prepared, draft)
  if (missing <= SHORTFALL_TOLERANCE) return true
  const best = cheapestReplacement(prepared, draft, from, missing, block * unitPrice(prepared, from, tokenPrice), tokenPrice, bound)
  if (best === undefined) addInstances(prepared, draft, from, block)
  else addInstances(prepared, draft, best.index, best.count)
  return best !== undefined
}

function cheapestReplacement (prepared: PreparedProblem, draft: Draft, from: number, missing: number, savedCost: number, tokenPrice: number, bound: number): { index: number, count: number } | undefined {
  let best: { index: number, count: number } | undefined
  let bestCost = savedCost - MIN_SAVING
  for (let index = 0; index < prepared.size; index += 1) {
    const count = Math.ceil((missing - SHORTFALL_TOLERANCE) / (prepared.capacity[index] ?? 1))
    const cost = count * unitPrice(prepared, index, tokenPrice)
    if (index === from || cost >= bestCost || (draft.counts[index] ?? 0) + count > (prepared.maxCounts[index] ?? 0)) continue
    if (!isValidWith(prepared, draft, index, count, bound)) continue
    best = { index, count }
    bestCost = cost
  }
  return best
}

function isValidWith (prepared: PreparedProblem, draft: Draft, index: number, count: number, bound: number): boolean {
  addInstances(prepared, draft, index, count)
  const valid = shortfall(prepared, draft) <= SHORTFALL_TOLERANCE && recomputedOf(prepared, draft.counts) <= bound
  addInstances(prepared, draft, index, -count)
  return valid
}

function prepareProblem (problem: MixProblem): PreparedProblem {
  const { offers, losses } = problem
  const tokens = problem.generatedPerHour > 0 ? THOUSAND * problem.recomputedPerLostWork / problem.generatedPerHour : 0
  return {
    problem,
    size: offers.length,
    price: offers.map((offer) => offer.pricePerHour),
    capacity: offers.map((offer) => offer.capacity),
    recomputed: offers.map((offer) => offer.reclaimsPerHour * offer.capacity * tokens),
    maxCounts: offers.map((offer) => offer.maxCount),
    needs: [
      problem.need - fixedWorkAfterLoss(problem, undefined),
      ...losses.map((loss) => (loss.need ?? problem.need) - fixedWorkAfterLoss(problem, loss))
    ],
    surviving: [offers.map(() => true), ...losses.map((loss) => offers.map((offer: MixOffer) => !isLost(loss, offer)))]
  }
}

function emptyDraft (prepared: PreparedProblem): Draft {
  return { counts: prepared.price.map(() => 0), carried: prepared.needs.map(() => 0) }
}

function addInstances (prepared: PreparedProblem, draft: Draft, index: number, count: number): void {
  draft.counts[index] = (draft.counts[index] ?? 0) + count
  const work = count * (prepared.capacity[index] ?? 0)
  for (let position = 0; position < prepared.needs.length; position += 1) {
    if (prepared.surviving[position]?.[index]) draft.carried[position] = (draft.carried[position] ?? 0) + work
  }
}

function shortfall (prepared: PreparedProblem, draft: Draft): number {
  let worst = 0
  for (let position = 0; position < prepared.needs.length; position += 1) {
    worst = Math.max(worst, (prepared.needs[position] ?? 0) - (draft.carried[position] ?? 0))
  }
  return worst
}

function unitPrice (prepared: PreparedProblem, index: number, tokenPrice: number): number {
  return (prepared.price[index] ?? 0) + tokenPrice * (prepared.recomputed[index] ?? 0)
}

function priceOfWork (prepared: PreparedProblem, index: number, tokenPrice: number): number {
  return unitPrice(prepared, index, tokenPrice) / (prepared.capacity[index] ?? 1)
}

function objective (prepared: PreparedProblem, counts: InstanceCounts, tokenPrice: number): number {
  return counts.reduce((sum, count, index) => sum + count * unitPrice(prepared, index, tokenPrice), 0)
}

function costOf (prepared: PreparedProblem, counts: InstanceCounts): number {
  return objective(prepared, counts, 0)
}

function recomputedOf (prepared: PreparedProblem, counts: InstanceCounts): number {
  return counts.reduce((sum, count, index) => sum + count * (prepared.recomputed[index] ?? 0), 0)
}
