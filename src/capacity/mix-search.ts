/**
 * Search for the cheapest mix that carries the need after every loss and keeps recomputed tokens
 * within their bound.
 *
 * Ways weighed: enumeration (exact, but beyond about a dozen instances too slow), a linear program
 * (a library, and rounding that breaks the losses at small sizes), and this: a descent by moves that
 * keep the mix valid, from a few starting mixes that spread the need over the cheapest domains. The
 * price of recomputed tokens is found by bisection, so that the bound is reached at least cost. It is
 * deterministic; docs/design/capacity.md has its gap to the exact optimum.
 */
import type { FailureDomain } from '../identifiers.js'
import { figuresOf, fixedAfter, isTaken, withoutImpossible } from './mix.js'
import type { Counts, Loss, MixFigures, MixOffer, MixProblem } from './mix.js'

/** A mix and its figures. */
export interface MixSolution {
  readonly counts: Counts
  readonly figures: MixFigures
  /** Losses that cannot be survived in full with what can be had. */
  readonly unsurvivable: readonly Loss[]
}

/** A problem laid out for the search. */
interface Layout {
  readonly problem: MixProblem
  readonly size: number
  readonly price: readonly number[]
  readonly capacity: readonly number[]
  /** Recomputed tokens per 1,000 that one instance adds. */
  readonly recomputed: readonly number[]
  readonly most: readonly number[]
  /** Needs: without a loss first, then after each loss. */
  readonly needs: readonly number[]
  /** For each need, the offers that remain. */
  readonly remains: ReadonlyArray<readonly boolean[]>
}

/** A mix under change with what it carries for each need. */
interface Draft {
  readonly counts: number[]
  readonly carried: number[]
}

const THOUSAND = 1_000

/** Steps of the bisection on the price of recomputed tokens. */
const BISECTIONS = 14

/** Most passes of one descent; each pass tries every move once. */
const MOST_PASSES = 60

/** Numbers of instances moved at a time: large mixes are moved in blocks first. */
const BLOCKS = [32, 8, 4, 3, 2, 1]

/** Savings and shortfalls below these are noise of floating point. */
const LEAST_SAVING = 1e-9
const LEAST_SHORTFALL = 1e-6

/**
 * Cheapest mix found.
 *
 * @example
 * const { counts, figures } = searchMix(problem)
 */
export function searchMix (problem: MixProblem): MixSolution {
  const { problem: possible, unsurvivable } = withoutImpossible(problem)
  const layout = layOut(possible)
  const counts = cheapestWithinBound(layout)
  return { counts, figures: figuresOf(problem, counts), unsurvivable }
}

/**
 * The mix nearest to a present one that does what the problem asks: what is missing is added, what is
 * to spare is given up, and nothing else is moved.
 *
 * @example
 * const { counts } = amendMix(problem, presentCounts)
 */
export function amendMix (problem: MixProblem, present: Counts): MixSolution {
  const { problem: possible, unsurvivable } = withoutImpossible(problem)
  const layout = layOut(possible)
  const draft = emptyDraft(layout)
  layout.most.forEach((most, index) => change(layout, draft, index, Math.min(most, present[index] ?? 0)))
  repair(layout, draft, 0)
  for (const index of dearestFirst(layout)) giveUpSpare(layout, draft, index)
  return { counts: draft.counts, figures: figuresOf(problem, draft.counts), unsurvivable }
}

function dearestFirst (layout: Layout): number[] {
  return layout.price.map((_, index) => index).sort((left, right) => priceOfWork(layout, right, 0) - priceOfWork(layout, left, 0))
}

function giveUpSpare (layout: Layout, draft: Draft, index: number): void {
  while ((draft.counts[index] ?? 0) > 0) {
    change(layout, draft, index, -1)
    if (shortfall(layout, draft) <= LEAST_SHORTFALL) continue
    change(layout, draft, index, 1)
    return
  }
}

