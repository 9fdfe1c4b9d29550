/** One attempt of a model request: copies the tokens of an engine's stream into the answer. */
import type { UpstreamName } from '../identifiers.js'
import { createEngine } from '../protocols/engine.js'
import type { EngineCall, EngineEvent, EngineStream } from '../protocols/engine.js'
import { promptTokens } from '../protocols/prompt.js'
import { createAttemptMatcher, MAX_TOKENS } from '../request/index.js'
import type { ChatBody } from '../request/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { ServingError, toServingError } from '../verdict.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Placement } from './dispatcher.js'
import type { Execution, OpenAttempt, Redirection } from './execution.js'

/** Attempt number in the matcher of a connection. Connections follow each other, and each has a matcher of its own. */
const ATTEMPT = 1

/** Maximum number of tokens ahead of the fastest reader. Beyond it, the node stops reading from the upstream. */
const MAX_UNREAD_TOKENS = 1_024

/** Maximum number of reconnections to a stream without a new token in between. Beyond it, the attempt fails. */
const MAX_RECONNECTIONS = 6

/** Reason of an abort at the regular end. Without a reason, each abort would create an exception with a stack trace. */
const CLOSED_REASON = 'closed'

/** Upstream and handle of the stream of an attempt. */
interface StreamLocation {
  readonly upstream: UpstreamView
  /** Undefined before the stream has started. */
  handle: string | undefined
  /** Number of tokens of the answer that existed when the attempt started, and that the engine may have to prefill. */
  readonly tokensAtStart: number
  /** Whether the attempt attached to a running stream. Nothing is recomputed, and the body of the request may be unknown in this case. */
  readonly found: boolean
}

/**
 * Runs one attempt. A lost or silent connection is replaced by a new one before the attempt counts as failed.
 * Redirections are followed.
 *
 * @example
 * const end = await generate(context, execution, placement, body, 'assistant-7b', traceparent)
 */
export async function generate (context: ExecutionContext, execution: Execution, placement: Placement, body: ChatBody, model: string, traceparent: string): Promise<AttemptEnd> {
  const { answer, runController } = execution
  let location: StreamLocation = { upstream: placement.upstream, handle: placement.handle, tokensAtStart: answer.offset(), found: placement.handle !== undefined }
  let reconnections = 0
  let leave: (() => void) | undefined
  try {
    for (;;) {
      const offsetBefore = answer.offset()
      const connection = openConnection(context, execution, location)
      try {
        const stream = await openStream(context, execution, location, { body, model, priority: placement.priority, traceparent, signal: connection.signal }, reconnections > 0)
        location.handle = stream.handle === '' ? location.handle : stream.handle
        connection.attempt.handle = location.handle ?? ''
        context.notes.open(execution)
        const finished = await appendEvents(context, execution, location.upstream.name, stream, location.found ? MAX_TOKENS : body.max_tokens, connection.signal)
        countRecomputed(execution, body, location, finished.usage.cached_tokens)
        return { kind: 'whole', end: finished, result: { kind: 'whole', usage: finished.usage } }
      } catch (error) {
        const { redirection } = connection
        if (redirection?.kind === 'attach') {
          const next = attachToMovedStream(context, execution, location, redirection)
          leave?.()
          leave = context.directory.enter(next.upstream.name)
          location = next
          continue
        }
        if (redirection?.kind === 'recompute') {
          cancelStream(context, location)
          countRecomputed(execution, body, location, 0)
          return { kind: 'recompute' }
        }
        if (runController.signal.reason === 'handed-over') return { kind: 'recompute' }
        if (runController.signal.reason === 'abandoned') cancelStream(context, location)
        const failure = toServingError(error, 'may-have-run')
        reconnections = answer.offset() > offsetBefore ? 1 : reconnections + 1
        if (!runController.signal.aborted && mayReconnect(failure, location, reconnections)) continue
        return failedEnd(execution, body, location, failure)
      } finally {
        connection.close()
      }
    }
  } finally {
    leave?.()
  }
}

/** A connection of an attempt to its stream. `redirection` is set once the attempt has been redirected. */
interface OpenConnection {
  readonly signal: AbortSignal
  readonly attempt: OpenAttempt
  readonly redirection: Redirection | undefined
  close (): void
}

/** Registers the attempt at its execution, so that it can be redirected. Its connection closes if the run is aborted. */
function openConnection (context: ExecutionContext, execution: Execution, location: StreamLocation): OpenConnection {
  const controller = new AbortController()
  const abort = (): void => controller.abort(execution.runController.signal.reason)
  if (execution.runController.signal.aborted) abort()
  execution.runController.signal.addEventListener('abort', abort, { once: true })
  let redirection: Redirection | undefined
  const attempt: OpenAttempt = {
    upstream: location.upstream.name,
    handle: location.handle ?? '',
    startedAt: context.clock.now(),
    redirect: (to) => {
      redirection ??= to
      controller.abort(CLOSED_REASON)
    }
  }
  execution.attempt = attempt
  return {
    signal: controller.signal,
    attempt,
    get redirection () { return redirection },
    close: () => {
      execution.runController.signal.removeEventListener('abort', abort)
      controller.abort(CLOSED_REASON)
    }
  }
}

