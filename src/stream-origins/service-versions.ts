/** Versions that the upstreams of each service had lately. A service with a single one leaves no doubt where a stream began. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { VersionsByService } from './checkpoint.js'

/** Versions as one node knows them: from the registry, and from the checkpoints of nodes. */
export interface ServiceVersions {
  /** The registry shows an upstream of this version. To be called regularly for as long as it does. */
  seen (service: string, version: string, now: Milliseconds): void
  /** Checkpoints name these versions. @param isComplete whether they name all at which a stream that is still resumed may have begun */
  recalled (versions: VersionsByService, isComplete: boolean, now: Milliseconds): void
  /** The registry has not been followed for a while. Versions may have come and gone unseen. */
  interrupted (): void
  /** Whether all versions are known at which a stream that is still resumed may have begun. */
  isComplete (now: Milliseconds): boolean
  /** The only version of the service in the last time; undefined if there were several, or if others may have been. */
  only (service: string, now: Milliseconds): string | undefined
  /** All versions that count, sorted. */
  recent (now: Milliseconds): VersionsByService
  /** What {@link ServiceVersions.only} goes by, for log lines. */
  facts (service: string, now: Milliseconds): VersionFacts
}

/** What a node knows of the versions of a service. */
export interface VersionFacts {
  /** Time for which the node has followed the registry without interruption; undefined if it has seen no upstream since. */
  readonly watchedFor: Milliseconds | undefined
  /** Versions that count, separated by spaces. */
  readonly versions: string
}

/** A stream that began longer ago is not resumed any more. */
export const VERSION_RETENTION: Milliseconds = 30 * SECOND

/**
 * Creates an observer that has seen no version.
 *
 * @example
 * const versions = createServiceVersions()
 * versions.seen('plans', 'v1', clock.now())
 */
export function createServiceVersions (): ServiceVersions {
  const services = new Map<string, Map<string, Milliseconds>>()
  let watchedSince: Milliseconds | undefined
  let isRecalled = false

  function add (service: string, version: string, now: Milliseconds): void {
    const seenAt = services.get(service) ?? new Map<string, Milliseconds>()
    services.set(service, seenAt)
    seenAt.set(version, now)
  }

  /** Versions of a service, without those that ended before the oldest stream that is still resumed began. */
  function versionsOf (service: string, now: Milliseconds): string[] {
    const seenAt = services.get(service) ?? new Map<string, Milliseconds>()
    for (const [version, at] of seenAt) if (now - at > VERSION_RETENTION) seenAt.delete(version)
    return [...seenAt.keys()].sort()
  }

  function isComplete (now: Milliseconds): boolean {
    return isRecalled || (watchedSince !== undefined && now - watchedSince >= VERSION_RETENTION)
  }

  return {
    seen: (service, version, now) => {
      watchedSince ??= now
      add(service, version, now)
    },
    recalled: (versions, isWhole, now) => {
      for (const [service, names] of Object.entries(versions)) for (const version of names) add(service, version, now)
      isRecalled ||= isWhole
    },
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
    recent: (now) => {
      const known = [...services.keys()].sort().map((service) => [service, versionsOf(service, now)] as const)
      return Object.fromEntries(known.filter(([, versions]) => versions.length > 0))
    },
    facts: (service, now) => ({
      watchedFor: watchedSince === undefined ? undefined : Math.round(now - watchedSince),
      versions: versionsOf(service, now).join(' ')
    })
  }
}
