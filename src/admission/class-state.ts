/** What one node learns about a class of work: how long its answers are and how often it is refused. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { RequestClass, Target } from '../configuration/index.js'
import { createQuantileEstimate } from '../upstream/index.js'
import type { AttemptDemand, ExpectedAnswer } from '../upstream/index.js'
import type { PendingAttempt } from './types.js'

/** One class as the scheduler sees it. */
export interface ClassState {
  readonly requestClass: RequestClass
  /** What an attempt is expected to ask of an upstream. */
  demandOf (attempt: PendingAttempt): AttemptDemand
  /** Longest time that an attempt may wait for its dispatch and still be likely to meet the target. */
  patience (expected: ExpectedAnswer): Milliseconds
  /** Whether an answer that ends now meets the targets of its first token and its whole. */
  inTime (attempt: PendingAttempt, firstTokenAt: Milliseconds | undefined, now: Milliseconds): boolean
  answered (maxTokens: number, generatedTokens: number): void
  dispatched (): void
  refused (): void
  /** Whether the class has been refused more often than its reliability allows. */
  exhausted (): boolean
}

/** A class whose attempts can wait no longer than this needs free places. */
const URGENT_PATIENCE: Milliseconds = 2 * SECOND

/**
 * Failure guarded against: a wrong estimate, say after a cold start, that no target can be met would
 * refuse a class for good and nothing new would ever be learnt. A part of the target is always left
 * for waiting.
 */
const LEAST_PATIENCE_SHARE = 0.1

/** Attempts over which refusals are counted. */
const MEMORY = 400

const TYPICAL_SHARE_STEP = 0.05

/** Share of the largest answer that is generated, before any was seen. */
const PRIOR_LENGTH = 0.8

/**
 * @example
 * const state = createClassState(requestClass)
 * const patience = state.patience(fleet.expect(state.demandOf(attempt)))
 */
export function createClassState (requestClass: RequestClass): ClassState {
  const { target } = requestClass
  const longLength = createQuantileEstimate(0.9, PRIOR_LENGTH)
  let meanLength = PRIOR_LENGTH
  let decided = 0
  let refusals = 0
  let urgent = wait(target, { firstToken: 0, whole: 0 }) < URGENT_PATIENCE

  function decide (refused: number): void {
    const keep = 1 - 1 / MEMORY
    decided = decided * keep + 1
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
    patience: (expected) => {
      const tail = { firstToken: expected.firstToken, whole: expected.whole * longLength.value() / Math.max(meanLength, 0.01) }
      const longest = wait(target, tail)
      urgent = longest < URGENT_PATIENCE
      return longest
    },
    inTime: (attempt, firstTokenAt, now) => {
      const firstToken = attempt.tokensSoFar > 0 ? 0 : (firstTokenAt ?? now) - attempt.arrivedAt
      return firstToken <= (target.first_token_ms ?? Infinity) && now - attempt.arrivedAt <= target.whole_answer_ms
    },
    answered: (maxTokens, generatedTokens) => {
      const length = Math.min(1, generatedTokens / Math.max(1, maxTokens))
      meanLength += TYPICAL_SHARE_STEP * (length - meanLength)
      longLength.observe(length)
    },
    dispatched: () => decide(0),
    refused: () => decide(1),
    exhausted: () => refusals + 1 > (decided + 1) * (1 - target.reliability)
  }
}

function wait (target: Target, expected: ExpectedAnswer): Milliseconds {
  const untilWhole = left(target.whole_answer_ms, expected.whole)
  if (target.first_token_ms === undefined) return untilWhole
  return Math.min(untilWhole, left(target.first_token_ms, expected.firstToken))
}

function left (target: Milliseconds, expected: Milliseconds): Milliseconds {
  return Math.max(target - expected, target * LEAST_PATIENCE_SHARE)
}
