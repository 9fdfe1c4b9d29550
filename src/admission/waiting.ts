/** Attempts of one service that wait at a node, in the order in which they are to be dispatched. */
import type { Milliseconds } from '../clock.js'
import type { ClassName, OrganisationName, RequestId } from '../identifiers.js'
import type { AttemptDemand } from '../upstream/index.js'
import type { ClassState } from './class-state.js'
import type { PendingAttempt } from './types.js'

/** One waiting attempt. */
export interface WaitingAttempt {
  readonly attempt: PendingAttempt
  readonly classState: ClassState
  readonly demand: AttemptDemand
  /** Expected work, in milliseconds of one upstream. */
  readonly work: number
  /** Latest dispatch that is likely to meet the target. */
  readonly latestStart: Milliseconds
  /** Position: the latest start, moved back for what its organisation has had and has waiting. */
  readonly order: Milliseconds
  /** Since when it waits here. */
  readonly since: Milliseconds
}

/** The waiting attempts of one service. */
export interface WaitingList {
  add (entry: WaitingAttempt): void
  remove (id: RequestId): WaitingAttempt | undefined
  size (): number
  /** Expected work of all of them. */
  work (): number
  /** Expected work of one class of an organisation. */
  workOf (organisation: OrganisationName, requestClass: ClassName): number
  /** In order of dispatch; not to be changed. */
  entries (): readonly WaitingAttempt[]
  /**
   * First entry that would start too late if those before it are served at these rates, or -1.
   *
   * @param rate work done per millisecond
   * @param patientRate what is left of it for attempts that are not urgent, since urgent ones that are
   * still to come will go before them
   */
  firstLate (rate: number, patientRate: number, now: Milliseconds): number
}

/** Less is the rounding error of sums. */
const NO_WORK = 1e-6

/**
 * @example
 * const waiting = createWaitingList()
 * waiting.add(entry)
 * waiting.firstLate(rate, patientRate, now)
 */
export function createWaitingList (): WaitingList {
  const entries: WaitingAttempt[] = []
  const byId = new Map<RequestId, WaitingAttempt>()
  const flows = new Map<OrganisationName, Map<ClassName, number>>()
  let totalWork = 0

  function addWork (entry: WaitingAttempt, work: number): void {
    const { organisation, class: requestClass } = entry.attempt
    const classes = flows.get(organisation) ?? new Map<ClassName, number>()
    const sum = (classes.get(requestClass) ?? 0) + work
    totalWork += work
    flows.set(organisation, classes)
    classes.set(requestClass, sum)
    if (sum < NO_WORK) classes.delete(requestClass)
    if (classes.size === 0) flows.delete(organisation)
  }

  /** First index whose order is not smaller. */
  function position (order: Milliseconds): number {
    let low = 0
    let high = entries.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((entries[middle] as WaitingAttempt).order < order) low = middle + 1
      else high = middle
    }
    return low
  }

  return {
    add: (entry) => {
      let index = position(entry.order)
      while (index < entries.length && (entries[index] as WaitingAttempt).order === entry.order) index += 1
      entries.splice(index, 0, entry)
      byId.set(entry.attempt.id, entry)
      addWork(entry, entry.work)
    },
    remove: (id) => {
      const entry = byId.get(id)
      if (entry === undefined) return undefined
      byId.delete(id)
      addWork(entry, -entry.work)
      entries.splice(entries.indexOf(entry, position(entry.order)), 1)
      return entry
    },
    size: () => entries.length,
    work: () => totalWork,
    workOf: (organisation, requestClass) => flows.get(organisation)?.get(requestClass) ?? 0,
    entries: () => entries,
    firstLate: (rate, patientRate, now) => {
      let urgent = 0
      let patient = 0
      for (let index = 0; index < entries.length; index += 1) {
        const entry = entries[index] as WaitingAttempt
        const start = now + urgent / rate + patient / (entry.demand.urgent ? rate : patientRate)
        if (!entry.attempt.accepted && start > entry.latestStart) return index
        if (entry.demand.urgent) urgent += entry.work
        else patient += entry.work
      }
      return -1
    }
  }
}
