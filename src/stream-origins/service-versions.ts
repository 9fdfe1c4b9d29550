/** Versions that the upstreams of each service had lately. A service with a single one leaves no doubt where a stream began. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Versions as one node has seen them in the registry. */
export interface ServiceVersions {
  /** The registry shows an upstream of this version. To be called with each heartbeat. */
  seen (service: string, version: string, now: Milliseconds): void
  /** The only version of the service in the last time; undefined if there were several, or if they have not been watched for long enough. */
  only (service: string, now: Milliseconds): string | undefined
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

  return {
    seen: (service, version, now) => {
      const observed = services.get(service) ?? { since: now, seenAt: new Map() }
      services.set(service, observed)
      observed.seenAt.set(version, now)
    },
    only: (service, now) => {
      const observed = services.get(service)
      if (observed === undefined || now - observed.since < MIN_OBSERVATION) return undefined
      for (const [version, at] of observed.seenAt) if (now - at > RETENTION) observed.seenAt.delete(version)
      const [version, ...others] = observed.seenAt.keys()
      return others.length === 0 ? version : undefined
    }
  }
}
