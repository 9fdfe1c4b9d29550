/**
 * Client of a model engine: chat completions as server-sent events in the form that is usual for language-model servers,
 * and further calls for the load, resumption, cancellation, cache transfer and orders.
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

/** An event of an engine's answer. */
export type EngineEvent =
  | { kind: 'token', offset: number, text: string }
  | { kind: 'finished', finish: FinishReason, usage: Usage }

/** A stream of an answer that an engine has started. */
export interface EngineStream {
  /** Name that the engine gave the stream. It stays valid after the connection is lost. Empty if the engine gave none. */
  readonly handle: string
  /** Events of the answer. Throws a ServingError if the stream ends without the `[DONE]` event. */
  readonly events: AsyncIterable<EngineEvent>
}

/** Start of an answer that another engine generated, for an engine that continues it. */
export interface EngineContinuation {
  /** Offset of the first token that the engine generates. */
  readonly offset: number
  /** Text that precedes the offset. */
  readonly text: string
}

/** Parameters of a call that starts an answer. */
export interface EngineCall {
  readonly body: ChatBody
  readonly model: string
  /** A request with a lower value runs earlier. Derived from the remaining slack to the target of the request's class. */
  readonly priority: number
  readonly continuation?: EngineContinuation
  readonly traceparent?: string
  readonly signal: AbortSignal
}

/** Schema of a change of an engine's prefix cache. The feed reports changes late and with gaps. */
export const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  /** Hashes of a prompt's prefixes that end at block boundaries, longest prefix last. */
  blocks: z.array(z.string())
})
export type CacheEvent = z.infer<typeof cacheEventSchema>

/** Schema of an order for the desired state of an engine. An engine rejects an order with a lower fencing number than one that it has seen. */
export const engineOrderSchema = z.object({
  fencing: z.number().int().nonnegative(),
  generation: z.number().int().nonnegative(),
  model: z.string(),
  version: z.string().default('1'),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode'])
})
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** One model engine. Every method rejects with a ServingError. */
export interface Engine {
  /** Starts an answer. */
  start (call: EngineCall): Promise<EngineStream>
  /** Reconnects to a stream and continues from an offset. */
  resume (handle: string, offset: number, signal: AbortSignal): Promise<EngineStream>
  cancel (handle: string, signal?: AbortSignal): Promise<void>
  load (signal?: AbortSignal): Promise<LoadReport>
  /** Changes of the prefix cache with a sequence number greater than `after`. Pass `next` as `after` in the next call. */
  cacheEvents (after: number, signal?: AbortSignal): Promise<{ events: CacheEvent[], next: number }>
  /** Sends a stream's cache to another engine. Resolves to the number of tokens moved and the stream's handle at that engine. */
  exportCache (handle: string, target: Address, signal: AbortSignal): Promise<{ tokens: number, handle: string }>
  /** Orders a desired state. Resolves to false if the engine has already accepted an order with a higher fencing number. */
  order (order: EngineOrder, signal?: AbortSignal): Promise<boolean>
}

/** Time without data after which a stream's connection is considered lost and a new one is opened. */
export const STREAM_IDLE_TIMEOUT: Milliseconds = 5 * SECOND

/** Timeout of calls other than streams. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/** Largest size of an answer other than a stream, in bytes. Changes of the prefix cache may be many. */
const MAX_ANSWER_BYTES = 16_777_216

/** Data of the event that ends every complete stream. */
const DONE_EVENT = '[DONE]'

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
 * Creates a client of one engine.
 *
 * @param address of the engine
 * @example
 * const stream = await createEngine(connections, address).start(call)
 */
export function createEngine (connections: Connections, address: Address): Engine {
  const exchange = (method: 'GET' | 'POST', path: string, body: unknown, silence: Milliseconds, signal?: AbortSignal): HttpExchange =>
    ({ address, method, path, body, idleTimeout: silence, maxBytes: MAX_ANSWER_BYTES, ...(signal ? { signal } : {}) })

  async function openStream (request: HttpExchange): Promise<EngineStream> {
    const response = await send(connections, request)
    if (response.statusCode !== 200) throw await refusalError(response, address)
    const handle = response.headers['x-stream-handle']
    const name = typeof handle === 'string' ? handle : ''
    return { handle: name, events: readStreamEvents(response, address, name) }
  }

  return {
    start: (call) => openStream({
      ...exchange('POST', '/v1/chat/completions', startBody(call), STREAM_IDLE_TIMEOUT, call.signal),
      headers: call.traceparent === undefined ? {} : { traceparent: call.traceparent }
    }),
    resume: (handle, offset, signal) =>
      openStream(exchange('GET', `/v1/streams/${encodeURIComponent(handle)}?offset=${offset}`, undefined, STREAM_IDLE_TIMEOUT, signal)),
    cancel: async (handle, signal) => {
      await exchangeJson(connections, exchange('POST', `/v1/streams/${encodeURIComponent(handle)}/cancel`, {}, CALL_TIMEOUT, signal), z.unknown())
    },
    load: (signal) => exchangeJson(connections, exchange('GET', '/v1/load', undefined, CALL_TIMEOUT, signal), loadReportSchema),
    cacheEvents: (after, signal) =>
      exchangeJson(connections, exchange('GET', `/v1/cache/events?after=${after}`, undefined, CALL_TIMEOUT, signal), cacheFeedSchema),
    exportCache: (handle, target, signal) =>
      exchangeJson(connections, exchange('POST', '/v1/cache/export', { handle, target }, STREAM_IDLE_TIMEOUT, signal), exportSchema),
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

async function refusalError (response: HttpResponse, address: Address): Promise<ServingError> {
  const text = await readBody(response, address, MAX_ANSWER_BYTES)
  const verdict = text.includes('"verdict":"not-run"') ? 'not-run' : 'may-have-run'
  return new ServingError(`${address}: status ${response.statusCode}: ${text.slice(0, 200)}`, { code: 'upstream-refused', verdict })
}

/**
 * Yields the events of one stream.
 *
 * Failure guarded against: a connection that closes in the middle of an answer looks like the end of the answer. An answer
 * is complete only if the `[DONE]` event was received, and without that event the stream throws.
 *
 * Failure guarded against: an engine that mixes the events of several streams puts another caller's text into this answer.
 * Only events whose id is the stream's handle are used. A stream without a handle is not filtered.
 */
async function * readStreamEvents (response: HttpResponse, address: Address, handle: string): AsyncIterable<EngineEvent> {
  try {
    for await (const event of readEvents(response.body)) {
      if (event.data === DONE_EVENT) return
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
