/**
 * A model engine: chat completions with server-sent events as language-model servers publish them,
 * and beside them load, resumption, cancellation, cache movement and orders.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { ChatBody, FinishReason } from '../request/index.js'
import { loadReportSchema, usageSchema } from '../upstream/index.js'
import type { LoadReport, Usage } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import { connectionFailure, exchangeJson, readBody, send } from './http.js'
import type { Connections, HttpExchange, HttpResponse } from './http.js'
import { readEvents } from './server-sent-events.js'

/** What an engine sends while it answers. */
export type EngineEvent =
  | { kind: 'token', offset: number, text: string }
  | { kind: 'finished', finish: FinishReason, usage: Usage }

/** A started answer. */
export interface EngineStream {
  /** The engine's name for the stream; it survives the connection. */
  readonly handle: string
  /** Throws a ServingError when the stream ends without its final mark. */
  readonly events: AsyncIterable<EngineEvent>
}

/** Continuation of an answer that another engine began. */
export interface Continuation {
  readonly offset: number
  readonly text: string
}

/** How an answer is asked for. */
export interface EngineCall {
  readonly body: ChatBody
  readonly model: string
  /** Smaller runs earlier; derived from the remaining slack to the class's target. */
  readonly priority: number
  readonly continuation?: Continuation
  readonly traceparent?: string
  readonly signal: AbortSignal
}

/** A change of an engine's cache, as its feed reports it: late and with gaps. */
export const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  /** Hashes of the prompt's blocks, longest last. */
  blocks: z.array(z.string())
})
export type CacheEvent = z.infer<typeof cacheEventSchema>

/** Desired state of an engine with the number that fences off older orders. */
export const engineOrderSchema = z.object({
  fencing: z.number().int().nonnegative(),
  generation: z.number().int().nonnegative(),
  model: z.string(),
  version: z.string().default('1'),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode'])
})
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** One engine as the system uses it. */
export interface Engine {
  start (call: EngineCall): Promise<EngineStream>
  /** Attaches again to a stream from an offset. */
  resume (handle: string, offset: number, signal: AbortSignal): Promise<EngineStream>
  cancel (handle: string, signal?: AbortSignal): Promise<void>
  load (signal?: AbortSignal): Promise<LoadReport>
  cacheEvents (after: number, signal?: AbortSignal): Promise<{ events: CacheEvent[], next: number }>
  /** Sends a stream's cache to another engine; resolves to the tokens moved and the handle there. */
  exportCache (handle: string, target: Address, signal: AbortSignal): Promise<{ tokens: number, handle: string }>
  /** Orders a desired state; resolves to false when fenced off by a newer order. */
  order (order: EngineOrder, signal?: AbortSignal): Promise<boolean>
}

/** Longest silence of a stream before a new connection is tried. */
export const STREAM_SILENCE: Milliseconds = 5 * SECOND

/** Bound on short calls. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

const DONE = '[DONE]'

const chunkSchema = z.object({
  id: z.string(),
  offset: z.number().int().nonnegative().default(0),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().default('') }).prefault({}),
    finish_reason: z.enum(['stop', 'length']).nullable().default(null)
  })).length(1),
  usage: usageSchema.optional()
})

const exportSchema = z.object({ tokens: z.number().int().nonnegative(), handle: z.string() })
const orderAnswerSchema = z.object({ obeyed: z.boolean() })
const cacheFeedSchema = z.object({ events: z.array(cacheEventSchema), next: z.number().int() })

/**
 * @param address where the engine answers
 * @example
 * const stream = await createEngine(connections, address).start(call)
 */
export function createEngine (connections: Connections, address: Address): Engine {
  const exchange = (method: 'GET' | 'POST', path: string, body: unknown, silence: Milliseconds, signal?: AbortSignal): HttpExchange =>
    ({ address, method, path, body, silence, ...(signal ? { signal } : {}) })

  async function open (request: HttpExchange): Promise<EngineStream> {
    const response = await send(connections, request)
    if (response.statusCode !== 200) throw await refusal(response, address)
    const handle = response.headers['x-stream-handle']
    const name = typeof handle === 'string' ? handle : ''
    return { handle: name, events: eventsOf(response, address, name) }
  }

  return {
    start: (call) => open({
      ...exchange('POST', '/v1/chat/completions', startBody(call), STREAM_SILENCE, call.signal),
      headers: call.traceparent === undefined ? {} : { traceparent: call.traceparent }
    }),
    resume: (handle, offset, signal) =>
      open(exchange('GET', `/v1/streams/${encodeURIComponent(handle)}?offset=${offset}`, undefined, STREAM_SILENCE, signal)),
    cancel: async (handle, signal) => {
      await exchangeJson(connections, exchange('POST', `/v1/streams/${encodeURIComponent(handle)}/cancel`, {}, CALL_TIMEOUT, signal), z.unknown())
    },
    load: (signal) => exchangeJson(connections, exchange('GET', '/v1/load', undefined, CALL_TIMEOUT, signal), loadReportSchema),
    cacheEvents: (after, signal) =>
      exchangeJson(connections, exchange('GET', `/v1/cache/events?after=${after}`, undefined, CALL_TIMEOUT, signal), cacheFeedSchema),
    exportCache: (handle, target, signal) =>
      exchangeJson(connections, exchange('POST', '/v1/cache/export', { handle, target }, STREAM_SILENCE, signal), exportSchema),
    order: async (order, signal) =>
      (await exchangeJson(connections, exchange('POST', '/v1/orders', order, CALL_TIMEOUT, signal), orderAnswerSchema)).obeyed
  }
}

function startBody (call: EngineCall): object {
  return {
    ...call.body,
    model: call.model,
    stream: true,
    stream_options: { include_usage: true },
    priority: call.priority,
    ...(call.continuation ? { continuation: call.continuation } : {})
  }
}

async function refusal (response: HttpResponse, address: Address): Promise<ServingError> {
  const text = await readBody(response, address)
  const verdict = text.includes('"verdict":"not-run"') ? 'not-run' : 'may-have-run'
  return new ServingError(`${address}: status ${response.statusCode}: ${text.slice(0, 200)}`, { code: 'upstream-refused', verdict })
}

/**
 * Failure guarded against: a connection that closes in the middle of an answer looks like its end.
 * Only the final mark makes an answer whole; without it the stream throws. And an engine that mixes
 * events of several streams would put another caller's words into this answer: only those that carry
 * the stream's own name are taken.
 */
async function * eventsOf (response: HttpResponse, address: Address, handle: string): AsyncIterable<EngineEvent> {
  try {
    for await (const event of readEvents(response.body)) {
      if (event.data === DONE) return
      const chunk = chunkSchema.parse(JSON.parse(event.data))
      if (handle === '' || chunk.id === handle) yield * toEvents(chunk)
    }
  } catch (error) {
    throw connectionFailure(error, address)
  } finally {
    response.body.destroy()
  }
  throw new ServingError(`${address}: the stream ended without its final mark`, { code: 'connection-lost', verdict: 'may-have-run' })
}

function toEvents (chunk: z.infer<typeof chunkSchema>): EngineEvent[] {
  const choice = chunk.choices[0]
  const events: EngineEvent[] = []
  if (choice === undefined) return events
  if (choice.delta.content !== '') events.push({ kind: 'token', offset: chunk.offset, text: choice.delta.content })
  if (choice.finish_reason !== null) {
    events.push({ kind: 'finished', finish: choice.finish_reason, usage: chunk.usage ?? { prompt_tokens: 0, completion_tokens: 0, cached_tokens: 0 } })
  }
  return events
}
