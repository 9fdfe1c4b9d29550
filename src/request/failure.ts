/** Failures that callers are told of when their request is not run here, and what an outcome proves. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { Ended, SubmissionDecision } from './home.js'
import type { Outcome } from './types.js'

/**
 * Failure that tells a caller about a decision which neither runs nor attaches.
 *
 * @param decision not `run`, `attach` or `ask-home`
 * @example
 * throw submissionFailure(decision, retryAfter)
 */
export function submissionFailure (decision: Exclude<SubmissionDecision, { kind: 'run' | 'attach' | 'ask-home' }>, retryAfter: Milliseconds): ServingError {
  switch (decision.kind) {
    case 'conflict': return new ServingError('this request id was used with another body', { code: 'conflict', verdict: 'not-run' })
    case 'not-visible': return new ServingError('no such request', { code: 'not-found', verdict: 'not-run' })
    case 'forgotten': return new ServingError('nothing is known of this request id any more', { code: 'outcome-unknown', verdict: 'may-have-run' })
    case 'stopping': return new ServingError('this node is stopping', { code: 'stopping', verdict: 'not-run', retryAfter })
    case 'ended': return endedFailure(decision.ended, retryAfter)
  }
}

/**
 * Failure for an id whose home, and every heir of it that could be asked, is gone or cut off.
 *
 * @example
 * if (reply === undefined) throw homeGoneFailure(decision.incarnation)
 */
export function homeGoneFailure (incarnation: Incarnation): ServingError {
  return new ServingError(`the node ${incarnation} that took this request cannot be asked`, { code: 'outcome-unknown', verdict: 'may-have-run' })
}

/**
 * Verdict that an outcome proves.
 *
 * @example
 * verdictOf({ kind: 'refused', code: 'overloaded' }) // 'not-run'
 */
export function verdictOf (outcome: Outcome): Verdict {
  switch (outcome.kind) {
    case 'served': return 'ran'
    case 'refused': return 'not-run'
    case 'lost': return outcome.verdict
    case 'unknown': return 'may-have-run'
  }
}

function endedFailure (ended: Ended, retryAfter: Milliseconds): ServingError {
  const message = describeOutcome(ended.outcome)
  const code = ended.outcome.kind === 'refused' ? 'overloaded' : 'outcome-unknown'
  return new ServingError(message, { code, verdict: ended.verdict, ...(ended.verdict === 'not-run' ? { retryAfter } : {}) })
}

function describeOutcome (outcome: Outcome): string {
  switch (outcome.kind) {
    case 'served': return 'the request was answered; its answer is no longer kept'
    case 'refused': return `the request was refused: ${outcome.code}`
    case 'lost': return 'the request was lost'
    case 'unknown': return 'the outcome of the request is unknown'
  }
}
