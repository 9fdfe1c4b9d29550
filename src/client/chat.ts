/** Chat completions. An interrupted stream is resumed on further connections until its final event is received. */
import type { Milliseconds } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import { connectionFailure, readBody, send as exchange } from '../protocols/http.js'
import type { HttpResponse } from '../protocols/http.js'
import { readEvents } from '../protocols/server-sent-events.js'
import type { ChatMessage } from '../request/index.js'
import type { Usage } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import { callWithRetries, ReportedFailure } from './sending.js'
import type { CallAttempt, CallContext } from './sending.js'
import { STREAM_END, parseFailure, parseStreamMessage, REQUEST_ID_HEADER } from './wire.js'

/** A chat completion call. */
export interface ChatCall {
  /** Name of the request class. */
  readonly class: string
  readonly messages: readonly ChatMessage[]
  readonly maxTokens?: number
  readonly adapter?: string
  /**
   * Whether the request may be executed twice. If so, the request is submitted again after its home has died.
   * Default: true.
   */
  readonly idempotent?: boolean
  /** Called once for each token, in order, when the token is received. */
  readonly onToken?: (text: string, offset: number) => void
  /** W3C trace context to continue. Default: a new trace. */
  readonly traceparent?: string
  readonly signal?: AbortSignal
}

/** A complete answer. */
export interface ChatAnswer {
  readonly id: RequestId
  readonly text: string
  readonly tokens: number
  readonly finish: 'stop' | 'length'
  readonly usage: Usage
}

/**
 * Maximum time without data before an attempt on a new connection. Entry nodes write a keep-alive comment to an open
 * stream every 5 s.
 */
const IDLE_TIMEOUT: Milliseconds = 12_000

/** Tokens received so far. They are kept across connections and request ids. */
interface ReceivedTokens {
  readonly texts: string[]
}

/**
 * Executes a chat completion call, with retries and resumption of the stream.
 *
 * @throws ServingError whose verdict covers all attempts
 * @example
 * const answer = await chat(context, { class: 'short-question', messages })
 */
export function chat (context: CallContext, call: ChatCall): Promise<ChatAnswer> {
  const received: ReceivedTokens = { texts: [] }
  const options = { idempotent: call.idempotent ?? true, traceparent: call.traceparent, signal: call.signal }
  return callWithRetries(context, options, (attempt) => chatOnce(context, call, received, attempt))
}

async function chatOnce (context: CallContext, call: ChatCall, received: ReceivedTokens, attempt: CallAttempt): Promise<ChatAnswer> {
  const resuming = attempt.again && received.texts.length > 0
  const response = await exchange(attempt.connections, resuming ? resumptionRequest(context, received, attempt) : submissionRequest(context, call, attempt))
  if (response.statusCode !== 200) throw await readRefusal(response, attempt)
  return readAnswer(response, call, received, attempt, resuming ? received.texts.length : 0)
}

function submissionRequest (context: CallContext, call: ChatCall, attempt: CallAttempt) {
  return {
    ...commonRequest(context, attempt),
    method: 'POST' as const,
    path: '/v1/chat/completions',
    body: {
      model: call.class,
      messages: call.messages,
      stream: true,
      ...(call.maxTokens === undefined ? {} : { max_tokens: call.maxTokens }),
      ...(call.adapter === undefined ? {} : { adapter: call.adapter })
    }
  }
}

function resumptionRequest (context: CallContext, received: ReceivedTokens, attempt: CallAttempt) {
  return { ...commonRequest(context, attempt), method: 'GET' as const, path: `/v1/requests/${attempt.id}?offset=${received.texts.length}` }
}

function commonRequest (context: CallContext, attempt: CallAttempt) {
  return {
    address: attempt.node.address,
    headers: { ...context.headers, traceparent: attempt.traceparent, [REQUEST_ID_HEADER]: attempt.id },
    idleTimeout: IDLE_TIMEOUT,
    ...(attempt.signal === undefined ? {} : { signal: attempt.signal })
  }
}

/** Reads the failure from a response with a status other than 200. */
async function readRefusal (response: HttpResponse, attempt: CallAttempt): Promise<Error> {
  const text = await readBody(response, attempt.node.address)
  const failure = parseFailure(text)
  return failure === undefined
    ? new ServingError(`${attempt.node.address}: status ${response.statusCode}: ${text.slice(0, 200)}`, { code: 'internal', verdict: 'may-have-run' })
    : new ReportedFailure(failure)
}

/** Reads the event stream of one attempt, starting at token number `first`. */
async function readAnswer (response: HttpResponse, call: ChatCall, received: ReceivedTokens, attempt: CallAttempt, first: number): Promise<ChatAnswer> {
  let offset = first
  let end: { finish: 'stop' | 'length', usage: Usage } | undefined
  try {
    for await (const event of readEvents(response.body)) {
      attempt.progress()
      if (event.data === STREAM_END) {
        if (end === undefined) break
        return { id: attempt.id, text: received.texts.join(''), tokens: received.texts.length, ...end }
      }
      const message = parseStreamMessage(event.data)
      if (message.kind === 'failure') throw new ReportedFailure(message.failure)
      if (message.kind === 'moved') throw new ReportedFailure(new ServingError('the request continues at another node', { code: 'moved', verdict: 'may-have-run', retryAfter: message.retryAfter }))
      const choice = message.chunk.choices[0]
      if (choice?.delta.content !== undefined) {
        acceptToken(received, call, offset, choice.delta.content)
        offset += 1
      }
      if (choice?.finish_reason && message.chunk.usage) end = { finish: choice.finish_reason, usage: message.chunk.usage }
    }
  } catch (error) {
    throw error instanceof ReportedFailure ? error : connectionFailure(error, attempt.node.address)
  } finally {
    response.body.destroy()
  }
  throw new ServingError('the answer ended without its final mark', { code: 'connection-lost', verdict: 'may-have-run' })
}

/**
 * Adds a token to the received tokens.
 *
 * Failure guarded against: the request is submitted again under a new id, and the new answer differs from the tokens
 * that were already received. The two parts would be combined into one wrong answer. A token that is equal to the
 * token received before at its offset is skipped. A different token replaces the rest of the received tokens only if
 * they were not passed to `onToken`.
 */
function acceptToken (received: ReceivedTokens, call: ChatCall, offset: number, text: string): void {
  const { texts } = received
  if (offset < texts.length && texts[offset] === text) return
  if (offset < texts.length && call.onToken !== undefined) {
    throw new ReportedFailure(new ServingError('the answer was begun anew and differs from what was received', { code: 'outcome-unknown', verdict: 'ran' }))
  }
  texts.length = offset
  texts.push(text)
  call.onToken?.(text, offset)
}
