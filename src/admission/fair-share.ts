/**
 * Fair shares of a service at one node: by organisation first, then by class within it, in expected
 * work rather than requests. A flow that has been admitted more than its share is ahead by the time
 * its work would take at that share.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName, OrganisationName } from '../identifiers.js'

/** Shares of one service. */
export interface FairShare {
  /** How far a flow is ahead of its share. */
  lead (organisation: OrganisationName, requestClass: ClassName, now: Milliseconds): Milliseconds
  /** @param rate work that the node can have done per millisecond */
  admitted (organisation: OrganisationName, requestClass: ClassName, work: number, rate: number, now: Milliseconds): void
  /** Takes back what was admitted but never dispatched. */
  returned (organisation: OrganisationName, requestClass: ClassName, work: number, rate: number, now: Milliseconds): void
  /** Whether more than one organisation has work. */
  contended (now: Milliseconds): boolean
}

/** Work used while nobody else wanted the capacity is not held against a flow for longer. */
const LONGEST_LEAD: Milliseconds = 15 * SECOND

interface Flow {
  /** When the flow's admitted work would end at its share. */
  finish: Milliseconds
}

type Flows = Map<ClassName, Flow>

/**
 * @example
 * const shares = createFairShare()
 * shares.admitted(organisation, requestClass, work, rate, now)
 * shares.lead(organisation, requestClass, now)
 */
export function createFairShare (): FairShare {
  const organisations = new Map<OrganisationName, Flows>()

  function flowOf (organisation: OrganisationName, requestClass: ClassName): Flow {
    const flows = organisations.get(organisation) ?? new Map<ClassName, Flow>()
    organisations.set(organisation, flows)
    const flow = flows.get(requestClass) ?? { finish: 0 }
    flows.set(requestClass, flow)
    return flow
  }

  function forgetIdle (now: Milliseconds): void {
    for (const [organisation, flows] of organisations) {
      for (const [requestClass, flow] of flows) if (flow.finish <= now) flows.delete(requestClass)
      if (flows.size === 0) organisations.delete(organisation)
    }
  }

  /** Part of the node's capacity that is a flow's while all others use theirs. */
  function partOf (organisation: OrganisationName): number {
    return 1 / (organisations.size * (organisations.get(organisation)?.size ?? 1))
  }

  return {
    lead: (organisation, requestClass, now) => {
      const flow = organisations.get(organisation)?.get(requestClass)
      return flow === undefined ? 0 : Math.max(0, flow.finish - now)
    },
    admitted: (organisation, requestClass, work, rate, now) => {
      forgetIdle(now)
      const flow = flowOf(organisation, requestClass)
      const finish = Math.max(now, flow.finish) + work / (rate * partOf(organisation))
      flow.finish = Math.min(finish, now + LONGEST_LEAD)
    },
    returned: (organisation, requestClass, work, rate, now) => {
      const flow = organisations.get(organisation)?.get(requestClass)
      if (flow !== undefined) flow.finish = Math.max(now, flow.finish - work / (rate * partOf(organisation)))
    },
    contended: (now) => {
      forgetIdle(now)
      return organisations.size > 1
    }
  }
}
