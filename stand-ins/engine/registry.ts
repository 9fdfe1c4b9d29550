/** Streams of an engine stand-in by handle, including a bounded number of ended ones. */
import { StandInFailure } from '../http-server.js'
import type { Batch } from './batch.js'
import { isOpen } from './stream.js'
import type { Stream } from './stream.js'

/** The streams of one engine. */
export interface StreamRegistry {
  /** Adds a stream and queues it for the batch. */
  enter (stream: Stream): void
  /** @throws StandInFailure 404 if the handle is unknown */
  find (handle: string): Stream
  /** Number of streams that are running or waiting. */
  open (): number
}

/** Beyond this number of streams the oldest ended one is removed. Ended streams are retained so that late resumptions find them. */
const MAX_RETAINED_STREAMS = 4_096

/**
 * Creates an empty registry.
 *
 * @example
 * const registry = createStreamRegistry(batch)
 */
export function createStreamRegistry (batch: Batch): StreamRegistry {
  const streams = new Map<string, Stream>()

  function removeOldest (): void {
    const oldest = [...streams.values()].find((candidate) => !isOpen(candidate) && candidate.followers.size === 0)
    if (oldest !== undefined) streams.delete(oldest.handle)
  }

  return {
    enter: (stream) => {
      streams.set(stream.handle, stream)
      batch.enter(stream)
      if (streams.size > MAX_RETAINED_STREAMS) removeOldest()
    },
    find: (handle) => {
      const stream = streams.get(handle)
      if (stream === undefined) throw new StandInFailure(404, { error: { message: 'no such stream', verdict: 'not-run' } })
      return stream
    },
    open: () => [...streams.values()].filter(isOpen).length
  }
}
