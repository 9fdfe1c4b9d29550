/** An answer of an engine stand-in. It exists independently of connections and outlives its last one. */
import { randomUUID } from 'node:crypto'
import * as z from 'zod'
import { prefixBlocks, promptTokens } from '../../src/protocols/prompt.js'
import { chatMessageSchema } from '../../src/request/index.js'
import { answerWords } from './words.js'

/** Request body that engines receive. */
export const engineBodySchema = z.object({
  model: z.string(),
  messages: z.array(chatMessageSchema).min(1),
  max_tokens: z.number().int().positive(),
  adapter: z.string().optional(),
  priority: z.number().default(0),
  continuation: z.object({ offset: z.number().int().nonnegative(), text: z.string() }).optional()
})
export type EngineBody = z.infer<typeof engineBodySchema>

/** A stream that another engine exports to this one. */
export const importSchema = z.object({ body: engineBodySchema, offset: z.number().int().nonnegative() })
export type ImportedStream = z.infer<typeof importSchema>

/**
 * State of a stream:
 *
 * - `waiting`: queued for the batch.
 * - `running`: in the batch.
 * - `exporting`: paused while its cache is transferred to another engine.
 * - `moved`: continued by another engine.
 */
export type StreamState = 'waiting' | 'running' | 'exporting' | 'moved' | 'finished' | 'cancelled'

/** An answer and its progress. */
export interface Stream {
  readonly handle: string
  readonly body: EngineBody
  readonly words: readonly string[]
  readonly blocks: readonly string[]
  readonly promptTokens: number
  /** The cache was imported from another engine, so nothing has to be recomputed. */
  readonly imported: boolean
  /** Whether the tokens to prefill have been set. This happens once, so a requeued stream is not prefilled again. */
  prepared: boolean
  /** Prompt tokens found in the cache. */
  cachedTokens: number
  /** Tokens of the prompt, and of a continued answer, that are still to be prefilled. */
  prefillRemaining: number
  /** Tokens of the answer generated so far, including those that existed when the stream was created. */
  sent: number
  state: StreamState
  /** Callbacks of the followers, called after each change. */
  readonly followers: Set<() => void>
}

/**
 * Creates a stream for a new answer, or for one that another engine began.
 *
 * @param offset number of answer tokens that exist already
 * @param imported whether the cache was imported from the other engine
 * @example
 * const stream = createStream(body, body.continuation?.offset ?? 0, false)
 */
export function createStream (body: EngineBody, offset: number, imported: boolean): Stream {
  return {
    handle: randomUUID(),
    body,
    words: answerWords(body.messages, body.max_tokens),
    blocks: prefixBlocks(body.messages, body.adapter),
    promptTokens: promptTokens(body.messages),
    imported,
    prepared: imported,
    cachedTokens: 0,
    prefillRemaining: 0,
    sent: offset,
    state: 'waiting',
    followers: new Set()
  }
}

/**
 * Changes a stream's state and notifies its followers.
 *
 * @example
 * setState(stream, 'cancelled')
 */
export function setState (stream: Stream, state: StreamState): void {
  stream.state = state
  notify(stream)
}

/**
 * Notifies followers that a stream has changed.
 *
 * @example
 * notify(stream)
 */
export function notify (stream: Stream): void {
  for (const follower of [...stream.followers]) follower()
}

/**
 * Whether a stream is in the batch or queued for it.
 *
 * @example
 * streams.filter(isOpen).length
 */
export function isOpen (stream: Stream): boolean {
  return stream.state === 'waiting' || stream.state === 'running'
}
