/** Runs a request to the end of its answer. Failed attempts are retried as far as their verdicts allow. */
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { findClass, findService } from '../configuration/index.js'
import type { Service } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import type { AnswerEnd, RetryDecision } from '../request/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { isRetrySafe, ServingError, toServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { runAttemptAt, runAttempt } from './attempt.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Execution } from './execution.js'

/**
 * Runs an execution to the end of its answer and records the outcome. Does not throw: every error ends the answer as
 * failed.
 *
 * @returns the final event, which is already set on the answer. Undefined if the run was stopped for a hand-over; the
 *   answer then stays open.
 * @example
 * const end = await runAttempts(context, execution)
 */
export async function runAttempts (context: ExecutionContext, execution: Execution): Promise<AnswerEnd | undefined> {
  const span = context.tracing.start('request', execution.traceparent, { 'hornbeamgap.request': execution.request.id, 'hornbeamgap.class': execution.request.class })
  try {
    return finish(context, execution, await runUntilEnd(context, execution, span.traceparent))
  } catch (error) {
    return finish(context, execution, { kind: 'failed', failure: toServingError(error, 'may-have-run') })
  } finally {
    span.end()
  }
}

async function runUntilEnd (context: ExecutionContext, execution: Execution, traceparent: string): Promise<AnswerEnd> {
  const service = serviceOf(context, execution)
  const excluded = new Set<UpstreamName>()
  let verdict: Verdict = initialVerdict(execution)
  let failures = 0
  let decision: RetryDecision
  const attached = await attachToExistingStream(context, execution, service, traceparent)
  if (attached?.kind === 'whole') return attached.end
  for (let attempt = 1; ; attempt += 1) {
    clearExclusionsIfAllExcluded(context, service, excluded)
    const end = await runAttempt(context, execution, { service, attempt, excluded, traceparent })
    switch (end.kind) {
      case 'whole': return end.end
      case 'recompute':
        if (execution.runController.signal.aborted) return { kind: 'failed', failure: withVerdict(stoppedFailure(), verdict) }
        break
      case 'occupied': break
      case 'refused': return { kind: 'failed', failure: withVerdict(end.failure, strongerVerdict(verdict, end.failure.verdict)) }
      case 'failed':
        failures += 1
        verdict = strongerVerdict(verdict, end.failure.verdict)
        decision = decideRetry(context, execution, end, failures)
        if (decision.kind === 'give-up') return { kind: 'failed', failure: withVerdict(end.failure, verdict, decision.retryAfter) }
        await context.clock.sleep(decision.delay, execution.runController.signal).catch(() => {})
    }
  }
}

/**
 * Continues a request that was taken over at its existing stream. If the stream is lost, the request runs again from
 * its tokens so far, provided that a retry is safe and the prompt is known.
 *
 * @returns undefined if the request has no stream yet
 * @throws ServingError if the stream is lost and the request must not run again
 */
async function attachToExistingStream (context: ExecutionContext, execution: Execution, service: Service, traceparent: string): Promise<AttemptEnd | undefined> {
  const upstream = execution.position && context.directory.find(execution.position.upstream)
  if (execution.position === undefined) return undefined
  const end: AttemptEnd = upstream === undefined
    ? { kind: 'failed', failure: new ServingError(`${execution.position.upstream} is gone`, { code: 'upstream-failed', verdict: 'may-have-run' }), upstreamDied: true }
    : await runAttemptAt(context, execution, { upstream, priority: 0, handle: execution.position.handle }, service, traceparent)
  if (end.kind === 'failed') {
    context.bookkeeping.attemptFailed(execution, execution.position.upstream, end.failure)
    if (execution.attachOnly || !isRetrySafe(end.failure.verdict, execution.request.idempotent)) throw end.failure
  }
  return end
}

/**
 * Ends the answer and records its end.
 *
 * @returns undefined if the run was stopped for a hand-over
 */
function finish (context: ExecutionContext, execution: Execution, end: AnswerEnd): AnswerEnd | undefined {
  if (execution.runController.signal.reason === 'handed-over' && end.kind === 'failed') return undefined
  execution.endedAt = context.clock.now()
  execution.answer.close(end)
  const recordedEnd = execution.answer.end() ?? end
  if (recordedEnd.kind === 'moved') return recordedEnd
  context.notes.closed(execution)
  if (execution.accepted) {
    context.bookkeeping.ended(execution, recordedEnd)
  } else if (recordedEnd.kind === 'failed') {
    context.bookkeeping.refused(execution, recordedEnd.failure)
  }
  return recordedEnd
}

function serviceOf (context: ExecutionContext, execution: Execution): Service {
  const configuration = context.configuration()
  const mayStart = execution.accepted || context.usable()
  if (configuration === undefined || !mayStart) throw new ServingError('no configuration is known for certain', { code: 'no-configuration', verdict: 'not-run', retryAfter: SECOND })
  const requestClass = findClass(configuration, execution.request.class)
  const service = requestClass && findService(configuration, requestClass.service)
  if (service === undefined) throw new ServingError(`unknown class ${execution.request.class}`, { code: 'invalid-request', verdict: 'not-run' })
  return service
}

/**
 * Clears the exclusions if they cover all live upstreams of the service.
 *
 * Failure guarded against: this node loses its network path to all upstreams of a service. All of them would then stay
 * excluded, and the request could not be dispatched although the upstreams are alive.
 */
function clearExclusionsIfAllExcluded (context: ExecutionContext, service: Service, excluded: Set<UpstreamName>): void {
  const live = context.directory.views().filter((view: UpstreamView) => view.service === service.name && !view.leaving)
  if (live.every((view) => excluded.has(view.name))) excluded.clear()
}

function decideRetry (context: ExecutionContext, execution: Execution, end: Extract<AttemptEnd, { kind: 'failed' }>, failures: number): RetryDecision {
  const { request, runController } = execution
  const { failure } = end
  const code = runController.signal.aborted ? 'cancelled' : failure.code
  return context.retryPolicy.afterFailure({
    class: request.class,
    idempotent: request.idempotent,
    attempt: failures,
    verdict: failure.verdict,
    code,
    cause: end.upstreamDied ? 'upstream-died' : 'failure',
    ...(failure.retryAfter === undefined ? {} : { retryAfter: failure.retryAfter })
  }, context.random)
}

function stoppedFailure (): ServingError {
  return new ServingError('the request was stopped', { code: 'cancelled', verdict: 'may-have-run' })
}

/** Verdict that follows from the attempts at the node from which the request was taken over. */
function initialVerdict (execution: Execution): Verdict {
  if (execution.answer.offset() > 0) return 'ran'
  return execution.position === undefined ? 'not-run' : 'may-have-run'
}

const VERDICT_STRENGTH: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/** Combined verdict of several attempts. A later refusal does not undo an attempt that ran or may have run. */
function strongerVerdict (left: Verdict, right: Verdict): Verdict {
  return VERDICT_STRENGTH[left] >= VERDICT_STRENGTH[right] ? left : right
}

function withVerdict (failure: ServingError, verdict: Verdict, defaultRetryAfter?: Milliseconds): ServingError {
  const retryAfter = failure.retryAfter ?? defaultRetryAfter
  if (failure.verdict === verdict && failure.retryAfter === retryAfter) return failure
  return new ServingError(failure.message, { code: failure.code, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}
