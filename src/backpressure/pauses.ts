/** Pauses that upstreams request from this node when they refuse a request (Retry-After). */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** Pauses that upstreams have requested from this node. */
export interface RequestedPauses {
  /** Records that the upstream wants no requests from this node for `retryAfter` milliseconds. */
  heard (incarnation: UpstreamIncarnation, retryAfter: Milliseconds, now: Milliseconds): void
  /** Milliseconds until the upstream accepts requests from this node again. 0 if it does now. */
  wait (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds
}

/**
 * Creates a registry of requested pauses.
 *
 * @example
 * const pauses = createRequestedPauses()
 * pauses.heard(incarnation, 2_000, clock.now())
 */
export function createRequestedPauses (): RequestedPauses {
  const ends = new Map<UpstreamIncarnation, Milliseconds>()
  return {
    heard: (incarnation, retryAfter, now) => {
      for (const [known, end] of ends) if (end <= now) ends.delete(known)
      // Answers may arrive out of order, so the longer of two requested pauses applies.
      ends.set(incarnation, Math.max(ends.get(incarnation) ?? 0, now + retryAfter))
    },
    wait: (incarnation, now) => Math.max(0, (ends.get(incarnation) ?? 0) - now)
  }
}
