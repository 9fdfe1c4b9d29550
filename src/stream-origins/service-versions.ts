/** Versions that the upstreams of each service had lately. A service with a single one leaves no doubt where a stream began. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Versions as one node has seen them in the registry. */
export interface ServiceVersions {
  /** The registry shows an upstream of this version. To be called with each heartbeat. */
  seen (service: string, version: string, now: Milliseconds): void
  /** The only version of the service in the last time; undefined if there were several, or if they have not been watched for long enough. */
  only (service: string, now: Milliseconds): string | undefined
  /** What {@link ServiceVersions.only} goes by, for log lines. */
  facts (service: string, now: Milliseconds): VersionFacts
}

/** What a node has seen of the versions of a service. */
export interface VersionFacts {
  /** Time for which the node has watched the service; undefined if it has seen no upstream of it. */
  readonly watchedFor: Milliseconds | undefined
  /** Versions that count, separated by spaces. */
  readonly versions: string
}

/** A stream that began longer ago is not resumed any more. */
const RETENTION: Milliseconds = 30 * SECOND

/** Until a node has watched a service for this time, another version may have ended just before. */
const MIN_OBSERVATION: Milliseconds = 3 * SECOND

interface ObservedService {
  readonly since: Milliseconds
  readonly seenAt: Map<string, Milliseconds>
}

/**
 * Creates an observer that has seen no version.
 *
 * @example
 * const versions = createServiceVersions()
 * versions.seen('plans', 'v1', clock.now())
 */
export function createServiceVersions (): ServiceVersions {
  const services = new Map<string, ObservedService>()

  /** Forgets versions that ended before the oldest stream that is still resumed began. */
  function removeExpired (seenAt: Map<string, Milliseconds>, now: Milliseconds): void {
    for (const [version, at] of seenAt) if (now - at > RETENTION) seenAt.delete(version)
  }

  return {
    seen: (service, version, now) => {
      const observed = services.get(service) ?? { since: now, seenAt: new Map() }
      services.set(service, observed)
      observed.seenAt.set(version, now)
    },
    only: (service, now) => {
      const observed = services.get(service)
      if (observed === undefined || now - observed.since < MIN_OBSERVATION) return undefined
      removeExpired(observed.seenAt, now)
      const [version, ...others] = observed.seenAt.keys()
      return others.length === 0 ? version : undefined
    },
    facts: (service, now) => {
      const observed = services.get(service)
      if (observed === undefined) return { watchedFor: undefined, versions: '' }
      removeExpired(observed.seenAt, now)
      return { watchedFor: Math.round(now - observed.since), versions: [...observed.seenAt.keys()].join(' ') }
    }
  }
}
