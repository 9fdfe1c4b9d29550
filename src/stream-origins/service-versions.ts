/**
 * Versions that the upstreams of each service had lately, and services to which routes led. Where there was a single one, there is no doubt
 * where a stream began.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OriginCheckpoint } from './checkpoint.js'
import { createRecentValues } from './recent-values.js'

/** What a node has seen itself, as its checkpoint names it. */
export type SeenOrigins = Pick<OriginCheckpoint, 'versions' | 'destinations'>

/** Versions and destinations as one node knows them: from the registry, its streams, and the checkpoints of other nodes. */
export interface ServiceVersions {
  /** The registry shows an upstream of this version. To be called regularly for as long as it does. */
  seen (service: string, version: string, now: Milliseconds): void
  /** A stream began on this route at this service. */
  began (route: string, service: string, now: Milliseconds): void
  /** Another node's checkpoint names these. */
  recalled (named: SeenOrigins, now: Milliseconds): void
  /** The checkpoints that were read name all versions and destinations at which a stream that is still resumed may have begun. */
  completed (): void
  /** The registry is followed. To be called regularly for as long as it is. */
  watched (now: Milliseconds): void
  /** The registry has not been followed for a while. Versions may have come and gone unseen. */
  interrupted (): void
  /** Whether all versions are known at which a stream that is still resumed may have begun. */
  isComplete (now: Milliseconds): boolean
  /** The only version of the service in the last time; undefined if there were several, or if others may have been. */
  only (service: string, now: Milliseconds): string | undefined
  /** Whether streams that began on this route at any node lately began at this service alone, as far as the checkpoints tell. */
  beganOnlyAt (route: string, service: string, now: Milliseconds): boolean
  /** What this node has seen itself in the last time. */
  ownSeen (now: Milliseconds): SeenOrigins
  /** What {@link ServiceVersions.only} goes by, for log lines. */
  facts (service: string, now: Milliseconds): VersionFacts
}

/** What a node knows of the versions of a service. */
export interface VersionFacts {
  /** Time for which the node has followed the registry without interruption; undefined if it does not. */
  readonly watchedFor: Milliseconds | undefined
  /** Versions that count, separated by spaces. */
  readonly versions: string
}

/** A stream that began longer ago is not resumed any more. */
export const STREAM_RETENTION: Milliseconds = 30 * SECOND

/**
 * Creates an observer that has seen no version.
 *
 * @example
 * const versions = createServiceVersions()
 * versions.seen('plans', 'v1', clock.now())
 */
export function createServiceVersions (): ServiceVersions {
  const seenVersions = createRecentValues(STREAM_RETENTION)
  const recalledVersions = createRecentValues(STREAM_RETENTION)
  const ownDestinations = createRecentValues(STREAM_RETENTION)
  const recalledDestinations = createRecentValues(STREAM_RETENTION)
  let watchedSince: Milliseconds | undefined
  let isRecalled = false

  function versionsOf (service: string, now: Milliseconds): string[] {
    return [...new Set([...seenVersions.of(service, now), ...recalledVersions.of(service, now)])].sort()
  }

  function isComplete (now: Milliseconds): boolean {
    return isRecalled || (watchedSince !== undefined && now - watchedSince >= STREAM_RETENTION)
  }

  return {
    seen: seenVersions.add,
    began: ownDestinations.add,
    recalled: ({ versions, destinations }, now) => {
      for (const [service, names] of Object.entries(versions)) for (const version of names) recalledVersions.add(service, version, now)
      for (const [route, services] of Object.entries(destinations)) for (const service of services) recalledDestinations.add(route, service, now)
    },
    completed: () => { isRecalled = true },
    watched: (now) => { watchedSince ??= now },
    interrupted: () => {
      watchedSince = undefined
      isRecalled = false
    },
    isComplete,
    only: (service, now) => {
      if (!isComplete(now)) return undefined
      const [version, ...others] = versionsOf(service, now)
      return others.length === 0 ? version : undefined
    },
    beganOnlyAt: (route, service, now) => {
      const services = new Set([...ownDestinations.of(route, now), ...recalledDestinations.of(route, now)])
      return services.size === 1 && services.has(service)
    },
    ownSeen: (now) => ({ versions: seenVersions.all(now), destinations: ownDestinations.all(now) }),
    facts: (service, now) => ({
      watchedFor: watchedSince === undefined ? undefined : Math.round(now - watchedSince),
      versions: versionsOf(service, now).join(' ')
    })
  }
}
