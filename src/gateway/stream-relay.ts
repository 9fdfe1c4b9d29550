/** Passes an upstream's events on as they arrive, whole events only. */
import type { ServerResponse } from 'node:http'
import { writeSlowly } from '../caller/http.js'
import { createEventCutter } from './event-stream.js'
import type { UpstreamAnswer } from './exchange.js'

/** How far a relayed stream got over all its upstreams. */
export interface StreamProgress {
  /** Id of the last event that was passed on. */
  lastId: string | undefined
  events: number
}

/** How one upstream's part of a stream ended. */
export type RelayEnd =
  | { readonly kind: 'whole' }
  /** The upstream's part broke off; what was passed on ends with a whole event. */
  | { readonly kind: 'broken', readonly reason: string }

/**
 * @param progress is moved on with each event
 * @param arrived called before whole events are passed on, with their number
 * @param gone aborts when the caller has left or the time is up
 * @example
 * const end = await relayEvents(answer, response, progress, () => writeHead(answer), signal)
 */
export async function relayEvents (answer: UpstreamAnswer, response: ServerResponse, progress: StreamProgress, arrived: (events: number) => void, gone: AbortSignal): Promise<RelayEnd> {
  const cutter = createEventCutter()
  try {
    for await (const piece of answer.body) {
      const events = cutter.push(piece as Buffer)
      if (events.count === 0) continue
      arrived(events.count)
      progress.events += events.count
      progress.lastId = events.lastId ?? progress.lastId
      await writeSlowly(response, events.bytes, gone)
    }
  } catch (error) {
    return { kind: 'broken', reason: String((error as Error).message) }
  }
  return cutter.isWhole() ? { kind: 'whole' } : { kind: 'broken', reason: 'the stream ended in the middle of an event' }
}
