/**
 * Remembers ended incarnations of upstreams across restores of the registry from a backup.
 *
 * Failure guarded against: an upstream leaves and its record is removed. The registry is then restored from a backup in
 * which the upstream is still ready, and requests are sent to an address where nothing or another upstream answers. The
 * restored record either lapses or is renewed by a live upstream within some seconds. Until then the incarnation is not
 * used.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { UpstreamIncarnation } from './types.js'

/** Incarnations that have ended. */
export interface EndedIncarnations {
  /** The record of the incarnation has been removed. */
  ended (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** The registry has been restored from a backup. */
  registryRestored (now: Milliseconds): void
  /** Whether a record of this incarnation may come from the backup, since the incarnation had ended before the restore. */
  mayBeStale (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
}

/** Backups are some seconds old, so an incarnation that ended earlier than this is in none of them. */
const RETENTION: Milliseconds = 30 * SECOND

/** Records lapse when three heartbeats are missed, and live upstreams write theirs again within two seconds. */
export const REGISTRY_SETTLE_TIME: Milliseconds = 5 * SECOND

/**
 * Creates an empty record of ended incarnations.
 *
 * @example
 * const endedIncarnations = createEndedIncarnations()
 * endedIncarnations.ended(record.incarnation, clock.now())
 */
export function createEndedIncarnations (): EndedIncarnations {
  const endedAt = new Map<UpstreamIncarnation, Milliseconds>()
  let lastRestoredAt: Milliseconds = -Infinity

  return {
    ended: (incarnation, now) => {
      for (const [other, at] of endedAt) if (now - at > RETENTION) endedAt.delete(other)
      endedAt.set(incarnation, now)
    },
    registryRestored: (now) => { lastRestoredAt = now },
    mayBeStale: (incarnation, now) => {
      const at = endedAt.get(incarnation)
      return at !== undefined && at <= lastRestoredAt && now - lastRestoredAt < REGISTRY_SETTLE_TIME
    }
  }
}
