/**
 * Hysteresis of the instance mix. A change that the targets require is made at once. A change that only saves money
 * must save enough for long enough, because it starts machines, loads weights and drains instances.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import type { ServiceName } from '../identifiers.js'
import type { ChosenMix } from './desired-state.js'
import { figuresOf, limitToFeasible } from './mix.js'
import type { InstanceCounts, MixProblem } from './mix.js'
import { amendMix } from './mix-search.js'
import type { MixSolution } from './mix-search.js'
import { offerKey } from './types.js'

/** A cheaper mix must save at least this fraction of the current cost. */
const MIN_SAVING = 0.03

/** Time for which a cheaper mix must be available without interruption before it is adopted. */
const MIN_SAVING_PERIOD: Milliseconds = 10 * MINUTE

/** Factor by which the current mix may exceed its bound on recomputed tokens before it is changed at once. */
const RECOMPUTED_TOLERANCE = 1.25

/** An amended mix may cost up to this factor of the best mix. It is preferred because it changes the fewest instances. */
const AMENDED_COST_TOLERANCE = 1.05

/** Shortfalls up to this value are floating-point rounding errors. */
const SHORTFALL_TOLERANCE = 1e-6

/**
 * Chooses whether to keep the current mix, amend it, or switch to the best one.
 *
 * @param present mix chosen before; undefined for a new service
 * @param best cheapest mix for the current problem
 * @param now wall time, in milliseconds
 * @example
 * const chosen = chooseStableMix(service, present, problem, best, clock.wall())
 */
export function chooseStableMix (service: ServiceName, present: ChosenMix | undefined, problem: MixProblem, best: MixSolution, now: Milliseconds): ChosenMix {
  if (present === undefined) return toChosenMix(service, problem, best.counts)
  const counts = countsOf(present, problem)
  if (!isSufficient(problem, counts)) return toChosenMix(service, problem, minimalChange(problem, counts, best))
  const kept = { ...toChosenMix(service, problem, counts), need: present.need }
  if (best.figures.costPerHour > figuresOf(problem, counts).costPerHour * (1 - MIN_SAVING)) return kept
  const since = Math.min(now, present.cheaperSince ?? now)
  if (now - since < MIN_SAVING_PERIOD) return { ...kept, cheaperSince: since }
  return toChosenMix(service, problem, minimalChange(problem, counts, best))
}

/**
 * Number of instances of each of a problem's offers in a chosen mix. Offers that are no longer available are omitted.
 *
 * @example
 * const counts = countsOf(chosen, problem)
 */
export function countsOf (chosen: ChosenMix, problem: MixProblem): number[] {
  const known = new Map(chosen.instances.map((entry) => [offerKey(entry), entry.count]))
  return problem.offers.map((offer) => Math.min(offer.maxCount, known.get(offerKey(offer)) ?? 0))
}

/** Whether a mix meets the targets as far as the available capacity allows. */
function isSufficient (problem: MixProblem, counts: InstanceCounts): boolean {
  const { shortfall, recomputed } = figuresOf(limitToFeasible(problem).problem, counts)
  return shortfall <= SHORTFALL_TOLERANCE && recomputed <= problem.recomputedBound * RECOMPUTED_TOLERANCE
}

function minimalChange (problem: MixProblem, present: InstanceCounts, best: MixSolution): InstanceCounts {
  const amended = amendMix(problem, present)
  const isAcceptable = isSufficient(problem, amended.counts) && amended.figures.costPerHour <= best.figures.costPerHour * AMENDED_COST_TOLERANCE
  return isAcceptable ? amended.counts : best.counts
}

function toChosenMix (service: ServiceName, problem: MixProblem, counts: InstanceCounts): ChosenMix {
  const instances = problem.offers.map(({ failureDomain, machineClass, market }, index) => ({ failureDomain, machineClass, market, count: counts[index] ?? 0 }))
  return { service, need: problem.need, instances: instances.filter((entry) => entry.count > 0) }
}
