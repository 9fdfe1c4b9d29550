/**
 * A wall clock shared by the nodes: the median of their wall clocks, advanced by the monotonic clock.
 *
 * Failure guarded against: the time of day jumps by seconds on some instances, and usage would be counted in windows that
 * have ended or have not begun. A jump changes one of several samples, so the median stays the same.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'

/** Wall time that the nodes agree on. All times `now` are monotonic times of this node. */
export interface SharedWallClock {
  /** Adds a sample: a message written at the sender's wall time `wall` arrived at `now`. */
  observe (sender: string, wall: Milliseconds, now: Milliseconds): void
  /** Takes over the wall time `wall` that other nodes agreed on, as received at `now`. */
  setAgreed (wall: Milliseconds, now: Milliseconds): void
  /** Returns the shared wall time at `now`; `ownWall` is this instance's wall time at `now`. */
  at (ownWall: Milliseconds, now: Milliseconds): Milliseconds
}

/**
 * How long a wall time taken over from others is used. The drift of a monotonic clock in this time is far less than a usage
 * window.
 */
const AGREED_RETENTION: Milliseconds = 10 * SECOND

/** Samples of nodes without a message for this time are dropped. */
const SAMPLE_RETENTION: Milliseconds = MINUTE

/**
 * Creates a clock without samples, which shows this instance's own wall time.
 *
 * @example
 * const wall = createSharedWallClock()
 * wall.observe(message.from, message.wall, clock.now())
 * wall.at(clock.wall(), clock.now())
 */
export function createSharedWallClock (): SharedWallClock {
  const offsets = new Map<string, { offset: Milliseconds, at: Milliseconds }>()
  let agreed: { readonly offset: Milliseconds, readonly at: Milliseconds } | undefined
  return {
    setAgreed: (wall, now) => { agreed = { offset: wall - now, at: now } },
    observe: (sender, wall, now) => { offsets.set(sender, { offset: wall - now, at: now }) },
    at: (ownWall, now) => {
      if (agreed !== undefined && now - agreed.at < AGREED_RETENTION) return now + agreed.offset
      for (const [sender, { at }] of offsets) if (now - at > SAMPLE_RETENTION) offsets.delete(sender)
      const sorted = [...offsets.values()].map(({ offset }) => offset)
      sorted.push(ownWall - now)
      sorted.sort((left, right) => left - right)
      return now + sorted[Math.floor((sorted.length - 1) / 2)]!
    }
  }
}
