/** Runs a request: attempt after attempt, as far as the verdicts allow, until its answer ends. */
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { findClass, findService } from '../configuration/index.js'
import type { Service } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import type { AnswerEnd, RetryDecision } from '../request/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { isRetrySafe, ServingError, toServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { attemptAt, attemptOnce } from './attempt.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Execution } from './execution.js'

/**
 * Runs an execution to the end of its answer, and books what happens.
 *
 * @returns the final mark, already set on the answer; undefined when the run was stopped for a hand-over
 *   and the answer stays open
 * @example
 * const end = await runAttempts(context, execution)
 */
export async function runAttempts (context: ExecutionContext, execution: Execution): Promise<AnswerEnd | undefined> {
  const span = context.tracing.start('request', execution.traceparent, { 'hornbeamgap.request': execution.request.id, 'hornbeamgap.class': execution.request.class })
  try {
    return finish(context, execution, await attemptUntilEnd(context, execution, span.traceparent))
  } catch (error) {
    return finish(context, execution, { kind: 'failed', failure: toServingError(error, 'may-have-run') })
  } finally {
    span.end()
  }
}

async function attemptUntilEnd (context: ExecutionContext, execution: Execution, traceparent: string): Promise<AnswerEnd> {
  const service = serviceOf(context, execution)
  const excluded = new Set<UpstreamName>()
  let verdict: Verdict = provenSoFar(execution)
  let failures = 0
  let decision: RetryDecision
  const attached = await attachFirst(context, execution, service, traceparent)
  if (attached?.kind === 'whole') return attached.end
  for (let attempt = 1; ; attempt += 1) {
    forgetWhenAllExcluded(context, service, excluded)
    const end = await attemptOnce(context, execution, { service, attempt, excluded, traceparent })
    switch (end.kind) {
      case 'whole': return end.end
      case 'recompute':
        if (execution.owner.signal.aborted) return { kind: 'failed', failure: withVerdict(stoppedFailure(), verdict) }
        break
      case 'occupied': break
      case 'refused': return { kind: 'failed', failure: withVerdict(end.failure, stronger(verdict, end.failure.verdict)) }
      case 'failed':
        failures += 1
        verdict = stronger(verdict, end.failure.verdict)
        decision = decideRetry(context, execution, end, failures)
        if (decision.kind === 'give-up') return { kind: 'failed', failure: withVerdict(end.failure, verdict, decision.retryAfter) }
        await context.clock.sleep(decision.delay, execution.owner.signal).catch(() => {})
    }
  }
}

/**
 * A request that was taken over goes on at the stream it has. When that is gone, it is run again from
 * its tokens so far, if it may be.
 */
async function attachFirst (context: ExecutionContext, execution: Execution, service: Service, traceparent: string): Promise<AttemptEnd | undefined> {
  const upstream = execution.position && context.directory.find(execution.position.upstream)
  if (execution.position === undefined) return undefined
  const end: AttemptEnd = upstream === undefined
    ? { kind: 'failed', failure: new ServingError(`${execution.position.upstream} is gone`, { code: 'upstream-failed', verdict: 'may-have-run' }), upstreamDied: true }
    : await attemptAt(context, execution, { upstream, priority: 0, handle: execution.position.handle }, service, traceparent)
  if (end.kind === 'failed') {
    context.bookkeeping.attemptFailed(execution, execution.position.upstream, end.failure)
    if (execution.attachOnly || !isRetrySafe(end.failure.verdict, execution.request.idempotent)) throw end.failure
  }
  return end
}

function finish (context: ExecutionContext, execution: Execution, end: AnswerEnd): AnswerEnd | undefined {
  if (execution.owner.signal.reason === 'handed-over' && end.kind === 'failed') return undefined
  execution.endedAt = context.clock.now()
  execution.answer.close(end)
  const first = execution.answer.end() ?? end
  if (first.kind === 'moved') return first
  context.notes.closed(execution)
  if (execution.accepted) {
    context.bookkeeping.ended(execution, first)
  } else if (first.kind === 'failed') {
    context.bookkeeping.refused(execution, first.failure)
  }
  return first
}

function serviceOf (context: ExecutionContext, execution: Execution): Service {
  const configuration = context.configuration()
  const mayBegin = execution.accepted || context.usable()
  if (configuration === undefined || !mayBegin) throw new ServingError('no configuration is known for certain', { code: 'no-configuration', verdict: 'not-run', retryAfter: SECOND })
  const requestClass = findClass(configuration, execution.request.class)
  const service = requestClass && findService(configuration, requestClass.service)
  if (service === undefined) throw new ServingError(`unknown class ${execution.request.class}`, { code: 'invalid-request', verdict: 'not-run' })
  return service
}

/**
 * Failure guarded against: a lost path to every upstream of a service leaves a request with nowhere to
 * go, although the upstreams live. When all are excluded, none is.
 */
function forgetWhenAllExcluded (context: ExecutionContext, service: Service, excluded: Set<UpstreamName>): void {
  const live = context.directory.views().filter((view: UpstreamView) => view.service === service.name && !view.leaving)
  if (live.every((view) => excluded.has(view.name))) excluded.clear()
}

function decideRetry (context: ExecutionContext, execution: Execution, end: Extract<AttemptEnd, { kind: 'failed' }>, failures: number): RetryDecision {
  const { request, owner } = execution
  const { failure } = end
  const code = owner.signal.aborted ? 'cancelled' : failure.code
  return context.retries.afterFailure({
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

/** What an attempt at the node before proves. */
function provenSoFar (execution: Execution): Verdict {
  if (execution.answer.offset() > 0) return 'ran'
  return execution.position === undefined ? 'not-run' : 'may-have-run'
}

const STRENGTH: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/** What several attempts prove together: one that may have run cannot be undone by a later refusal. */
function stronger (left: Verdict, right: Verdict): Verdict {
  return STRENGTH[left] >= STRENGTH[right] ? left : right
}

function withVerdict (failure: ServingError, verdict: Verdict, after?: Milliseconds): ServingError {
  const retryAfter = failure.retryAfter ?? after
  if (failure.verdict === verdict && failure.retryAfter === retryAfter) return failure
  return new ServingError(failure.message, { code: failure.code, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}
