/**
 * When a better mix is worth a change. What the targets need is done at once; what only saves money
 * must save enough, for long enough, since every move starts machines, loads weights and drains work.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import type { ServiceName } from '../identifiers.js'
import type { ChosenMix } from './desired-state.js'
import { figuresOf, withoutImpossible } from './mix.js'
import type { Counts, MixProblem } from './mix.js'
import { amendMix } from './mix-search.js'
import type { MixSolution } from './mix-search.js'
import { offerKey } from './types.js'

/** A cheaper mix must save this share of the present cost. */
const LEAST_SAVING = 0.03

/** It must do so without pause for this long. */
const PATIENCE: Milliseconds = 10 * MINUTE

/** A present mix may pass its bound on recomputed tokens by this share before it is changed at once. */
const RECOMPUTED_SLACK = 1.25

/** An amended mix this much dearer than the best one is still taken: it moves least. */
const AMENDED_SLACK = 1.05

/** Shortfall below this is noise of floating point. */
const NOISE = 1e-6

/**
 * Chooses between keeping the present mix, amending it, and moving to the best one.
 *
 * @param present mix chosen before; undefined for a new service
 * @param best cheapest mix for the problem as it is now
 * @param now wall time, in milliseconds
 * @example
 * const chosen = steadyMix(service, present, problem, best, clock.wall())
 */
export function steadyMix (service: ServiceName, present: ChosenMix | undefined, problem: MixProblem, best: MixSolution, now: Milliseconds): ChosenMix {
  if (present === undefined) return chosenMix(service, problem, best.counts)
  const counts = countsOf(present, problem)
  if (!isSufficient(problem, counts)) return chosenMix(service, problem, leastChange(problem, counts, best))
  const kept = { ...chosenMix(service, problem, counts), need: present.need }
  if (best.figures.costPerHour > figuresOf(problem, counts).costPerHour * (1 - LEAST_SAVING)) return kept
  const since = Math.min(now, present.cheaperSince ?? now)
  if (now - since < PATIENCE) return { ...kept, cheaperSince: since }
  return chosenMix(service, problem, leastChange(problem, counts, best))
}

/**
 * Instances of each of a problem's offers in a chosen mix; what is not sold any more counts as none.
 *
 * @example
 * const counts = countsOf(chosen, problem)
 */
export function countsOf (chosen: ChosenMix, problem: MixProblem): number[] {
  const known = new Map(chosen.instances.map((entry) => [offerKey(entry), entry.count]))
  return problem.offers.map((offer) => Math.min(offer.most, known.get(offerKey(offer)) ?? 0))
}

/** Whether a mix does all that can be done for the targets. */
function isSufficient (problem: MixProblem, counts: Counts): boolean {
  const { shortfall, recomputed } = figuresOf(withoutImpossible(problem).problem, counts)
  return shortfall <= NOISE && recomputed <= problem.recomputedBound * RECOMPUTED_SLACK
}

function leastChange (problem: MixProblem, present: Counts, best: MixSolution): Counts {
  const amended = amendMix(problem, present)
  const isGood = isSufficient(problem, amended.counts) && amended.figures.costPerHour <= best.figures.costPerHour * AMENDED_SLACK
  return isGood ? amended.counts : best.counts
}

function chosenMix (service: ServiceName, problem: MixProblem, counts: Counts): ChosenMix {
  const instances = problem.offers.map(({ failureDomain, machineClass, market }, index) => ({ failureDomain, machineClass, market, count: counts[index] ?? 0 }))
  return { service, need: problem.need, instances: instances.filter((entry) => entry.count > 0) }
}
