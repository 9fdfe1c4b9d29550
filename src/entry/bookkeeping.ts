/** Records every event of a request in the usage ledger, the metrics and the fact store. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Configuration, Target } from '../configuration/index.js'
import { findClass } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import type { Fact, FactStore, Ledger } from '../report/index.js'
import type { AnswerEnd, Outcome, Request, RequestTimes } from '../request/index.js'
import type { ServingError } from '../verdict.js'
import type { Execution } from './execution.js'
import type { EntryMetrics } from '../metrics.js'

/** Records the events of executions. */
export interface Bookkeeping {
  /** Records that the request was accepted. Must be called once per execution. */
  accepted (execution: Execution): void
  /** Records a refusal of a request that was never accepted. */
  refused (execution: Execution, failure: ServingError): void
  dispatched (execution: Execution, upstream: UpstreamName, attempt: number, reason: string): void
  firstToken (execution: Execution, upstream: UpstreamName): void
  attemptFailed (execution: Execution, upstream: UpstreamName, failure: ServingError): void
  cacheMoved (execution: Execution, from: UpstreamName, to: UpstreamName): void
  attached (execution: Execution, offset: number): void
  handedOver (execution: Execution, to: string): void
  takenOver (execution: Execution, from: string): void
  /** Records the end of an accepted request. The end of a moved request is recorded by the node that continues it. */
  ended (execution: Execution, end: Exclude<AnswerEnd, { kind: 'moved' }>): void
}

/**
 * Creates the bookkeeping of a node.
 *
 * @example
 * const bookkeeping = createBookkeeping({ ledger, facts, metrics, clock, configuration })
 */
export function createBookkeeping (options: { ledger: Ledger, facts: FactStore, metrics: EntryMetrics, clock: Clock, configuration: () => Configuration | undefined }): Bookkeeping {
  const { ledger, facts, metrics, clock } = options

  function record (request: Request, fact: Fact): void {
    facts.record(request, clock.wall(), fact)
  }

  function outcomeOf (execution: Execution, end: Exclude<AnswerEnd, { kind: 'moved' }>): Outcome {
    switch (end.kind) {
      case 'finished': return { kind: 'served', finish: end.finish, late: isAnswerLate(execution) }
      case 'plain': return { kind: 'served', finish: 'stop', late: isAnswerLate(execution) }
      case 'failed': return failedOutcome(execution.request, end.failure)
    }
  }

  function isAnswerLate (execution: Execution): boolean {
    const current = options.configuration()
    const target = current && findClass(current, execution.request.class)?.target
    return target !== undefined && isLate(target, timesOf(execution), execution.answer.offset())
  }

  return {
    accepted: (execution) => {
      ledger.accepted(execution.request)
      metrics.accepted(execution.request)
      record(execution.request, { kind: 'accepted' })
    },
    refused: (execution, failure) => {
      const { request } = execution
      execution.outcome = { kind: 'refused', code: failure.code }
      ledger.refused(request.organisation, request.class, failure.code)
      metrics.refused(request, failure.code)
      record(request, { kind: 'refused', code: failure.code, retryAfter: failure.retryAfter ?? 0 })
    },
    dispatched: (execution, upstream, attempt, reason) => record(execution.request, { kind: 'dispatched', upstream, attempt, reason }),
    firstToken: (execution, upstream) => {
      metrics.firstToken(execution.request, clock.now() - execution.arrivedAt)
      record(execution.request, { kind: 'first-token', upstream })
    },
    attemptFailed: (execution, upstream, failure) => {
      metrics.attemptFailed(execution.request, failure.verdict)
      record(execution.request, { kind: 'attempt-failed', upstream, verdict: failure.verdict, message: failure.message })
    },
    cacheMoved: (execution, from, to) => record(execution.request, { kind: 'moved-cache', from, to, tokens: execution.answer.offset() }),
    attached: (execution, offset) => record(execution.request, { kind: 'attached', offset }),
    handedOver: (execution, to) => {
      if (!execution.countedElsewhere) ledger.handedOver(execution.request)
      record(execution.request, { kind: 'handed-over', to })
    },
    takenOver: (execution, from) => {
      if (!execution.countedElsewhere) ledger.takenOver(execution.request, execution.arrivedAtWall)
      record(execution.request, { kind: 'taken-over', from })
    },
    ended: (execution, end) => {
      const outcome = outcomeOf(execution, end)
      execution.outcome = outcome
      const work = { generatedTokens: execution.answer.offset(), recomputedTokens: execution.recomputedTokens }
      if (!execution.countedElsewhere) ledger.ended(execution.request, outcome, timesOf(execution), work)
      metrics.ended(execution.request, outcome, (execution.endedAt ?? clock.now()) - execution.arrivedAt, work)
      record(execution.request, { kind: 'ended', outcome })
    }
  }
}

/**
 * Whether an answer missed a latency target of its class.
 *
 * @param tokens number of tokens of the answer; 0 for plain services
 * @example
 * isLate(target, { acceptedAt: 0, firstTokenAt: 300, endedAt: 9_000 }, 120) // true for whole_answer_ms = 8_000
 */
export function isLate (target: Target, times: RequestTimes, tokens: number): boolean {
  const endedAt = times.endedAt ?? times.acceptedAt
  if (endedAt - times.acceptedAt > target.whole_answer_ms) return true
  if (times.firstTokenAt === undefined) return false
  if (exceeds(times.firstTokenAt - times.acceptedAt, target.first_token_ms)) return true
  return tokens > 1 && exceeds((endedAt - times.firstTokenAt) / (tokens - 1), target.between_tokens_ms)
}

function exceeds (duration: Milliseconds, limit: Milliseconds | undefined): boolean {
  return limit !== undefined && duration > limit
}

/** Times of a request for reports. The arrival counts as the time of acceptance. */
function timesOf (execution: Execution): RequestTimes {
  return {
    acceptedAt: execution.arrivedAt,
    ...(execution.firstTokenAt === undefined ? {} : { firstTokenAt: execution.firstTokenAt }),
    ...(execution.endedAt === undefined ? {} : { endedAt: execution.endedAt })
  }
}

function failedOutcome (request: Request, failure: ServingError): Outcome {
  if (failure.verdict === 'may-have-run' && !request.idempotent) return { kind: 'unknown' }
  return { kind: 'lost', verdict: failure.verdict }
}
