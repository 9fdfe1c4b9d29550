/** Feed of an engine stand-in's cache changes, with a delay, bounded retention and optional gaps. */
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { CacheEvent } from '../../src/protocols/engine.js'
import type { Random } from '../../src/random.js'
import type { CacheChange } from './prefix-cache.js'

/** Cache changes, numbered in sequence. */
export interface CacheFeed {
  push (change: CacheChange): void
  /** @returns the events after a sequence number that are older than the feed's delay */
  after (sequence: number): { events: CacheEvent[], next: number }
}

interface TimedEvent {
  readonly at: Milliseconds
  readonly event: CacheEvent
}

/** The oldest event is dropped beyond this number, so a reader that falls behind sees a gap. */
const MAX_RETAINED_EVENTS = 4_096

const MAX_EVENTS_PER_RESPONSE = 512

/**
 * Creates an empty feed.
 *
 * @param options.gaps fraction of events that are dropped
 * @example
 * const feed = createCacheFeed({ clock, random, delay: 200, gaps: () => 0 })
 */
export function createCacheFeed (options: { clock: Clock, random: Random, delay: Milliseconds, gaps: () => number }): CacheFeed {
  const { clock, random, delay, gaps } = options
  const retained: TimedEvent[] = []
  let sequence = 0

  return {
    push: (change) => {
      sequence += 1
      if (gaps() > 0 && random.fraction() < gaps()) return
      retained.push({ at: clock.now(), event: { sequence, kind: change.kind, blocks: [...change.blocks] } })
      if (retained.length > MAX_RETAINED_EVENTS) retained.shift()
    },
    after: (from) => {
      const due = retained.filter((timed) => timed.event.sequence > from && timed.at <= clock.now() - delay)
      const events = due.slice(0, MAX_EVENTS_PER_RESPONSE).map((timed) => timed.event)
      return { events, next: events.at(-1)?.sequence ?? from }
    }
  }
}
