/**
 * Upstream incarnations that have announced in an answer that they are shutting down.
 *
 * Failure guarded against: while the store is unavailable, a departing upstream cannot update its record, so the
 * record still says 'ready' and requests keep arriving until the process ends. The announcement is therefore also
 * taken from answers and shared between nodes. It is never revoked, because an incarnation that starts to leave
 * does not return.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { evictOldest } from '../evict-oldest.js'
import { upstreamIncarnationSchema } from '../placement/index.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** Incarnations whose departure a node learnt from their own answers. */
export const reportedDeparturesSchema = z.array(upstreamIncarnationSchema)
export type ReportedDepartures = z.infer<typeof reportedDeparturesSchema>

/** The departures that one node knows of. */
export interface Departures {
  /**
   * Records that an answer announced the departure.
   *
   * @returns whether the departure was not known before
   */
  heard (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /** Whether the incarnation is known to be leaving. */
  isLeaving (incarnation: UpstreamIncarnation): boolean
  /** Departures that this node learnt from answers within the last 30 seconds, to be reported to other nodes. */
  told (now: Milliseconds): ReportedDepartures
  /**
   * Adds departures that other nodes have reported.
   *
   * @returns the incarnations that were not known before
   */
  observe (others: readonly ReportedDepartures[]): UpstreamIncarnation[]
}

/** Time for which a node reports a departure. By the end of it every node that was present has received the report. */
const REPORT_PERIOD: Milliseconds = 30 * SECOND

/** Maximum number of departures kept. The oldest ones are evicted beyond it. */
const MAX_INCARNATIONS = 1_000

/**
 * Creates an empty set of departures.
 *
 * @example
 * const departures = createDepartures()
 * departures.heard(incarnation, clock.now())
 */
export function createDepartures (): Departures {
  const leaving = new Set<UpstreamIncarnation>()
  const heardAt = new Map<UpstreamIncarnation, Milliseconds>()

  function add (incarnation: UpstreamIncarnation): boolean {
    if (leaving.has(incarnation)) return false
    leaving.add(incarnation)
    evictOldest(leaving, MAX_INCARNATIONS)
    return true
  }

  return {
    heard: (incarnation, now) => {
      if (!heardAt.has(incarnation)) heardAt.set(incarnation, now)
      return add(incarnation)
    },
    isLeaving: (incarnation) => leaving.has(incarnation),
    told: (now) => {
      for (const [incarnation, at] of heardAt) if (now - at >= REPORT_PERIOD) heardAt.delete(incarnation)
      return [...heardAt.keys()]
    },
    observe: (others) => others.flat().filter(add)
  }
}
