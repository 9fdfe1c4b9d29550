/** Streams of an engine stand-in by their handles, remembered for a while after their end. */
import { StandInFailure } from '../http-server.js'
import type { Batch } from './batch.js'
import { isOpen } from './stream.js'
import type { Stream } from './stream.js'

/** The streams of one engine. */
export interface StreamRegistry {
  /** Remembers a stream and queues it. */
  enter (stream: Stream): void
  /** @throws StandInFailure 404 */
  find (handle: string): Stream
  /** Streams that run or wait. */
  open (): number
}

/** Streams remembered after their end, so that a late resumption still finds them. */
const KEPT_STREAMS = 4_096

/**
 * @example
 * const registry = createStreamRegistry(batch)
 */
export function createStreamRegistry (batch: Batch): StreamRegistry {
  const streams = new Map<string, Stream>()

  function forgetOldest (): void {
    const oldest = [...streams.values()].find((known) => !isOpen(known) && known.followers.size === 0)
    if (oldest !== undefined) streams.delete(oldest.handle)
  }

  return {
    enter: (stream) => {
      streams.set(stream.handle, stream)
      batch.enter(stream)
      if (streams.size > KEPT_STREAMS) forgetOldest()
    },
    find: (handle) => {
      const stream = streams.get(handle)
      if (stream === undefined) throw new StandInFailure(404, { error: { message: 'no such stream', verdict: 'not-run' } })
      return stream
    },
    open: () => [...streams.values()].filter(isOpen).length
  }
}
