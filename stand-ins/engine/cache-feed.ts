/** Feed of an engine stand-in's cache changes: late, bounded, and with gaps when told so. */
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { CacheEvent } from '../../src/protocols/engine.js'
import type { Random } from '../../src/random.js'
import type { CacheChange } from './prefix-cache.js'

/** Numbered changes. */
export interface CacheFeed {
  push (change: CacheChange): void
  /** Events that are old enough to be told, after a sequence number. */
  after (sequence: number): { events: CacheEvent[], next: number }
}

interface TimedEvent {
  readonly at: Milliseconds
  readonly event: CacheEvent
}

/** Events kept; a reader that falls behind sees a gap. */
const KEPT_EVENTS = 4_096

/** Events in one answer. */
const MOST_EVENTS = 512

/**
 * @param options.gaps share of events that are never told
 * @example
 * const feed = createCacheFeed({ clock, random, delay: 200, gaps: () => 0 })
 */
export function createCacheFeed (options: { clock: Clock, random: Random, delay: Milliseconds, gaps: () => number }): CacheFeed {
  const { clock, random, delay, gaps } = options
  const kept: TimedEvent[] = []
  let sequence = 0

  return {
    push: (change) => {
      sequence += 1
      if (gaps() > 0 && random.fraction() < gaps()) return
      kept.push({ at: clock.now(), event: { sequence, kind: change.kind, blocks: [...change.blocks] } })
      if (kept.length > KEPT_EVENTS) kept.shift()
    },
    after: (from) => {
      const due = kept.filter((timed) => timed.event.sequence > from && timed.at <= clock.now() - delay)
      const events = due.slice(0, MOST_EVENTS).map((timed) => timed.event)
      return { events, next: events.at(-1)?.sequence ?? from }
    }
  }
}
