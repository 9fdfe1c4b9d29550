/** How common the parts of prompts are: fractions of a node's recent requests that hold each part. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { PartId } from './types.js'

/** Fractions of recent requests by part. */
export interface PartShares {
  /** Counts a request with these parts. */
  add (parts: readonly PartId[], now: Milliseconds): void
  /** Fraction of the recent requests that hold the part. */
  of (part: PartId): number
}

/** Requests are counted over the present period and the one before it. */
const PERIOD: Milliseconds = 30 * SECOND

/** Maximum number of parts that are counted in a period. Further ones count as rare. */
const MAX_PARTS = 4_096

/** With fewer requests, shares are taken as if there were so many. */
const MIN_REQUESTS = 40

interface Period {
  readonly since: Milliseconds
  requests: number
  readonly parts: Map<PartId, number>
}

/**
 * Creates shares without any requests.
 *
 * @example
 * const shares = createPartShares()
 * shares.add(['5c1e07a2'], clock.now())
 */
export function createPartShares (): PartShares {
  let present: Period = emptyPeriod(0)
  let previous: Period = emptyPeriod(0)

  function advance (now: Milliseconds): void {
    if (now - present.since < PERIOD) return
    previous = now - present.since < 2 * PERIOD ? present : emptyPeriod(now)
    present = emptyPeriod(now)
  }

  return {
    add: (parts, now) => {
      advance(now)
      present.requests += 1
      for (const part of new Set(parts)) {
        const count = present.parts.get(part)
        if (count !== undefined || present.parts.size < MAX_PARTS) present.parts.set(part, (count ?? 0) + 1)
      }
    },
    of: (part) => {
      const requests = (present.parts.get(part) ?? 0) + (previous.parts.get(part) ?? 0)
      return requests / Math.max(MIN_REQUESTS, present.requests + previous.requests)
    }
  }
}

function emptyPeriod (since: Milliseconds): Period {
  return { since, requests: 0, parts: new Map() }
}
