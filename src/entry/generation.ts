/** One attempt of a model request: tokens from an engine's stream into the answer. */
import type { UpstreamName } from '../identifiers.js'
import { createEngine } from '../protocols/engine.js'
import type { EngineCall, EngineEvent, EngineStream } from '../protocols/engine.js'
import { promptTokens } from '../protocols/prompt.js'
import { createAttemptMatcher } from '../request/index.js'
import type { ChatBody } from '../request/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { ServingError, toServingError } from '../verdict.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Placement } from './dispatcher.js'
import type { Execution, OpenAttempt, Redirection } from './execution.js'

/** Connections of an execution follow each other: each has a matcher of its own, with one attempt. */
const CONNECTION = 1

/** Tokens read ahead of the fastest reader before the upstream is left waiting. */
const READ_AHEAD = 1_024

/** New connections to a stream without a token in between, before the upstream is judged stuck. */
const MOST_RECONNECTIONS = 6

/** Reason of an abort at the regular end; without one each abort would build an exception with its stack. */
const CLOSED = 'closed'

/** A stream's place, and how it was come by. */
interface Place {
  readonly upstream: UpstreamView
  /** Undefined before the stream has begun. */
  handle: string | undefined
  /** Tokens that the engine had to be given when it began. */
  readonly givenTokens: number
  /** Whether this attempt found the stream running; what it has computed was not computed again. */
  readonly found: boolean
}

/**
 * Runs one attempt. A lost or silent connection is replaced by a new one before the upstream is
 * judged; a redirection is followed.
 *
 * @example
 * const end = await generate(context, execution, placement, body, 'assistant-7b', traceparent)
 */
export async function generate (context: ExecutionContext, execution: Execution, placement: Placement, body: ChatBody, model: string, traceparent: string): Promise<AttemptEnd> {
  const { answer, owner } = execution
  let place: Place = { upstream: placement.upstream, handle: placement.handle, givenTokens: answer.offset(), found: placement.handle !== undefined }
  let reconnections = 0
  let leave: (() => void) | undefined
  try {
    for (;;) {
      const before = answer.offset()
      const connection = openConnection(context, execution, place)
      try {
        const stream = await openStream(context, execution, place, { body, model, priority: placement.priority, traceparent, signal: connection.signal }, reconnections > 0)
        place.handle = stream.handle === '' ? place.handle : stream.handle
        connection.attempt.handle = place.handle ?? ''
        context.notes.open(execution)
        const finished = await follow(context, execution, place.upstream.name, stream, connection.signal)
        countRecomputed(execution, body, place, finished.usage.cached_tokens)
        return { kind: 'whole', end: finished, result: { kind: 'whole', usage: finished.usage } }
      } catch (error) {
        const { redirection } = connection
        if (redirection?.kind === 'attach') {
          const next = attachTo(context, execution, place, redirection)
          leave?.()
          leave = context.directory.enter(next.upstream.name)
          place = next
          continue
        }
        if (redirection?.kind === 'recompute') {
          cancelStream(context, place)
          countRecomputed(execution, body, place, 0)
          return { kind: 'recompute' }
        }
        if (owner.signal.reason === 'handed-over') return { kind: 'recompute' }
        if (owner.signal.reason === 'abandoned') cancelStream(context, place)
        const failure = toServingError(error, 'may-have-run')
        reconnections = answer.offset() > before ? 1 : reconnections + 1
        if (!owner.signal.aborted && mayReconnect(failure, place, reconnections)) continue
        return failed(execution, body, place, failure)
      } finally {
        connection.close()
      }
    }
  } finally {
    leave?.()
  }
}

interface OpenConnection {
  readonly signal: AbortSignal
  readonly attempt: OpenAttempt
  readonly redirection: Redirection | undefined
  close (): void
}

/** Publishes the attempt, so that it can be redirected, and binds its connection to the owner's life. */
function openConnection (context: ExecutionContext, execution: Execution, place: Place): OpenConnection {
  const controller = new AbortController()
  const abort = (): void => controller.abort(execution.owner.signal.reason)
  if (execution.owner.signal.aborted) abort()
  execution.owner.signal.addEventListener('abort', abort, { once: true })
  let redirection: Redirection | undefined
  const attempt: OpenAttempt = {
    upstream: place.upstream.name,
    handle: place.handle ?? '',
    startedAt: context.clock.now(),
    redirect: (to) => {
      redirection ??= to
      controller.abort(CLOSED)
    }
  }
  execution.attempt = attempt
  return {
    signal: controller.signal,
    attempt,
    get redirection () { return redirection },
    close: () => {
      execution.owner.signal.removeEventListener('abort', abort)
      controller.abort(CLOSED)
    }
  }
}

