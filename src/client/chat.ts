/** Chat completions: the stream is read to its final mark, over as many connections as it takes. */
import type { Milliseconds } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import { connectionFailure, readBody, send as exchange } from '../protocols/http.js'
import type { HttpResponse } from '../protocols/http.js'
import { readEvents } from '../protocols/server-sent-events.js'
import type { ChatMessage } from '../request/index.js'
import type { Usage } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import { sendUntilAnswered, ToldFailure } from './sending.js'
import type { Send, Sending } from './sending.js'
import { DONE, readFailure, readMessage, REQUEST_ID_HEADER } from './wire.js'

/** A question. */
export interface ChatCall {
  /** Class of work. */
  readonly class: string
  readonly messages: readonly ChatMessage[]
  readonly maxTokens?: number
  readonly adapter?: string
  /** Running twice is harmless: a question whose home died is then asked again. Default true. */
  readonly idempotent?: boolean
  /** Called once for each token, in order, as it arrives. */
  readonly onToken?: (text: string, offset: number) => void
  /** W3C trace context to continue; a new trace begins when left out. */
  readonly traceparent?: string
  readonly signal?: AbortSignal
}

/** A whole answer. */
export interface ChatAnswer {
  readonly id: RequestId
  readonly text: string
  readonly tokens: number
  readonly finish: 'stop' | 'length'
  readonly usage: Usage
}

/** Entry nodes show every five seconds that a stream lives; after this silence a new connection is tried. */
const SILENCE: Milliseconds = 12_000

/** Tokens received so far; they outlive connections and ids. */
interface Received {
  readonly texts: string[]
}

/**
 * @throws ServingError
 * @example
 * const answer = await chat(sending, { class: 'short-question', messages })
 */
export function chat (sending: Sending, call: ChatCall): Promise<ChatAnswer> {
  const received: Received = { texts: [] }
  const options = { idempotent: call.idempotent ?? true, traceparent: call.traceparent, signal: call.signal }
  return sendUntilAnswered(sending, options, (send) => chatOnce(sending, call, received, send))
}

async function chatOnce (sending: Sending, call: ChatCall, received: Received, send: Send): Promise<ChatAnswer> {
  const resuming = send.again && received.texts.length > 0
  const response = await exchange(send.connections, resuming ? resumption(sending, received, send) : submission(sending, call, send))
  if (response.statusCode !== 200) throw await refusal(response, send)
  return readAnswer(response, call, received, send, resuming ? received.texts.length : 0)
}

function submission (sending: Sending, call: ChatCall, send: Send) {
  return {
    ...base(sending, send),
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

function resumption (sending: Sending, received: Received, send: Send) {
  return { ...base(sending, send), method: 'GET' as const, path: `/v1/requests/${send.id}?offset=${received.texts.length}` }
}

function base (sending: Sending, send: Send) {
  return {
    address: send.node.address,
    headers: { ...sending.headers, traceparent: send.traceparent, [REQUEST_ID_HEADER]: send.id },
    idleTimeout: SILENCE,
    ...(send.signal === undefined ? {} : { signal: send.signal })
  }
}

async function refusal (response: HttpResponse, send: Send): Promise<Error> {
  const text = await readBody(response, send.node.address)
  const failure = readFailure(text)
  return failure === undefined
    ? new ServingError(`${send.node.address}: status ${response.statusCode}: ${text.slice(0, 200)}`, { code: 'internal', verdict: 'may-have-run' })
    : new ToldFailure(failure)
}

async function readAnswer (response: HttpResponse, call: ChatCall, received: Received, send: Send, first: number): Promise<ChatAnswer> {
  let offset = first
  let end: { finish: 'stop' | 'length', usage: Usage } | undefined
  try {
    for await (const event of readEvents(response.body)) {
      send.progress()
      if (event.data === DONE) {
        if (end === undefined) break
        return { id: send.id, text: received.texts.join(''), tokens: received.texts.length, ...end }
      }
      const message = readMessage(event.data)
      if (message.kind === 'failure') throw new ToldFailure(message.failure)
      if (message.kind === 'moved') throw new ToldFailure(new ServingError('the request continues at another node', { code: 'moved', verdict: 'may-have-run', retryAfter: message.retryAfter }))
      const choice = message.chunk.choices[0]
      if (choice?.delta.content !== undefined) {
        take(received, call, offset, choice.delta.content)
        offset += 1
      }
      if (choice?.finish_reason && message.chunk.usage) end = { finish: choice.finish_reason, usage: message.chunk.usage }
    }
  } catch (error) {
    throw error instanceof ToldFailure ? error : connectionFailure(error, send.node.address)
  } finally {
    response.body.destroy()
  }
  throw new ServingError('the answer ended without its final mark', { code: 'connection-lost', verdict: 'may-have-run' })
}

/**
 * Failure guarded against: an answer that began anew under another id differs from what the caller was
 * given already, and the two halves would pass as one answer. Equal tokens are skipped; a different one
 * replaces the rest only if nobody has seen it.
 */
function take (received: Received, call: ChatCall, offset: number, text: string): void {
  const { texts } = received
  if (offset < texts.length && texts[offset] === text) return
  if (offset < texts.length && call.onToken !== undefined) {
    throw new ToldFailure(new ServingError('the answer was begun anew and differs from what was received', { code: 'outcome-unknown', verdict: 'ran' }))
  }
  texts.length = offset
  texts.push(text)
  call.onToken?.(text, offset)
}
