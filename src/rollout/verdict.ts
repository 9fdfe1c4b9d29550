/**
 * Sequential test of whether a tried version is worse than the serving versions, from sums of answers.
 *
 * Each route is tested separately, since a version may be bad on one route only. Two kinds of fault are tested for: a
 * fraction of the answers fails, or a fraction of them takes several times as long. The answers are compared with those of
 * the serving versions on the same route at the same time. Failures that also occur with the serving versions, and bursts
 * that delay all answers, are thus not attributed to the tried version. Since a version may turn bad later, the evidence
 * for a fault restarts at 0 whenever it falls below 0 (CUSUM: Page, Continuous inspection schemes, 1954). Earlier good
 * answers therefore do not outweigh later bad ones.
 */
import { answerCount, countsByStep, STEPS_PER_DOUBLING } from './evidence.js'
import type { RouteEvidence, SideEvidence, VersionEvidence } from './evidence.js'

/** Result of the test. */
export type VersionVerdict =
  | { readonly kind: 'open' }
  | { readonly kind: 'good' }
  | { readonly kind: 'bad', readonly route: string, readonly fault: FaultKind }

/** Kind of fault. */
export type FaultKind = 'failing' | 'slow'

/** Test that compares a tried version with the serving versions. */
export interface VersionTest {
  /** Evaluates sums since the order. The answers added since the last call are new evidence. */
  observe (evidence: VersionEvidence): void
  /** Current verdict. A bad verdict is final. */
  verdict (): VersionVerdict
}

/** A fault that is tested for. */
interface Hypothesis {
  readonly fault: FaultKind
  /** Fraction of the answers that is affected. */
  readonly part: number
}

/**
 * A mild and a severe case of each fault. Cases between them are detected as well, but later than with a hypothesis of
 * their own.
 */
const HYPOTHESES: readonly Hypothesis[] = [
  { fault: 'failing', part: 0.3 },
  { fault: 'failing', part: 0.7 },
  { fault: 'slow', part: 0.3 },
  { fault: 'slow', part: 0.8 }
]

/** Delays of slow answers in histogram steps: they take 2.8 to 11 times as long. */
const SLOWER_STEPS = [3, 4, 5, 6, 7]

/**
 * Log-likelihood ratio at which a version is bad. With it no good version is rolled back in 120 simulated roll-outs of each
 * kind, including those with a burst of three seconds that delays all answers (simulations of test/rollout with more
 * seeds).
 */
const BAD_THRESHOLD = 8.5

/**
 * Negative log-likelihood ratio at which a fault is ruled out on a route. For a mild fault this takes some nine good
 * answers, or fifteen on a route where one in seven fails with any version.
 */
const GOOD_THRESHOLD = 3

/** Log-likelihood ratio at which a fault is suspected. A version with a suspected fault is not called good. */
const SUSPICION_THRESHOLD = 4

/** Number of answers of the serving versions on a route that is needed for a comparison. */
const MIN_COMPARED_ANSWERS = 15

/** A good verdict does not wait for routes with less than this fraction of a service's answers. */
const RARE_ROUTE_FRACTION = 0.04

/** Pseudocount of each failure, success and step, so that no outcome has a probability of 0. */
const PRIOR_COUNT = 0.15

/** Number of steps with a pseudocount. The times of one route differ by a factor of some thousand. */
const PRIOR_STEPS = 10 * STEPS_PER_DOUBLING

/** Fraction of a step's count that is assigned to each neighbouring step, to smooth the histogram. */
const NEIGHBOUR_FRACTION = 0.25

/**
 * Minimum number of recent answers of the serving versions. Failure guarded against: a burst delays all answers, and the
 * answers of the tried version in the burst are compared with the answers of the serving versions before it. Therefore the
 * recent answers are also considered, and a failure or time that is usual in either of the two is weak evidence.
 */
const MIN_RECENT_ANSWERS = 12

/** Largest weight of a single answer. One late answer is then no evidence of a fault, while two in ten are. */
const MAX_ANSWER_WEIGHT = 2.2

const NO_ANSWERS: SideEvidence = { failures: 0, times: {} }

interface RouteTest {
  /** Sums of the serving versions at earlier evaluations, the oldest first. */
  readonly before: SideEvidence[]
  /** Sums of the tried version that have been evaluated. */
  seen: SideEvidence
  /** Evidence for each hypothesis since it last fell to 0, as a log-likelihood ratio. */
  readonly suspicion: number[]
}

/**
 * Creates a test without evidence.
 *
 * @example
 * const test = createVersionTest()
 * test.observe(sums)
 * test.verdict().kind
 */