function openStream (context: ExecutionContext, execution: Execution, place: Place, call: EngineCall, fresh: boolean): Promise<EngineStream> {
  const { answer } = execution
  const engine = createEngine(fresh ? context.freshConnections : context.connections, place.upstream.address)
  if (place.handle !== undefined) return engine.resume(place.handle, answer.offset(), call.signal)
  const continuation = answer.offset() === 0 ? {} : { continuation: { offset: answer.offset(), text: answer.text() } }
  return engine.start({ ...call, ...continuation })
}

/** Takes a connection's events into the answer, whatever order they come in. */
async function follow (context: ExecutionContext, execution: Execution, upstream: UpstreamName, stream: EngineStream, signal: AbortSignal): Promise<Extract<EngineEvent, { kind: 'finished' }>> {
  const { answer } = execution
  const matcher = createAttemptMatcher(answer.offset())
  matcher.begin(CONNECTION)
  for await (const event of stream.events) {
    for (const effect of matcher.handle(CONNECTION, event)) {
      switch (effect.kind) {
        case 'append':
          noteFirstToken(context, execution, upstream)
          answer.append(effect.token)
          await answer.waitForReaders(READ_AHEAD, signal)
          break
        case 'finish': return { kind: 'finished', finish: effect.finish, usage: effect.usage }
        case 'cancel':
        case 'starved': throw new ServingError('the stream left out tokens', { code: 'connection-lost', verdict: 'may-have-run' })
      }
    }
  }
  throw new ServingError('the stream ended without its final mark', { code: 'connection-lost', verdict: 'may-have-run' })
}

function noteFirstToken (context: ExecutionContext, execution: Execution, upstream: UpstreamName): void {
  if (execution.firstTokenAt !== undefined) return
  execution.firstTokenAt = context.clock.now()
  context.dispatcher.firstToken(execution.request.id)
  context.bookkeeping.firstToken(execution, upstream)
}

function attachTo (context: ExecutionContext, execution: Execution, place: Place, redirection: Extract<Redirection, { kind: 'attach' }>): Place {
  const upstream = context.directory.find(redirection.upstream)
  if (upstream === undefined) throw new ServingError(`${redirection.upstream} is gone`, { code: 'no-upstream', verdict: 'may-have-run' })
  cancelStream(context, place)
  context.bookkeeping.movedCache(execution, place.upstream.name, upstream.name)
  return { ...place, upstream, handle: redirection.handle }
}

/** Lost and silent connections are replaced as long as the stream has a name; refusals are final. */
function mayReconnect (failure: ServingError, place: Place, reconnections: number): boolean {
  const lost = failure.code === 'connection-lost' || failure.code === 'timeout'
  return lost && failure.verdict !== 'not-run' && place.handle !== undefined && reconnections <= MOST_RECONNECTIONS
}

/**
 * Failure guarded against: a refused resumption of a stream that had begun looks like a request that
 * never ran. What counts is the stream: once it had a handle, the request may have run.
 */
function failed (execution: Execution, body: ChatBody, place: Place, failure: ServingError): AttemptEnd {
  if (place.handle === undefined) return { kind: 'failed', failure, upstreamDied: false }
  countRecomputed(execution, body, place, 0)
  const upstreamDied = failure.verdict === 'not-run' && failure.code !== 'cancelled'
  const verdict = execution.answer.offset() > 0 ? 'ran' : 'may-have-run'
  return { kind: 'failed', failure: new ServingError(failure.message, { code: 'upstream-failed', verdict }), upstreamDied }
}

/** Tokens that this attempt computed although an earlier attempt had computed them before. */
function countRecomputed (execution: Execution, body: ChatBody, place: Place, cachedTokens: number): void {
  const first = !execution.computedBefore
  execution.computedBefore = true
  if (first || place.found) return
  execution.recomputedTokens += Math.max(0, promptTokens(body.messages) + place.givenTokens - cachedTokens)
}

/** Tells the engine that nobody wants the rest; whether it hears that is its own matter. */
function cancelStream (context: ExecutionContext, place: Place): void {
  if (place.handle === undefined) return
  createEngine(context.connections, place.upstream.address).cancel(place.handle).catch(() => {})
}
