/** Errors for callers whose request is not run by this node, and the verdict that follows from an outcome. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { EndedRequest, SubmissionDecision } from './home.js'
import type { Outcome } from './types.js'

/**
 * Error for a decision that neither runs the request nor attaches to it.
 *
 * @param decision any decision except `run`, `attach` and `ask-home`
 * @param retryAfter milliseconds after which the caller may send a new request, if the request was not run
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
 * Error for a request whose home is unreachable, together with all successors of the home that could be asked.
 *
 * @example
 * if (reply === undefined) throw homeUnreachableFailure(decision.incarnation)
 */
export function homeUnreachableFailure (incarnation: Incarnation): ServingError {
  return new ServingError(`the node ${incarnation} that took this request cannot be asked`, { code: 'outcome-unknown', verdict: 'may-have-run' })
}

/**
 * Verdict that follows from an outcome.
 *
 * @example
 * verdictForOutcome({ kind: 'refused', code: 'overloaded' }) // 'not-run'
 */
export function verdictForOutcome (outcome: Outcome): Verdict {
  switch (outcome.kind) {
    case 'served': return 'ran'
    case 'refused': return 'not-run'
    case 'lost': return outcome.verdict
    case 'unknown': return 'may-have-run'
  }
}

function endedFailure (ended: EndedRequest, retryAfter: Milliseconds): ServingError {
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
