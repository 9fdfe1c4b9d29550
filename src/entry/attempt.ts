/** One attempt: permit, placement, dispatch, and what is told about its end. */
import type { AttemptResult, PendingAttempt } from '../admission/index.js'
import type { Service } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import { prefixBlocks, promptTokens } from '../protocols/prompt.js'
import type { UpstreamView } from '../upstream/index.js'
import { ServingError, toServingError } from '../verdict.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Placement } from './dispatcher.js'
import type { Execution } from './execution.js'
import { generate } from './generation.js'
import { isDead } from './liveness.js'
import { refusedAsLeaving } from './notice-watcher.js'
import type { DispatchEnd, Permit } from './permits.js'
import { callPlain } from './plain-call.js'

/** How it went, or why nothing was dispatched. */
export type Attempted =
  | AttemptEnd
  | { kind: 'refused', failure: ServingError }
  /** Another suspect runs at the upstream; a further one may be free. */
  | { kind: 'occupied' }

/** One try of a request at an upstream. */
export interface AttemptOrder {
  readonly service: Service
  /** 1 for the first. */
  readonly attempt: number
  /** Upstreams that must not be chosen. The one that failed is added. */
  readonly excluded: Set<UpstreamName>
  readonly traceparent: string
}

/**
 * Waits for a permit and an upstream, and runs the request there.
 *
 * @example
 * const end = await attemptOnce(context, execution, { service, attempt: 1, excluded: new Set(), traceparent })
 */
export async function attemptOnce (context: ExecutionContext, execution: Execution, order: AttemptOrder): Promise<Attempted> {
  if (!context.mayDispatch(execution.request.id)) return { kind: 'refused', failure: handedAwayFailure() }
  let permit: Permit
  try {
    permit = await context.permits.acquire(execution.request, order.attempt, execution.owner.signal)
  } catch (error) {
    return { kind: 'refused', failure: toServingError(error, 'not-run') }
  }
  let how: DispatchEnd = 'withdrawn'
  const before = execution.answer.offset()
  try {
    const placement = await context.dispatcher.place(pendingAttempt(execution, order, permit.apart), execution.owner.signal)
    const { upstream } = placement
    if (!await permit.enter(upstream.name)) {
      context.dispatcher.ended(execution.request.id, { kind: 'withdrawn' })
      order.excluded.add(upstream.name)
      return { kind: 'occupied' }
    }
    const end = await dispatch(context, execution, order, placement)
    how = dispatchEnd(context, upstream, end)
    return end
  } catch (error) {
    return { kind: 'refused', failure: toServingError(error, 'not-run') }
  } finally {
    permit.end(how, execution.answer.offset() > before)
  }
}

async function dispatch (context: ExecutionContext, execution: Execution, order: AttemptOrder, placement: Placement): Promise<AttemptEnd> {
  const { upstream } = placement
  accept(context, execution)
  context.bookkeeping.dispatched(execution, upstream.name, order.attempt, `priority ${placement.priority}`)
  const end = await attemptAt(context, execution, placement, order.service, order.traceparent)
  context.dispatcher.ended(execution.request.id, resultOf(end))
  if (end.kind !== 'whole') order.excluded.add(upstream.name)
  if (end.kind === 'failed') context.bookkeeping.attemptFailed(execution, upstream.name, end.failure)
  if (end.kind === 'failed' && refusedAsLeaving(end.failure)) context.directory.markLeaving(upstream.name, 'connection')
  return end
}

/**
 * Runs the request at a given upstream.
 *
 * @example
 * const end = await attemptAt(context, execution, placement, service, traceparent)
 */
export async function attemptAt (context: ExecutionContext, execution: Execution, placement: Placement, service: Service, traceparent: string): Promise<AttemptEnd> {
  const { upstream } = placement
  const leave = context.directory.enter(upstream.name)
  const dispatchedBefore = execution.dispatched
  execution.dispatched = true
  const span = context.tracing.start('attempt', traceparent, { 'hornbeamgap.upstream': upstream.name })
  try {
    const end = await run(context, execution, placement, service, span.traceparent)
    if (end.kind !== 'failed') return end
    span.fail(end.failure.message)
    if (end.failure.verdict === 'not-run') execution.dispatched = dispatchedBefore
    return { ...end, upstreamDied: end.upstreamDied || (mayHaveCrashed(end.failure) && await isDead(context, upstream)) }
  } finally {
    leave()
    execution.attempt = undefined
    span.end()
  }
}

async function run (context: ExecutionContext, execution: Execution, placement: Placement, service: Service, traceparent: string): Promise<AttemptEnd> {
  const { work } = execution.request
  if (work.kind === 'model' && service.kind === 'model') return generate(context, execution, placement, work.body, service.model, traceparent)
  if (work.kind === 'plain' && service.kind === 'plain') return callPlain(context, execution, placement, work.call, traceparent)
  return { kind: 'failed', failure: wrongKind(execution, service), upstreamDied: false }
}

function mayHaveCrashed (failure: ServingError): boolean {
  return failure.verdict !== 'not-run' && (failure.code === 'connection-lost' || failure.code === 'timeout')
}

/** The end of an upstream that was leaving as announced is nobody's fault. */
function dispatchEnd (context: ExecutionContext, upstream: UpstreamView, end: AttemptEnd): DispatchEnd {
  switch (end.kind) {
    case 'whole': return 'answered'
    case 'recompute': return 'withdrawn'
    case 'failed': {
      const leaving = context.directory.find(upstream.name)?.leaving ?? true
      return end.upstreamDied && !leaving ? 'crashed' : 'withdrawn'
    }
  }
}

function accept (context: ExecutionContext, execution: Execution): void {
  if (execution.accepted) return
  execution.accept()
  context.retries.recordFirstAttempt(execution.request.class)
  context.bookkeeping.accepted(execution)
  context.notes.open(execution)
}

function pendingAttempt (execution: Execution, order: AttemptOrder, apart: boolean): PendingAttempt {
  const { request, answer } = execution
  const body = request.work.kind === 'model' ? request.work.body : undefined
  return {
    id: request.id,
    organisation: request.organisation,
    class: request.class,
    attempt: order.attempt,
    arrivedAt: execution.arrivedAt,
    promptTokens: body === undefined ? 0 : promptTokens(body.messages),
    maxTokens: body?.max_tokens ?? 0,
    tokensSoFar: answer.offset(),
    prefixBlocks: body === undefined ? [] : prefixBlocks(body.messages, body.adapter),
    adapter: body?.adapter,
    excluded: [...order.excluded],
    apart,
    accepted: execution.accepted
  }
}

function resultOf (end: AttemptEnd): AttemptResult {
  switch (end.kind) {
    case 'whole': return end.result
    case 'failed': return { kind: 'failed', verdict: end.failure.verdict, upstreamDied: end.upstreamDied }
    case 'recompute': return { kind: 'withdrawn' }
  }
}

/** Another node may be running it: this one never dispatches it again. */
function handedAwayFailure (): ServingError {
  return new ServingError('the request was handed to a node that cannot be asked', { code: 'outcome-unknown', verdict: 'may-have-run' })
}

function wrongKind (execution: Execution, service: Service): ServingError {
  return new ServingError(`class ${execution.request.class} is served by a ${service.kind} service`, { code: 'invalid-request', verdict: 'not-run' })
}
