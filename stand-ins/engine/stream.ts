/** One answer at an engine stand-in, from its arrival to long after its last connection. */
import { randomUUID } from 'node:crypto'
import * as z from 'zod'
import { prefixBlocks, promptTokens } from '../../src/protocols/prompt.js'
import { chatMessageSchema } from '../../src/request/index.js'
import { answerWords } from './words.js'

/** Body of a request as engines receive it. */
export const engineBodySchema = z.object({
  model: z.string(),
  messages: z.array(chatMessageSchema).min(1),
  max_tokens: z.number().int().positive(),
  adapter: z.string().optional(),
  priority: z.number().default(0),
  continuation: z.object({ offset: z.number().int().nonnegative(), text: z.string() }).optional()
})
export type EngineBody = z.infer<typeof engineBodySchema>

/** A stream that another engine sends over. */
export const importSchema = z.object({ body: engineBodySchema, offset: z.number().int().nonnegative() })
export type ImportedStream = z.infer<typeof importSchema>

/**
 * - `waiting`: for a place in the batch.
 * - `running`: being computed.
 * - `exporting`: held while its cache is on the way to another engine.
 * - `moved`: continues at another engine.
 */
export type StreamState = 'waiting' | 'running' | 'exporting' | 'moved' | 'finished' | 'cancelled'

/** One answer and where it stands. */
export interface Stream {
  readonly handle: string
  readonly body: EngineBody
  readonly words: readonly string[]
  readonly blocks: readonly string[]
  readonly promptTokens: number
  /** Its cache came from another engine: nothing has to be computed again. */
  readonly imported: boolean
  /** Whether it has had a place in the batch; its prompt is then computed once, not again. */
  prepared: boolean
  /** Prompt tokens found in the cache. */
  cachedTokens: number
  /** Tokens of prompt, and of an answer continued, that are still to be computed. */
  prefillLeft: number
  /** Tokens of the answer that exist. */
  sent: number
  state: StreamState
  /** Called after each change, once for every follower. */
  readonly followers: Set<() => void>
}

/**
 * A stream that begins here, or continues here what another engine began.
 *
 * @param offset tokens of the answer that exist already
 * @param imported whether their cache came along
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
    prefillLeft: 0,
    sent: offset,
    state: 'waiting',
    followers: new Set()
  }
}

/**
 * Changes a stream's state and tells its followers.
 *
 * @example
 * setState(stream, 'cancelled')
 */
export function setState (stream: Stream, state: StreamState): void {
  stream.state = state
  notify(stream)
}

/**
 * Tells followers that a stream has changed.
 *
 * @example
 * notify(stream)
 */
export function notify (stream: Stream): void {
  for (const follower of [...stream.followers]) follower()
}

/**
 * Whether a stream takes or waits for a place in the batch.
 *
 * @example
 * streams.filter(isOpen).length
 */
export function isOpen (stream: Stream): boolean {
  return stream.state === 'waiting' || stream.state === 'running'
}
