/** Relays an upstream's server-sent events as they arrive. Only complete events are relayed. */
import type { ServerResponse } from 'node:http'
import { writeWithBackpressure } from '../caller/http.js'
import { createEventSplitter } from './event-stream.js'
import { brokenBy } from './exchange.js'
import type { BrokenBy, UpstreamAnswer } from './exchange.js'
import type { AnswerBounds } from './plain-answer.js'

/** Progress of a relayed stream, summed over all upstreams that served it. */
export interface StreamProgress {
  /** Id of the last relayed event. */
  lastId: string | undefined
  events: number
  /** Version of the upstream that sent the first event, the only one that may continue the stream; undefined before the first event. */
  version: string | undefined
}

/** How the relay from one upstream ended. */
export type RelayEnd =
  | { readonly kind: 'whole' }
  /** The upstream's stream was cut short, with its connection or within its last event. The relayed bytes end with a complete event. */
  | { readonly kind: 'broken', readonly reason: string, readonly by: BrokenBy }

/**
 * Relays events until the upstream's stream ends or fails. Never rejects.
 *
 * @param progress updated with each event
 * @param onEvents called before complete events are written, with their number
 * @example
 * const end = await relayEvents(answer, response, progress, () => writeHead(answer), bounds)
 */
export async function relayEvents (answer: UpstreamAnswer, response: ServerResponse, progress: StreamProgress, onEvents: (events: number) => void, { held, pace, signal }: AnswerBounds): Promise<RelayEnd> {
  const splitter = createEventSplitter()
  try {
    await answer.body.read((chunk) => {
      const events = splitter.push(chunk)
      held.release()
      if (held.take(splitter.pendingBytes()) !== 'held') throw new RangeError('there is no room for a server-sent event of this length')
      if (events.count === 0) return pace.passed(chunk.length, 1, signal)
      onEvents(events.count)
      progress.events += events.count
      progress.lastId = events.lastId ?? progress.lastId
      const written = writeWithBackpressure(response, events.bytes, signal)
      const paced = pace.passed(chunk.length, events.count, signal)
      return written === undefined && paced === undefined ? undefined : Promise.all([written, paced])
    })
  } catch (error) {
    held.release()
    return { kind: 'broken', reason: String((error as Error).message), by: error instanceof RangeError ? 'answer' : brokenBy(error) }
  }
  held.release()
  return splitter.pendingBytes() === 0 ? { kind: 'whole' } : { kind: 'broken', reason: 'the stream ended in the middle of an event', by: 'answer' }
}