function openStream (context: ExecutionContext, execution: Execution, location: StreamLocation, call: EngineCall, unpooled: boolean): Promise<EngineStream> {
  const { answer } = execution
  const engine = createEngine(unpooled ? context.unpooledConnections : context.connections, location.upstream.address)
  if (location.handle !== undefined) return engine.resume(location.handle, answer.offset(), call.signal)
  const continuation = answer.offset() === 0 ? {} : { continuation: { offset: answer.offset(), text: answer.text() } }
  return engine.start({ ...call, ...continuation })
}

/**
 * Appends the events of a connection to the answer, in the order of their offsets.
 *
 * @throws ServingError with code `connection-lost` if the stream omits tokens, has too many, or ends without a final event
 */
async function appendEvents (context: ExecutionContext, execution: Execution, upstream: UpstreamName, stream: EngineStream, maxTokens: number, signal: AbortSignal): Promise<Extract<EngineEvent, { kind: 'finished' }>> {
  const { answer } = execution
  const matcher = createAttemptMatcher(answer.offset(), maxTokens)
  matcher.begin(ATTEMPT)
  for await (const event of stream.events) {
    for (const effect of matcher.handle(ATTEMPT, event)) {
      switch (effect.kind) {
        case 'append':
          recordFirstToken(context, execution, upstream)
          answer.append(effect.token)
          await answer.waitForReaders(MAX_UNREAD_TOKENS, signal)
          break
        case 'finish': return { kind: 'finished', finish: effect.finish, usage: effect.usage }
        case 'cancel':
        case 'starved': throw new ServingError('the stream left out tokens, or has more than were asked for', { code: 'connection-lost', verdict: 'may-have-run' })
      }
    }
  }
  throw new ServingError('the stream ended without its final mark', { code: 'connection-lost', verdict: 'may-have-run' })
}

function recordFirstToken (context: ExecutionContext, execution: Execution, upstream: UpstreamName): void {
  if (execution.firstTokenAt !== undefined) return
  execution.firstTokenAt = context.clock.now()
  context.dispatcher.firstToken(execution.request.id)
  context.bookkeeping.firstToken(execution, upstream)
}

function attachToMovedStream (context: ExecutionContext, execution: Execution, location: StreamLocation, redirection: Extract<Redirection, { kind: 'attach' }>): StreamLocation {
  const upstream = context.directory.find(redirection.upstream)
  if (upstream === undefined) throw new ServingError(`${redirection.upstream} is gone`, { code: 'no-upstream', verdict: 'may-have-run' })
  cancelStream(context, location)
  context.bookkeeping.cacheMoved(execution, location.upstream.name, upstream.name)
  return { ...location, upstream, handle: redirection.handle }
}

/** Whether to replace a lost or silent connection. This requires a handle of the stream. Refusals are final. */
function mayReconnect (failure: ServingError, location: StreamLocation, reconnections: number): boolean {
  const lost = failure.code === 'connection-lost' || failure.code === 'timeout'
  return lost && failure.verdict !== 'not-run' && location.handle !== undefined && reconnections <= MAX_RECONNECTIONS
}

/**
 * Converts a failure of the connection to the end of the attempt.
 *
 * Failure guarded against: the upstream refuses to resume a stream that had started, and the refusal looks as if the
 * request had never run. Once the stream has a handle, the verdict is therefore at least `may-have-run`.
 */
function failedEnd (execution: Execution, body: ChatBody, location: StreamLocation, failure: ServingError): AttemptEnd {
  if (location.handle === undefined) return { kind: 'failed', failure, upstreamDied: false }
  countRecomputed(execution, body, location, 0)
  const upstreamDied = failure.verdict === 'not-run' && failure.code !== 'cancelled'
  const verdict = execution.answer.offset() > 0 ? 'ran' : 'may-have-run'
  return { kind: 'failed', failure: new ServingError(failure.message, { code: 'upstream-failed', verdict }), upstreamDied }
}

/** Counts the tokens that this attempt recomputed, which means that an earlier attempt had already computed them. */
function countRecomputed (execution: Execution, body: ChatBody, location: StreamLocation, cachedTokens: number): void {
  const isFirstPrefill = !execution.prefilledBefore
  execution.prefilledBefore = true
  if (isFirstPrefill || location.found) return
  execution.recomputedTokens += Math.max(0, promptTokens(body.messages) + location.tokensAtStart - cachedTokens)
}

/** Asks the engine to cancel the stream. A failure of the call is ignored. */
function cancelStream (context: ExecutionContext, location: StreamLocation): void {
  if (location.handle === undefined) return
  createEngine(context.connections, location.upstream.address).cancel(location.handle).catch(() => {})
}
