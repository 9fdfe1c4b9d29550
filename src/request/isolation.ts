/**
 * Upstreams on which a suspect runs apart. The node that owns an upstream's name admits one suspect at a
 * time there, whichever node it comes from: two suspects of one crash that met again would both be named
 * by the second crash, the innocent one with the culprit.
 */
import type { Incarnation, UpstreamName } from '../identifiers.js'

/** Suspects in isolation, as the owner of the upstreams' names knows them. */
export interface Isolation {
  /** Admits a dispatch. Asking again under the same permit repeats the answer. @returns false when another suspect is there */
  enter (upstream: UpstreamName, permit: string, holder: Incarnation): boolean
  leave (upstream: UpstreamName, permit: string): void
  /** Frees what an unannounced death left behind. */
  holderGone (holder: Incarnation): void
}

/**
 * The node to ask is {@link fingerprintOwner} of {@link isolationSubject}.
 *
 * @example
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
    holderGone: (holder) => {
      for (const [upstream, occupant] of occupants) {
        if (occupant.holder === holder) occupants.delete(upstream)
      }
    }
  }
}

/** @example fingerprintOwner(isolationSubject(upstream), nodes) */
export function isolationSubject (upstream: UpstreamName): string {
  return `isolation/${upstream}`
}
