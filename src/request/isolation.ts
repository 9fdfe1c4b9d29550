/**
 * Upstreams that run a suspect in isolation.
 *
 * The node that owns an upstream's name admits one suspect at a time to the upstream, from whichever node it comes.
 * If two suspects of one crash ran on the same upstream again, a second crash would count against both, and the
 * harmless one would be quarantined as well.
 */
import type { Incarnation, UpstreamName } from '../identifiers.js'

/** The suspects in isolation, known to the owner of the upstreams' names. */
export interface Isolation {
  /**
   * Admits a dispatch. Asking again with the same permit gives the same result.
   *
   * @returns false if another suspect runs on the upstream
   */
  enter (upstream: UpstreamName, permit: string, holder: Incarnation): boolean
  leave (upstream: UpstreamName, permit: string): void
  /** Removes the suspects of a node that has died. */
  releaseHolder (holder: Incarnation): void
}

/**
 * Creates a registry without suspects. The node to ask about an upstream is the {@link fingerprintOwner} of its
 * {@link isolationSubject}.
 *
 * @example
 * const isolation = createIsolation()
 * if (!isolation.enter(upstream, permitName(id, 2), holder)) tryAnotherUpstream()
 */
export function createIsolation (): Isolation {
  const occupants = new Map<UpstreamName, { permit: string, holder: Incarnation }>()
  return {
    enter: (upstream, permit, holder) => {
      const occupant = occupants.get(upstream)
      if (occupant !== undefined) return occupant.permit === permit
      occupants.set(upstream, { permit, holder })
      return true
    },
    leave: (upstream, permit) => {
      if (occupants.get(upstream)?.permit === permit) occupants.delete(upstream)
    },
    releaseHolder: (holder) => {
      for (const [upstream, occupant] of occupants) {
        if (occupant.holder === holder) occupants.delete(upstream)
      }
    }
  }
}

/**
 * Subject by which the owner of an upstream's name is ranked.
 *
 * @example
 * fingerprintOwner(isolationSubject(upstream), nodes)
 */
export function isolationSubject (upstream: UpstreamName): string {
  return `isolation/${upstream}`
}
