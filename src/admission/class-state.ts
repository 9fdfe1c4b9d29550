/** Statistics of a request class at one node: lengths of its answers and rate of its refusals. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { RequestClass, Target } from '../configuration/index.js'
import { createQuantileEstimate } from '../upstream/index.js'
import type { AttemptDemand, ExpectedAnswer } from '../upstream/index.js'
import type { PendingAttempt } from './types.js'

/** State of one request class. */
export interface ClassState {
  readonly requestClass: RequestClass
  /** Resources that an attempt is expected to need of an upstream. */
  demandOf (attempt: PendingAttempt): AttemptDemand
  /** Maximum time that an attempt may wait for its dispatch and still be likely to meet the target. */
  maxWait (expected: ExpectedAnswer): Milliseconds
  /** Whether an answer that ends now meets the targets for the first token and for the whole answer. */
  inTime (attempt: PendingAttempt, firstTokenAt: Milliseconds | undefined, now: Milliseconds): boolean
  /** Records the length of a complete answer. */
  answered (maxTokens: number, generatedTokens: number): void
  /** Records a dispatch. */
  dispatched (): void
  /** Records a refusal. */
  refused (): void
  /** Whether one more refusal would exceed the share that the reliability target of the class allows. */
  isRefusalBudgetExhausted (): boolean
}

/** Attempts of a class are urgent if they can wait less than this. Slots are reserved for them. */
const URGENT_MAX_WAIT: Milliseconds = 2 * SECOND

/**
 * Minimum share of the target that remains for waiting.
 *
 * Failure guarded against: after a cold start, for example, the estimate may say that no attempt can meet the target.
 * All attempts of the class would then be refused, and the estimate would never be corrected.
 */
const MIN_WAIT_SHARE = 0.1

/** Number of attempts over which the share of refusals is measured. */
const REFUSAL_WINDOW = 400

/** Weight of one answer in the mean length. */
const MEAN_LENGTH_STEP = 0.05

/** Assumed length of an answer as a share of its maximum, before any was observed. */
const INITIAL_LENGTH = 0.8

/**
 * Creates the state of a class without observations.
 *
 * @example
 * const state = createClassState(requestClass)
 * const maxWait = state.maxWait(fleet.expect(state.demandOf(attempt)))
 */
export function createClassState (requestClass: RequestClass): ClassState {
  const { target } = requestClass
  const lengthQuantile = createQuantileEstimate(0.9, INITIAL_LENGTH)
  let meanLength = INITIAL_LENGTH
  let decisions = 0
  let refusals = 0
  let urgent = waitBudget(target, { firstToken: 0, whole: 0 }) < URGENT_MAX_WAIT

  function recordDecision (refused: number): void {
    const keep = 1 - 1 / REFUSAL_WINDOW
    decisions = decisions * keep + 1
    refusals = refusals * keep + refused
  }

  return {
    requestClass,
    demandOf: (attempt) => ({
      promptTokens: attempt.promptTokens + attempt.tokensSoFar,
      generatedTokens: Math.max(1, Math.min(attempt.maxTokens, attempt.maxTokens * meanLength) - attempt.tokensSoFar),
      blocks: attempt.prefixBlocks,
      adapter: attempt.adapter,
      excluded: attempt.excluded,
      apart: attempt.apart,
      urgent: urgent || attempt.accepted,
      wholeAnswerTarget: target.whole_answer_ms,
      probe: requestClass.idempotent && !attempt.accepted && !attempt.apart,
      accepted: attempt.accepted
    }),
    maxWait: (expected) => {
      const tail = { firstToken: expected.firstToken, whole: expected.whole * lengthQuantile.value() / Math.max(meanLength, 0.01) }
      const wait = waitBudget(target, tail)
      urgent = wait < URGENT_MAX_WAIT
      return wait
    },
    inTime: (attempt, firstTokenAt, now) => {
      const firstToken = attempt.tokensSoFar > 0 ? 0 : (firstTokenAt ?? now) - attempt.arrivedAt
      return firstToken <= (target.first_token_ms ?? Infinity) && now - attempt.arrivedAt <= target.whole_answer_ms
    },
    answered: (maxTokens, generatedTokens) => {
      const length = Math.min(1, generatedTokens / Math.max(1, maxTokens))
      meanLength += MEAN_LENGTH_STEP * (length - meanLength)
      lengthQuantile.observe(length)
    },
    dispatched: () => recordDecision(0),
    refused: () => recordDecision(1),
    isRefusalBudgetExhausted: () => refusals + 1 > (decisions + 1) * (1 - target.reliability)
  }
}

/** Time that remains for waiting under both targets. */
function waitBudget (target: Target, expected: ExpectedAnswer): Milliseconds {
  const wholeBudget = remainingTime(target.whole_answer_ms, expected.whole)
  if (target.first_token_ms === undefined) return wholeBudget
  return Math.min(wholeBudget, remainingTime(target.first_token_ms, expected.firstToken))
}

/** Time left until the target after an answer of the expected duration. */
function remainingTime (target: Milliseconds, expected: Milliseconds): Milliseconds {
  return Math.max(target - expected, target * MIN_WAIT_SHARE)
}
