/** Upstreams that turned a request away and want nothing more from this node for a time that they named. */
import type { Milliseconds } from '../clock.js'
import type { UpstreamLife } from '../placement/index.js'

/** Pauses that upstreams have asked of this node. */
export interface RequestedPauses {
  /** It wants nothing more for so long. */
  heard (life: UpstreamLife, retryAfter: Milliseconds, now: Milliseconds): void
  /** Time until it wants requests again; 0 where it does now. */
  wait (life: UpstreamLife, now: Milliseconds): Milliseconds
}

/**
 * @example
 * const pauses = createRequestedPauses()
 * pauses.heard(upstream.life, 2_000, clock.now())
 */
export function createRequestedPauses (): RequestedPauses {
  const ends = new Map<UpstreamLife, Milliseconds>()
  return {
    heard: (life, retryAfter, now) => {
      for (const [known, end] of ends) if (end <= now) ends.delete(known)
      // Answers may overtake each other: the longer of two pauses was asked for as well.
      ends.set(life, Math.max(ends.get(life) ?? 0, now + retryAfter))
    },
    wait: (life, now) => Math.max(0, (ends.get(life) ?? 0) - now)
  }
}
