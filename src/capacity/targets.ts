/**
 * How the deployment's two targets steer the mix, without any weight.
 *
 * The classes' targets come first: every mix must carry the need after the likely losses. Among such
 * mixes recomputed tokens must stay within their target, and what freedom is left goes to the lowest
 * cost. Only when that cost is above its own target do the two pull against each other; then both
 * give by the same share of their targets, as far as giving helps. A stricter number therefore holds
 * better, and nothing else needs to be set.
 */
import type { DeploymentTarget } from '../configuration/index.js'
import { searchMix } from './mix-search.js'
import type { MixSolution } from './mix-search.js'
import type { MixProblem } from './mix.js'

/** One service's part of the deployment. */
export interface ServiceProblem {
  readonly service: string
  /** Its problem; the bound on recomputed tokens is filled in from the target. */
  readonly problem: Omit<MixProblem, 'recomputedBound'>
}

/** What the targets come to. */
export interface TargetOutcome {
  /** Expected cost of 1,000 answers, by its target; above 1 it gives. */
  readonly costRatio: number
  /** Expected recomputed tokens, by their target; above 1 they give. */
  readonly recomputedRatio: number
  readonly gives: 'nothing' | 'cost' | 'recomputed' | 'both'
}

/** Mixes of all services and what they mean for the targets. */
export interface DeploymentMix {
  readonly solutions: readonly MixSolution[]
  readonly outcome: TargetOutcome
}

const THOUSAND = 1_000

/** Steps of the bisection on how far the targets give. */
const BISECTIONS = 8

/** Ratios this close above 1 are met: the search stops there. */
const TOLERANCE = 0.001

/**
 * Chooses the mixes of all services under the deployment's targets.
 *
 * @param answersPerHour answers within target that are expected, over all services
 * @example
 * const { solutions, outcome } = chooseMixes(problems, configuration.deployment.target, 36_000)
 */
export function chooseMixes (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number): DeploymentMix {
  const strict = solveWith(problems, target, answersPerHour, 1)
  if (strict.outcome.costRatio <= 1 + TOLERANCE) return strict
  const free = solveWith(problems, target, answersPerHour, Infinity)
  // Giving up recomputed tokens saves nothing: only the cost gives.
  if (free.outcome.costRatio >= strict.outcome.costRatio - TOLERANCE) return strict
  return balance(problems, target, answersPerHour, strict, free)
}

/**
 * What a set of mixes means for the targets.
 *
 * @example
 * outcomeOf(problems, solutions, target, answersPerHour).gives // 'nothing'
 */
export function outcomeOf (problems: readonly ServiceProblem[], solutions: readonly MixSolution[], target: DeploymentTarget, answersPerHour: number): TargetOutcome {
  const cost = solutions.reduce((sum, solution) => sum + solution.figures.costPerHour, 0)
  const costRatio = answersPerHour > 0 ? cost * THOUSAND / answersPerHour / target.cost_per_thousand_answers : 0
  const recomputedRatio = recomputedOverall(problems, solutions) / target.recomputed_per_thousand_tokens
  return { costRatio, recomputedRatio, gives: givesOf(costRatio, recomputedRatio) }
}

/** Finds the share at which cost and recomputed tokens are as far above their targets as each other. */
function balance (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number, strict: DeploymentMix, free: DeploymentMix): DeploymentMix {
  let low = 1
  let high = Math.max(1, free.outcome.recomputedRatio)
  let best = worstRatio(free) < worstRatio(strict) ? free : strict
  for (let step = 0; step < BISECTIONS; step += 1) {
    const middle = (low + high) / 2
    const mix = solveWith(problems, target, answersPerHour, middle)
    if (worstRatio(mix) < worstRatio(best)) best = mix
    if (mix.outcome.costRatio > middle) low = middle
    else high = middle
  }
  return best
}

function solveWith (problems: readonly ServiceProblem[], target: DeploymentTarget, answersPerHour: number, share: number): DeploymentMix {
  const recomputedBound = target.recomputed_per_thousand_tokens * share
  const solutions = problems.map(({ problem }) => searchMix({ ...problem, recomputedBound }))
  return { solutions, outcome: outcomeOf(problems, solutions, target, answersPerHour) }
}

function recomputedOverall (problems: readonly ServiceProblem[], solutions: readonly MixSolution[]): number {
  const generated = problems.reduce((sum, { problem }) => sum + problem.generatedPerHour, 0)
  if (generated === 0) return 0
  const recomputed = solutions.reduce((sum, solution, index) => sum + solution.figures.recomputed * (problems[index]?.problem.generatedPerHour ?? 0), 0)
  return recomputed / generated
}

function givesOf (costRatio: number, recomputedRatio: number): TargetOutcome['gives'] {
  const cost = costRatio > 1 + TOLERANCE
  const recomputed = recomputedRatio > 1 + TOLERANCE
  if (cost && recomputed) return 'both'
  if (cost) return 'cost'
  return recomputed ? 'recomputed' : 'nothing'
}

function worstRatio (mix: DeploymentMix): number {
  return Math.max(mix.outcome.costRatio, mix.outcome.recomputedRatio)
}
