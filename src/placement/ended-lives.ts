/**
 * Lives of upstreams that have ended, over returns of the registry from a copy.
 *
 * Failure guarded against: an upstream leaves and its record goes; the registry comes back from a copy in which it stands as
 * ready, and requests are sent to an address where nothing answers, or another upstream does. Its record lapses again, or
 * turns out to be alive, within some seconds; until then it isn't used.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { UpstreamLife } from './types.js'

/** Lives that are over. */
export interface EndedLives {
  /** The record of a life has gone. */
  ended (life: UpstreamLife, now: Milliseconds): void
  /** The registry has come back from a copy. */
  restored (now: Milliseconds): void
  /** The record of this life may be the copy's: it had ended before the return. */
  isDoubtful (life: UpstreamLife, now: Milliseconds): boolean
}

/** Copies are some seconds old: who ended longer before the return doesn't stand in one. */
const REMEMBERED: Milliseconds = 30 * SECOND

/** Records lapse after three heartbeats without one, and those of the living are written again within two seconds. */
export const SETTLED_AFTER: Milliseconds = 5 * SECOND

/**
 * @example
 * const lives = createEndedLives()
 * lives.ended(record.life, clock.now())
 */
export function createEndedLives (): EndedLives {
  const endedAt = new Map<UpstreamLife, Milliseconds>()
  let restoredAt: Milliseconds = -Infinity

  return {
    ended: (life, now) => {
      for (const [other, at] of endedAt) if (now - at > REMEMBERED) endedAt.delete(other)
      endedAt.set(life, now)
    },
    restored: (now) => { restoredAt = now },
    isDoubtful: (life, now) => {
      const at = endedAt.get(life)
      return at !== undefined && at <= restoredAt && now - restoredAt < SETTLED_AFTER
    }
  }
}