export function createVersionTest (): VersionTest {
  const routes = new Map<string, RouteTest>()
  let latest: VersionEvidence | undefined
  let bad: VersionVerdict & { kind: 'bad' } | undefined

  function observeRoute (name: string, evidence: RouteEvidence): void {
    const test = routes.get(name) ?? createRouteTest()
    routes.set(name, test)
    const recent = recentAnswersOf(test, evidence.serving)
    if (answerCount(evidence.serving) < MIN_COMPARED_ANSWERS) return
    const newAnswers = answersSince(evidence.tried, test.seen)
    // The sums decrease when a node dies. Later answers are then counted from the new sums.
    test.seen = evidence.tried
    if (answerCount(newAnswers) === 0) return
    HYPOTHESES.forEach((hypothesis, index) => {
      const weight = logLikelihoodRatio(hypothesis, evidence.serving, recent, newAnswers)
      test.suspicion[index] = Math.max(0, test.suspicion[index]! + weight)
      if (test.suspicion[index]! >= BAD_THRESHOLD) bad ??= { kind: 'bad', route: name, fault: hypothesis.fault }
    })
  }

  function isGood ({ routes: seen }: VersionEvidence): boolean {
    const answers = Object.values(seen).reduce((sum, { serving }) => sum + answerCount(serving), 0)
    const awaited = Object.entries(seen).filter(([, { serving }]) => answerCount(serving) >= answers * RARE_ROUTE_FRACTION)
    return awaited.length > 0 && awaited.every(([name, evidence]) => isCleared(evidence, routes.get(name)))
  }

  return {
    observe: (evidence) => {
      latest = evidence
      for (const [name, route] of Object.entries(evidence.routes)) observeRoute(name, route)
    },
    verdict: () => {
      if (bad !== undefined) return bad
      return latest !== undefined && isGood(latest) ? { kind: 'good' } : { kind: 'open' }
    }
  }
}

function createRouteTest (): RouteTest {
  return { before: [NO_ANSWERS], seen: NO_ANSWERS, suspicion: HYPOTHESES.map(() => 0) }
}

/** Whether the evidence as a whole rules out each fault on a route and no fault is suspected. */
function isCleared ({ serving, tried }: RouteEvidence, test: RouteTest | undefined): boolean {
  if (test === undefined || answerCount(serving) < MIN_COMPARED_ANSWERS) return false
  return HYPOTHESES.every((hypothesis) => logLikelihoodRatio(hypothesis, serving, serving, tried) <= -GOOD_THRESHOLD) && test.suspicion.every((suspicion) => suspicion < SUSPICION_THRESHOLD)
}

/** Returns the recent answers of the serving versions: at least {@link MIN_RECENT_ANSWERS}, where there are as many. */
function recentAnswersOf ({ before }: RouteTest, serving: SideEvidence): SideEvidence {
  const enough = before.findLastIndex((earlier) => answerCount(answersSince(serving, earlier)) >= MIN_RECENT_ANSWERS)
  if (enough > 0) before.splice(0, enough)
  before.push(serving)
  return answersSince(serving, before[0]!)
}

/** Log-likelihood ratio of new answers: the hypothesis against no difference from the serving versions. */
function logLikelihoodRatio ({ fault, part }: Hypothesis, serving: SideEvidence, recent: SideEvidence, newAnswers: SideEvidence): number {
  switch (fault) {
    case 'failing': return failureLogLikelihoodRatio(part, Math.max(failureFraction(serving), failureFraction(recent)), newAnswers)
    case 'slow': return timeLogLikelihoodRatio(part, serving, recent, newAnswers)
  }
}

function failureFraction (side: SideEvidence): number {
  return (side.failures + PRIOR_COUNT) / (answerCount(side) + 2 * PRIOR_COUNT)
}

function failureLogLikelihoodRatio (part: number, baseline: number, newAnswers: SideEvidence): number {
  const failed = Math.min(MAX_ANSWER_WEIGHT, Math.log((baseline + (1 - baseline) * part) / baseline))
  const answered = answerCount(newAnswers) - newAnswers.failures
  return newAnswers.failures * failed + answered * Math.log(1 - part)
}

function timeLogLikelihoodRatio (part: number, serving: SideEvidence, recent: SideEvidence, newAnswers: SideEvidence): number {
  const likelihood = smoothedLikelihood(serving)
  const recentLikelihood = smoothedLikelihood(recent)
  return countsByStep(newAnswers).reduce((sum, [step, count]) => {
    const slower = SLOWER_STEPS.reduce((total, steps) => total + likelihood(step - steps), 0) / SLOWER_STEPS.length
    const ratio = (1 - part) + part * slower / Math.max(likelihood(step), recentLikelihood(step))
    return sum + count * Math.min(MAX_ANSWER_WEIGHT, Math.log(ratio))
  }, 0)
}

/** Returns the likelihood of each step with the serving versions. */
function smoothedLikelihood (serving: SideEvidence): (step: number) => number {
  const counts = new Map(countsByStep(serving))
  const count = (step: number): number => counts.get(step) ?? 0
  const total = answerCount(serving) - serving.failures
  return (step) => {
    const smoothedCount = count(step) * (1 - 2 * NEIGHBOUR_FRACTION) + (count(step - 1) + count(step + 1)) * NEIGHBOUR_FRACTION
    return (smoothedCount + PRIOR_COUNT) / (total + PRIOR_COUNT * PRIOR_STEPS)
  }
}

/** Returns the answers added since earlier sums. Counts that decreased give 0. */
function answersSince (current: SideEvidence, before: SideEvidence): SideEvidence {
  const times = Object.entries(current.times).map(([step, count]) => [step, Math.max(0, count - (before.times[step] ?? 0))] as const)
  return { failures: Math.max(0, current.failures - before.failures), times: Object.fromEntries(times.filter(([, count]) => count > 0)) }
}
