/** One attempt of a request: acquires a permit and an upstream, dispatches, and reports how the attempt ended. */
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
import { isUnreachable } from './liveness.js'
import { refusedAsLeaving } from './notice-watcher.js'
import type { DispatchEnd, Permit } from './permits.js'
import { callPlain } from './plain-call.js'

/** How an attempt ended, or why nothing was dispatched. */
export type AttemptOutcome =
  | AttemptEnd
  | { kind: 'refused', failure: ServingError }
  /** Another request that is suspected of causing crashes runs at the chosen upstream. Other upstreams may be free. */
  | { kind: 'occupied' }

/** Options of an attempt. */
export interface AttemptOptions {
  readonly service: Service
  /** Number of the attempt, starting at 1. */
  readonly attempt: number
  /** Upstreams that must not be chosen. The upstream of a failed attempt is added. */
  readonly excluded: Set<UpstreamName>
  readonly traceparent: string
}

/**
 * Waits for a permit and an upstream, and runs the request at that upstream.
 *
 * @example
 * const end = await runAttempt(context, execution, { service, attempt: 1, excluded: new Set(), traceparent })
 */
export async function runAttempt (context: ExecutionContext, execution: Execution, options: AttemptOptions): Promise<AttemptOutcome> {
  if (!context.mayDispatch(execution.request.id)) return { kind: 'refused', failure: handedOverFailure() }
  let permit: Permit
  try {
    permit = await context.permits.acquire(execution.request, options.attempt, execution.runController.signal)
  } catch (error) {
    return { kind: 'refused', failure: toServingError(error, 'not-run') }
  }
  let dispatchEnd: DispatchEnd = 'withdrawn'
  const offsetBefore = execution.answer.offset()
  try {
    const placement = await context.dispatcher.place(pendingAttempt(execution, options, permit.apart), execution.runController.signal)
    const { upstream } = placement
    if (!await permit.enter(upstream.name)) {
      context.dispatcher.ended(execution.request.id, { kind: 'withdrawn' })
      options.excluded.add(upstream.name)
      return { kind: 'occupied' }
    }
    const end = await dispatch(context, execution, options, placement)
    dispatchEnd = dispatchEndOf(context, upstream, end)
    return end
  } catch (error) {
    return { kind: 'refused', failure: toServingError(error, 'not-run') }
  } finally {
    permit.end(dispatchEnd, execution.answer.offset() > offsetBefore)
  }
}

async function dispatch (context: ExecutionContext, execution: Execution, options: AttemptOptions, placement: Placement): Promise<AttemptEnd> {
  const { upstream } = placement
  acceptOnFirstDispatch(context, execution)
  context.bookkeeping.dispatched(execution, upstream.name, options.attempt, `priority ${placement.priority}`)
  const end = await runAttemptAt(context, execution, placement, options.service, options.traceparent)
  context.dispatcher.ended(execution.request.id, resultOf(end))
  if (end.kind !== 'whole') options.excluded.add(upstream.name)
  if (end.kind === 'failed') context.bookkeeping.attemptFailed(execution, upstream.name, end.failure)
  if (end.kind === 'failed' && refusedAsLeaving(end.failure)) context.directory.markLeaving(upstream.name, 'connection')
  return end
}

/**
 * Runs the request at a given upstream. If the attempt fails in a way that suggests a crash, checks whether the
 * upstream has died.
 *
 * @example
 * const end = await runAttemptAt(context, execution, placement, service, traceparent)
 */
export async function runAttemptAt (context: ExecutionContext, execution: Execution, placement: Placement, service: Service, traceparent: string): Promise<AttemptEnd> {
  const { upstream } = placement
  const leave = context.directory.enter(upstream.name)
  const dispatchedBefore = execution.dispatched
  execution.dispatched = true
  const span = context.tracing.start('attempt', traceparent, { 'hornbeamgap.upstream': upstream.name })
  try {
    const end = await callUpstream(context, execution, placement, service, span.traceparent)
    if (end.kind !== 'failed') return end
    span.fail(end.failure.message)
    if (end.failure.verdict === 'not-run') execution.dispatched = dispatchedBefore
    return { ...end, upstreamDied: end.upstreamDied || (mayHaveCrashed(end.failure) && await isUnreachable(context, upstream)) }
  } finally {
    leave()
    execution.attempt = undefined
    span.end()
  }
}

async function callUpstream (context: ExecutionContext, execution: Execution, placement: Placement, service: Service, traceparent: string): Promise<AttemptEnd> {
  const { work } = execution.request
  if (work.kind === 'model' && service.kind === 'model') return generate(context, execution, placement, work.body, service.model, traceparent)
  if (work.kind === 'plain' && service.kind === 'plain') return callPlain(context, execution, placement, work.call, traceparent)
  return { kind: 'failed', failure: serviceKindFailure(execution, service), upstreamDied: false }
}

/** Whether the failure may be due to a crash of the upstream. */
function mayHaveCrashed (failure: ServingError): boolean {
  return failure.verdict !== 'not-run' && (failure.code === 'connection-lost' || failure.code === 'timeout')
}

/** The death of an upstream that was known to be leaving does not count as a crash caused by the request. */
function dispatchEndOf (context: ExecutionContext, upstream: UpstreamView, end: AttemptEnd): DispatchEnd {
  switch (end.kind) {
    case 'whole': return 'answered'
    case 'recompute': return 'withdrawn'
    case 'failed': {
      const leaving = context.directory.find(upstream.name)?.leaving ?? true
      return end.upstreamDied && !leaving ? 'crashed' : 'withdrawn'
    }
  }
}

/** Accepts the request on its first dispatch. Later calls have no effect. */
function acceptOnFirstDispatch (context: ExecutionContext, execution: Execution): void {
  if (execution.accepted) return
  execution.accept()
  context.retryPolicy.recordFirstAttempt(execution.request.class)
  context.bookkeeping.accepted(execution)
  context.notes.open(execution)
}

function pendingAttempt (execution: Execution, options: AttemptOptions, apart: boolean): PendingAttempt {
  const { request, answer } = execution
  const body = request.work.kind === 'model' ? request.work.body : undefined
  return {
    id: request.id,
    organisation: request.organisation,
    class: request.class,
    attempt: options.attempt,
    arrivedAt: execution.arrivedAt,
    promptTokens: body === undefined ? 0 : promptTokens(body.messages),
    maxTokens: body?.max_tokens ?? 0,
    tokensSoFar: answer.offset(),
    prefixBlocks: body === undefined ? [] : prefixBlocks(body.messages, body.adapter),
    adapter: body?.adapter,
    excluded: [...options.excluded],
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

/** Failure of a request that may already run at another node. This node never dispatches the request again. */
function handedOverFailure (): ServingError {
  return new ServingError('the request was handed to a node that cannot be asked', { code: 'outcome-unknown', verdict: 'may-have-run' })
}

function serviceKindFailure (execution: Execution, service: Service): ServingError {
  return new ServingError(`class ${execution.request.class} is served by a ${service.kind} service`, { code: 'invalid-request', verdict: 'not-run' })
}
