/** Follows the versions of the services' upstreams in the registry. */
import type { Clock, Milliseconds } from '../clock.js'
import type { UpstreamRecord } from '../placement/index.js'
import { createServiceVersions } from '../stream-origins/index.js'
import type { SeenOrigins, ServiceVersions, VersionFacts } from '../stream-origins/index.js'
import type { PrefixSubscription } from './follow.js'

/** Versions of the services' upstreams, as this node knows them. */
export interface VersionWatch extends Pick<ServiceVersions, 'completed'> {
  /** The registry has delivered this record. */
  seen (record: UpstreamRecord): void
  /** Begins to take the age of the view of upstreams from this subscription. */
  follow (subscription: PrefixSubscription): void
  /**
   * Takes what the registry shows now. To be called regularly.
   *
   * @returns whether the registry is followed; if not, versions may come and go unseen
   */
  update (): boolean
  /** A stream of this node began on this route at this service. */
  began (route: string, service: string): void
  /** Another node's checkpoint names these. */
  recalled (named: SeenOrigins): void
  /** Whether all versions are known at which a stream that is still resumed may have begun. */
  isComplete (): boolean
  /** Whether streams that began on this route lately began at this service alone, as far as the checkpoints tell. */
  beganOnlyAt (route: string, service: string): boolean
  /** What this node has seen itself in the last time. */
  ownSeen (): SeenOrigins
  /** The only version of a service; undefined if there may be several, or if the view of upstreams is older than `maxAge`. */
  only (service: string, maxAge: Milliseconds): string | undefined
  facts (service: string): VersionFacts
  /** Time since the store last confirmed the view of upstreams; undefined before the first time. */
  viewAge (): Milliseconds | undefined
}

/** Options of {@link createVersionWatch}. */
export interface VersionWatchOptions {
  readonly clock: Clock
  /** All upstreams in the registry. */
  readonly present: () => readonly UpstreamRecord[]
  /** Age of the view of upstreams from which on the registry counts as not followed. */
  readonly maxAge: Milliseconds
}

/**
 * Creates a watch that has seen no version.
 *
 * @example
 * const versions = createVersionWatch({ clock, present: upstreams.all, maxAge: 4 * SECOND })
 * versions.follow(subscription)
 */
export function createVersionWatch ({ clock, present, maxAge }: VersionWatchOptions): VersionWatch {
  const versions = createServiceVersions()
  let subscription: PrefixSubscription | undefined
  let isFollowed = false
  let updatedAt = -Infinity

  function viewAge (): Milliseconds | undefined {
    const contactAt = subscription?.lastContactAt()
    return contactAt === undefined ? undefined : Math.round(clock.now() - contactAt)
  }

  function isFresh (limit: Milliseconds): boolean {
    return (viewAge() ?? Infinity) <= limit
  }

  return {
    seen: ({ service, version }) => versions.seen(service, version, clock.now()),
    follow: (followed) => { subscription = followed },
    update: () => {
      const now = clock.now()
      const wasFollowed = isFollowed
      // A process that was frozen has not followed it either.
      isFollowed = isFresh(maxAge) && (!wasFollowed || now - updatedAt <= maxAge)
      updatedAt = now
      if (wasFollowed && !isFollowed) versions.interrupted()
      if (!isFollowed) return false
      versions.watched(now)
      for (const { service, version } of present()) versions.seen(service, version, now)
      return true
    },
    began: (route, service) => versions.began(route, service, clock.now()),
    recalled: (named) => versions.recalled(named, clock.now()),
    completed: versions.completed,
    isComplete: () => versions.isComplete(clock.now()),
    beganOnlyAt: (route, service) => versions.beganOnlyAt(route, service, clock.now()),
    ownSeen: () => versions.ownSeen(clock.now()),
    only: (service, limit) => isFresh(limit) ? versions.only(service, clock.now()) : undefined,
    facts: (service) => versions.facts(service, clock.now()),
    viewAge
  }
}
