/**
 * Recent use of a service by organisation and class at one node, measured in expected work rather than requests.
 *
 * Use decays over time. Under overload the organisations with the lowest recent use are served first. Use that lies
 * further back, for example while there was spare capacity, no longer counts.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName, OrganisationName } from '../identifiers.js'

/** Recent use of one service. */
export interface FairShare {
  /**
   * Adds the work of an admitted attempt.
   *
   * @param work expected work, in milliseconds of one upstream
   */
  admitted (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void
  /** Subtracts the work of an attempt that was admitted but never dispatched. */
  returned (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void
  /** Recent work of an organisation. */
  ofOrganisation (organisation: OrganisationName, now: Milliseconds): number
  /** Recent work of one class of an organisation. */
  ofClass (organisation: OrganisationName, requestClass: ClassName, now: Milliseconds): number
  /** Recent work of an organisation relative to the mean of all organisations. 1 is an equal share. */
  relative (organisation: OrganisationName, now: Milliseconds): number
}

/** Time constant of the decay if none is given. */
const DEFAULT_TIME_CONSTANT: Milliseconds = 30 * SECOND

/** Organisations with less recent work than this are removed. In milliseconds of one upstream. */
const NEGLIGIBLE_WORK = 0.5

interface Use {
  work: number
  at: Milliseconds
}

interface OrganisationUse extends Use {
  readonly classes: Map<ClassName, Use>
}

/**
 * Creates an empty record of use.
 *
 * @param timeConstant time constant of the decay
 * @example
 * const shares = createFairShare()
 * shares.admitted(organisation, requestClass, work, now)
 * shares.relative(organisation, now)
 */
export function createFairShare (timeConstant: Milliseconds = DEFAULT_TIME_CONSTANT): FairShare {
  const organisations = new Map<OrganisationName, OrganisationUse>()
  const total: Use = { work: 0, at: 0 }

  function workOf (use: Use | undefined, now: Milliseconds): number {
    return use === undefined ? 0 : use.work * Math.exp((use.at - now) / timeConstant)
  }

  function addWork (use: Use, work: number, now: Milliseconds): void {
    use.work = Math.max(0, workOf(use, now) + work)
    use.at = now
  }

  function useOf (organisation: OrganisationName, now: Milliseconds): OrganisationUse {
    const known = organisations.get(organisation)
    if (known !== undefined) return known
    removeIdle(now)
    const created = { work: 0, at: now, classes: new Map<ClassName, Use>() }
    organisations.set(organisation, created)
    return created
  }

  function classUseOf (use: OrganisationUse, requestClass: ClassName, now: Milliseconds): Use {
    const known = use.classes.get(requestClass) ?? { work: 0, at: now }
    use.classes.set(requestClass, known)
    return known
  }

  /** Called when a new organisation appears, so that inactive ones do not accumulate. */
  function removeIdle (now: Milliseconds): void {
    for (const [name, use] of organisations) if (workOf(use, now) < NEGLIGIBLE_WORK) organisations.delete(name)
  }

  function add (organisation: OrganisationName, requestClass: ClassName, work: number, now: Milliseconds): void {
    const use = useOf(organisation, now)
    addWork(total, work, now)
    addWork(use, work, now)
    addWork(classUseOf(use, requestClass, now), work, now)
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
