/**
 * What each organisation and class had of a service lately at one node, in expected work rather than
 * requests, with slow forgetting. Whoever had least comes first when not all can be served; what was
 * used long ago, or while nobody else wanted it, is not held against anybody.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName, OrganisationName } from '../identifiers.js'

/** Use of one service. */
export interface FairShare {
  /** @param work expected, in milliseconds of one upstream */
  admitted (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void
  /** Takes back what was admitted but never dispatched. */
  returned (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void
  /** Work of an organisation lately. */
  ofOrganisation (organisation: OrganisationName, now: Milliseconds): number
  /** Work of one class of an organisation lately. */
  ofClass (organisation: OrganisationName, requestClass: ClassName, now: Milliseconds): number
  /** An organisation's use over that of the mean, 1 for an equal share. */
  relative (organisation: OrganisationName, now: Milliseconds): number
}

/** Use is forgotten with this time constant. */
const MEMORY: Milliseconds = 30 * SECOND

/** Less work than this is forgotten altogether. */
const NOTHING = 0.5

interface Use {
  work: number
  at: Milliseconds
}

interface OrganisationUse extends Use {
  readonly classes: Map<ClassName, Use>
}

/**
 * @example
 * const shares = createFairShare()
 * shares.admitted(organisation, requestClass, work, now)
 * shares.relative(organisation, now)
 */
export function createFairShare (): FairShare {
  const organisations = new Map<OrganisationName, OrganisationUse>()
  const total: Use = { work: 0, at: 0 }

  function useOf (organisation: OrganisationName, now: Milliseconds): OrganisationUse {
    const known = organisations.get(organisation)
    if (known !== undefined) return known
    forgetIdle(now)
    const created = { work: 0, at: now, classes: new Map<ClassName, Use>() }
    organisations.set(organisation, created)
    return created
  }

  function classUseOf (use: OrganisationUse, requestClass: ClassName, now: Milliseconds): Use {
    const known = use.classes.get(requestClass) ?? { work: 0, at: now }
    use.classes.set(requestClass, known)
    return known
  }

  /** Runs when an organisation appears, so that those that went do not pile up. */
  function forgetIdle (now: Milliseconds): void {
    for (const [name, use] of organisations) if (workOf(use, now) < NOTHING) organisations.delete(name)
  }

  function add (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void {
    const use = useOf(organisation, now)
    change(total, work, now)
    change(use, work, now)
    change(classUseOf(use, requestClass, now), work, now)
  }

  return {
    admitted: add,
    returned: (organisation, requestClass, work, now) => add(organisation, requestClass, -work, now),
    ofOrganisation: (organisation, now) => workOf(organisations.get(organisation), now),
    ofClass: (organisation, requestClass, now) => workOf(organisations.get(organisation)?.classes.get(requestClass), now),
    relative: (organisation, now) => {
      const mean = workOf(total, now) / Math.max(1, organisations.size)
      return mean === 0 ? 1 : workOf(organisations.get(organisation), now) / mean
    }
  }
}

function workOf (use: Use | undefined, now: Milliseconds): number {
  return use === undefined ? 0 : use.work * Math.exp((use.at - now) / MEMORY)
}

function change (use: Use, work: number, now: Milliseconds): void {
  use.work = Math.max(0, workOf(use, now) + work)
  use.at = now
}