function cheapestWithinBound (layout: Layout): Counts {
  const bound = layout.problem.recomputedBound
  const free = descendFromAll(layout, 0)
  if (recomputedOf(layout, free.counts) <= bound) return free.counts
  let low = 0
  let high = dearest(layout)
  let best = descendFromAll(layout, high)
  // Not even the calmest mix keeps the bound: it is the least that can be done.
  if (recomputedOf(layout, best.counts) > bound) return best.counts
  for (let step = 0; step < BISECTIONS; step += 1) {
    const middle = (low + high) / 2
    const draft = descendFromAll(layout, middle)
    if (recomputedOf(layout, draft.counts) > bound) {
      low = middle
      continue
    }
    high = middle
    if (costOf(layout, draft.counts) < costOf(layout, best.counts)) best = draft
  }
  return descend(layout, best, 0, bound).counts
}

/** A price of recomputed tokens at which avoiding them comes before all else. */
function dearest (layout: Layout): number {
  const steps = layout.recomputed.filter((value) => value > 0)
  return steps.length === 0 ? 0 : THOUSAND * Math.max(...layout.price) / Math.min(...steps)
}

function descendFromAll (layout: Layout, price: number): Draft {
  const drafts = startingMixes(layout, price).map((draft) => descend(layout, draft, price, Infinity))
  return drafts.reduce((best, draft) => (value(layout, draft.counts, price) < value(layout, best.counts, price) - LEAST_SAVING ? draft : best))
}

/** For each number of domains, the need spread evenly over the cheapest ones. */
function startingMixes (layout: Layout, price: number): Draft[] {
  const domains = cheapestPerDomain(layout, price)
  const largestLoss = Math.max(0, ...layout.problem.losses.map((loss) => loss.failureDomains.length))
  const drafts: Draft[] = []
  for (let used = 1; used <= domains.length; used += 1) {
    const draft = emptyDraft(layout)
    const share = Math.max(0, layout.needs[0] ?? 0) / Math.max(1, used - largestLoss)
    for (const index of domains.slice(0, used)) change(layout, draft, index, Math.min(layout.most[index] ?? 0, Math.ceil(share / (layout.capacity[index] ?? 1))))
    drafts.push(repair(layout, draft, price))
  }
  if (drafts.length === 0) drafts.push(emptyDraft(layout))
  return drafts
}

function cheapestPerDomain (layout: Layout, price: number): number[] {
  const best = new Map<FailureDomain, number>()
  layout.problem.offers.forEach((offer, index) => {
    if (offer.most <= 0) return
    const known = best.get(offer.failureDomain)
    if (known === undefined || priceOfWork(layout, index, price) < priceOfWork(layout, known, price)) best.set(offer.failureDomain, index)
  })
  return [...best.values()].sort((left, right) => priceOfWork(layout, left, price) - priceOfWork(layout, right, price))
}

/** Adds instances, those that mend most for their price first, until every need is carried. */
function repair (layout: Layout, draft: Draft, price: number): Draft {
  while (shortfall(layout, draft) > LEAST_SHORTFALL) {
    const missing = layout.needs.map((need, position) => Math.max(0, need - (draft.carried[position] ?? 0)))
    let best = -1
    let bestRatio = 0
    for (let index = 0; index < layout.size; index += 1) {
      if ((draft.counts[index] ?? 0) >= (layout.most[index] ?? 0)) continue
      const mended = missing.reduce((sum, amount, position) => sum + (layout.remains[position]?.[index] ? Math.min(amount, layout.capacity[index] ?? 0) : 0), 0)
      const ratio = mended / Math.max(LEAST_SAVING, unitPrice(layout, index, price))
      if (ratio > bestRatio) [best, bestRatio] = [index, ratio]
    }
    if (best < 0) return draft
    change(layout, draft, best, 1)
  }
  return draft
}

/** Takes the move that saves most until none saves; every step keeps the mix valid. */
function descend (layout: Layout, start: Draft, price: number, bound: number): Draft {
  const draft = { counts: [...start.counts], carried: [...start.carried] }
  for (let pass = 0; pass < MOST_PASSES; pass += 1) {
    let moved = false
    for (const block of BLOCKS) {
      for (let from = 0; from < layout.size; from += 1) moved = improve(layout, draft, from, block, price, bound) || moved
    }
    if (!moved) break
  }
  return draft
}

/** Gives up blocks of one offer, or replaces them by another offer, as long as that saves. */
function improve (layout: Layout, draft: Draft, from: number, block: number, price: number, bound: number): boolean {
  let moved = false
  while ((draft.counts[from] ?? 0) >= block && move(layout, draft, from, block, price, bound)) moved = true
  return moved
}

