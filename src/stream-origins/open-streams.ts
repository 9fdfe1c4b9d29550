/** Streams of one node whose callers may still resume them. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { evictOldest } from '../evict-oldest.js'
import type { StreamId, StreamOrigin } from './types.js'

/** A stream that has begun at this node, or went on here. */
export interface OpenStream {
  readonly origin: StreamOrigin
  /** Time limit of its request. Its caller does not come back after it. */
  readonly until: Milliseconds
  /** Whether other nodes can infer its origin now. */
  readonly isInferable: () => boolean
}

/** Streams of one node. */
export interface OpenStreams {
  /** @returns whether the origin must be recorded now */
  begin (stream: StreamId, opened: OpenStream): boolean
  /** One of the answers that were begun has been sent as a whole. Its caller comes back only if the last events are lost on their way. */
  end (stream: StreamId, now: Milliseconds): void
  /** Streams whose origin could be inferred until now, and must be recorded from now on. */
  takeDue (now: Milliseconds): ReadonlyMap<StreamId, StreamOrigin>
  /** Streams whose origin is recorded. */
  recorded (now: Milliseconds): ReadonlyMap<StreamId, StreamOrigin>
}

const MAX_STREAMS = 2_000

/** Time for which a stream that has been sent as a whole counts as open. */
const SENT_RETENTION: Milliseconds = 1 * SECOND

interface KnownStream extends OpenStream {
  isRecorded: boolean
  /** Answers that have begun and not been sent as a whole: a caller may take a stream up before its node knows that it had left. */
  answers: number
  /** Time until which it is open. */
  end: Milliseconds
}

/**
 * Creates an empty set of streams.
 *
 * @example
 * const streams = createOpenStreams()
 * streams.begin('9c41d07be2a35f68', { origin: { service: 'plans', version: 'v2' }, until: limit.end, isInferable: () => false })
 */
export function createOpenStreams (): OpenStreams {
  const streams = new Map<StreamId, KnownStream>()

  function select (now: Milliseconds, isSelected: (known: KnownStream) => boolean): Map<StreamId, StreamOrigin> {
    const selected = new Map<StreamId, StreamOrigin>()
    for (const [stream, known] of streams) {
      if (known.end <= now) streams.delete(stream)
      else if (isSelected(known)) selected.set(stream, known.origin)
    }
    return selected
  }

  return {
    begin: (stream, opened) => {
      const isRecorded = !opened.isInferable()
      const answers = (streams.get(stream)?.answers ?? 0) + 1
      streams.delete(stream)
      streams.set(stream, { ...opened, isRecorded, answers, end: opened.until })
      evictOldest(streams, MAX_STREAMS)
      return isRecorded
    },
    end: (stream, now) => {
      const known = streams.get(stream)
      if (known === undefined) return
      known.answers -= 1
      if (known.answers === 0) known.end = Math.min(known.end, now + SENT_RETENTION)
    },
    takeDue: (now) => {
      const due = select(now, ({ isRecorded, isInferable }) => !isRecorded && !isInferable())
      for (const stream of due.keys()) streams.get(stream)!.isRecorded = true
      return due
    },
    recorded: (now) => select(now, ({ isRecorded }) => isRecorded)
  }
}
