/**
 * A wall clock that the nodes agree on: the median of their wall clocks, carried on by the steady clock.
 *
 * Failure guarded against: the time of day jumps by seconds on some machines, and usage would be counted in
 * windows that are over or haven't begun. A jump moves one sample of several; the median stays.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'

/** Wall time by agreement. */
export interface SharedWall {
  /** A message that was written at the sender's wall time `wall` came at the steady time `now`. */
  observe (sender: string, wall: Milliseconds, now: Milliseconds): void
  /** Other nodes have agreed among themselves on the wall time `wall`, as told at the steady time `now`. */
  agree (wall: Milliseconds, now: Milliseconds): void
  /** Agreed wall time; `ownWall` is this machine's at the steady time `now`. */
  at (ownWall: Milliseconds, now: Milliseconds): Milliseconds
}

/** What others have agreed on holds for this time without news; a steady clock strays by far less than a window in it. */
const AGREED_KEPT: Milliseconds = 10 * SECOND

/** Samples of nodes that weren't heard of for this time are dropped. */
const KEPT: Milliseconds = MINUTE

/**
 * @example
 * const wall = createSharedWall()
 * wall.observe(message.from, message.wall, clock.now())
 * wall.at(clock.wall(), clock.now())
 */
export function createSharedWall (): SharedWall {
  const offsets = new Map<string, { offset: Milliseconds, at: Milliseconds }>()
  let agreed: { readonly offset: Milliseconds, readonly at: Milliseconds } | undefined
  return {
    agree: (wall, now) => { agreed = { offset: wall - now, at: now } },
    observe: (sender, wall, now) => { offsets.set(sender, { offset: wall - now, at: now }) },
    at: (ownWall, now) => {
      if (agreed !== undefined && now - agreed.at < AGREED_KEPT) return now + agreed.offset
      for (const [sender, { at }] of offsets) if (now - at > KEPT) offsets.delete(sender)
      const sorted = [...offsets.values()].map(({ offset }) => offset)
      sorted.push(ownWall - now)
      sorted.sort((left, right) => left - right)
      return now + sorted[Math.floor((sorted.length - 1) / 2)]!
    }
  }
}