/** @returns false, with the draft as it was, when no replacement saves */
function move (layout: Layout, draft: Draft, from: number, block: number, price: number, bound: number): boolean {
  change(layout, draft, from, -block)
  const lacking = shortfall(layout, draft)
  if (lacking <= LEAST_SHORTFALL) return true
  const best = cheapestReplacement(layout, draft, from, lacking, block * unitPrice(layout, from, price), price, bound)
  if (best === undefined) change(layout, draft, from, block)
  else change(layout, draft, best.index, best.count)
  return best !== undefined
}

function cheapestReplacement (layout: Layout, draft: Draft, from: number, lacking: number, freed: number, price: number, bound: number): { index: number, count: number } | undefined {
  let best: { index: number, count: number } | undefined
  let bestCost = freed - LEAST_SAVING
  for (let index = 0; index < layout.size; index += 1) {
    const count = Math.ceil((lacking - LEAST_SHORTFALL) / (layout.capacity[index] ?? 1))
    const cost = count * unitPrice(layout, index, price)
    if (index === from || cost >= bestCost || (draft.counts[index] ?? 0) + count > (layout.most[index] ?? 0)) continue
    if (!isValidWith(layout, draft, index, count, bound)) continue
    best = { index, count }
    bestCost = cost
  }
  return best
}

function isValidWith (layout: Layout, draft: Draft, index: number, count: number, bound: number): boolean {
  change(layout, draft, index, count)
  const valid = shortfall(layout, draft) <= LEAST_SHORTFALL && recomputedOf(layout, draft.counts) <= bound
  change(layout, draft, index, -count)
  return valid
}

function layOut (problem: MixProblem): Layout {
  const { offers, losses } = problem
  const tokens = problem.generatedPerHour > 0 ? THOUSAND * problem.recomputedPerLostWork / problem.generatedPerHour : 0
  return {
    problem,
    size: offers.length,
    price: offers.map((offer) => offer.pricePerHour),
    capacity: offers.map((offer) => offer.capacity),
    recomputed: offers.map((offer) => offer.reclaimsPerHour * offer.capacity * tokens),
    most: offers.map((offer) => offer.most),
    needs: [
      problem.need - fixedAfter(problem, undefined),
      ...losses.map((loss) => (loss.need ?? problem.need) - fixedAfter(problem, loss))
    ],
    remains: [offers.map(() => true), ...losses.map((loss) => offers.map((offer: MixOffer) => !isTaken(loss, offer)))]
  }
}

function emptyDraft (layout: Layout): Draft {
  return { counts: layout.price.map(() => 0), carried: layout.needs.map(() => 0) }
}

function change (layout: Layout, draft: Draft, index: number, count: number): void {
  draft.counts[index] = (draft.counts[index] ?? 0) + count
  const work = count * (layout.capacity[index] ?? 0)
  for (let position = 0; position < layout.needs.length; position += 1) {
    if (layout.remains[position]?.[index]) draft.carried[position] = (draft.carried[position] ?? 0) + work
  }
}

function shortfall (layout: Layout, draft: Draft): number {
  let worst = 0
  for (let position = 0; position < layout.needs.length; position += 1) {
    worst = Math.max(worst, (layout.needs[position] ?? 0) - (draft.carried[position] ?? 0))
  }
  return worst
}

function unitPrice (layout: Layout, index: number, price: number): number {
  return (layout.price[index] ?? 0) + price * (layout.recomputed[index] ?? 0)
}

function priceOfWork (layout: Layout, index: number, price: number): number {
  return unitPrice(layout, index, price) / (layout.capacity[index] ?? 1)
}

function value (layout: Layout, counts: Counts, price: number): number {
  return counts.reduce((sum, count, index) => sum + count * unitPrice(layout, index, price), 0)
}

function costOf (layout: Layout, counts: Counts): number {
  return value(layout, counts, 0)
}

function recomputedOf (layout: Layout, counts: Counts): number {
  return counts.reduce((sum, count, index) => sum + count * (layout.recomputed[index] ?? 0), 0)
}
