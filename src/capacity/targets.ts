/**
 * Chooses mixes under the deployment's two targets, without weights between them.
 *
 * The class targets come first: every mix must carry the need after the likely losses. Among such mixes, recomputed
 * tokens must stay within their target, and the cheapest mix is chosen. If its cost exceeds the cost target, both
 * targets are exceeded by the same ratio, as far as more recomputed tokens reduce the cost. A stricter target is
 * therefore met more closely, and no further settings are needed.
 */
import type { DeploymentTarget } from '../configuration/index.js'
import { searchMix } from './mix-search.js'
import type { MixSolution } from './mix-search.js'
import type { MixProblem } from './mix.js'

/** Mix problem of one service of the deployment. */
export interface ServiceProblem {
  readonly service: string
  /** The problem. The bound on recomputed tokens is set from the target. */
  readonly problem: Omit<MixProblem, 'recomputedBound'>
}

/** How the expected figures compare with the targets. */
export interface TargetOutcome {
  /** Expected cost of 1,000 answers divided by its target. Above 1 the target is exceeded. */
  readonly costRatio: number
  /** Expected recomputed tokens divided by their target. Above 1 the target is exceeded. */
  readonly recomputedRatio: number
  /** Which targets are exceeded. */
  readonly gives: 'nothing' | 'cost' | 'recomputed' | 'both'
}

/** Mixes of all services and their outcome. */
export interface DeploymentMix {
  readonly solutions: readonly MixSolution[]
  readonly outcome: TargetOutcome
}

const THOUSAND = 1_000

/** Number of bisection steps for the ratio by which the targets are exceeded. */
const BISECTION_STEPS = 8

/** Tolerance by which a ratio may exceed 1 and its target still counts as met. */
const RATIO_TOLERANCE = 0.001

/**
 * Chooses the mixes of all services under the deployment's targets.
 *
 * @param answersPerHour expected answers within target per hour, over all services
 * @example
 * const { solutions, outcome } = chooseMixes(problems, configuration.deployment.target, 36_000)
 */
export function chooseMixes (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number): DeploymentMix {
  const strict = solveWith(problems, target, answersPerHour, 1)
  if (strict.outcome.costRatio <= 1 + RATIO_TOLERANCE) return strict
  const unbounded = solveWith(problems, target, answersPerHour, Infinity)
  // More recomputed tokens save nothing, so only the cost target is exceeded.
  if (unbounded.outcome.costRatio >= strict.outcome.costRatio - RATIO_TOLERANCE) return strict
  return balanceTargets(problems, target, answersPerHour, strict, unbounded)
}

/**
 * Compares the expected figures of a set of mixes with the targets.
 *
 * @example
 * outcomeOf(problems, solutions, target, answersPerHour).gives // 'nothing'
 */
export function outcomeOf (problems: readonly ServiceProblem[], solutions: readonly MixSolution[], target: DeploymentTarget, answersPerHour: number): TargetOutcome {
  const cost = solutions.reduce((sum, solution) => sum + solution.figures.costPerHour, 0)
  const costRatio = answersPerHour > 0 ? cost * THOUSAND / answersPerHour / target.cost_per_thousand_answers : 0
  const recomputedRatio = meanRecomputed(problems, solutions) / target.recomputed_per_thousand_tokens
  return { costRatio, recomputedRatio, gives: exceededTargets(costRatio, recomputedRatio) }
}

/** Finds the ratio at which cost and recomputed tokens exceed their targets equally. */
function balanceTargets (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number, strict: DeploymentMix, unbounded: DeploymentMix): DeploymentMix {
  let low = 1
  let high = Math.max(1, unbounded.outcome.recomputedRatio)
  let best = worstRatio(unbounded) < worstRatio(strict) ? unbounded : strict
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2
    const mix = solveWith(problems, target, answersPerHour, middle)
    if (worstRatio(mix) < worstRatio(best)) best = mix
    if (mix.outcome.costRatio > middle) low = middle
    else high = middle
  }
  return best
}

function solveWith (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number, ratio: number): DeploymentMix {
  const recomputedBound = target.recomputed_per_thousand_tokens * ratio
  const solutions = problems.map(({ problem }) => searchMix({ ...problem, recomputedBound }))
  return { solutions, outcome: outcomeOf(problems, solutions, target, answersPerHour) }
}

function meanRecomputed (problems: readonly ServiceProblem[], solutions: readonly MixSolution[]): number {
  const generated = problems.reduce((sum, { problem }) => sum + problem.generatedPerHour, 0)
  if (generated === 0) return 0
  const recomputed = solutions.reduce((sum, solution, index) => sum + solution.figures.recomputed * (problems[index]?.problem.generatedPerHour ?? 0), 0)
  return recomputed / generated
}

function exceededTargets (costRatio: number, recomputedRatio: number): TargetOutcome['gives'] {
  const cost = costRatio > 1 + RATIO_TOLERANCE
  const recomputed = recomputedRatio > 1 + RATIO_TOLERANCE
  if (cost && recomputed) return 'both'
  if (cost) return 'cost'
  return recomputed ? 'recomputed' : 'nothing'
}

function worstRatio (mix: DeploymentMix): number {
  return Math.max(mix.outcome.costRatio, mix.outcome.recomputedRatio)
}
