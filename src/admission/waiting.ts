/** Queue of the attempts of one service that wait at a node, in order of dispatch. */
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
  /** Latest time of dispatch that is likely to meet the target. */
  readonly latestStart: Milliseconds
  /** Sort key: the latest start, plus a delay for the recent use and the waiting work of the organisation. */
  readonly order: Milliseconds
  /** Time at which the attempt was added to the queue. */
  readonly since: Milliseconds
}

/** The waiting attempts of one service. */
export interface WaitingList {
  add (entry: WaitingAttempt): void
  /** Removes and returns an attempt, if it waits. */
  remove (id: RequestId): WaitingAttempt | undefined
  size (): number
  /** Expected work of all waiting attempts. */
  work (): number
  /** Expected work of the waiting attempts of one class of an organisation. */
  workOf (organisation: OrganisationName, requestClass: ClassName): number
  /** The waiting attempts in order of dispatch. The array is live and must not be modified. */
  entries (): readonly WaitingAttempt[]
  /**
   * Index of the first attempt that would start too late if all attempts before it were served at the given rates, or
   * -1. Accepted attempts never count as late.
   *
   * @param rate work done per millisecond
   * @param nonUrgentRate share of the rate that is left for attempts without urgency. Urgent attempts that have not
   * arrived yet will be served before them.
   */
  firstLate (rate: number, nonUrgentRate: number, now: Milliseconds): number
}

/** Sums below this are rounding errors and count as 0. */
const WORK_EPSILON = 1e-6

/**
 * Creates an empty queue.
 *
 * @example
 * const waiting = createWaitingList()
 * waiting.add(entry)
 * waiting.firstLate(rate, nonUrgentRate, now)
 */
export function createWaitingList (): WaitingList {
  const entries: WaitingAttempt[] = []
  const byId = new Map<RequestId, WaitingAttempt>()
  const workByOrganisation = new Map<OrganisationName, Map<ClassName, number>>()
  let totalWork = 0

  function addWork (entry: WaitingAttempt, work: number): void {
    const { organisation, class: requestClass } = entry.attempt
    const classes = workByOrganisation.get(organisation) ?? new Map<ClassName, number>()
    const sum = (classes.get(requestClass) ?? 0) + work
    totalWork += work
    workByOrganisation.set(organisation, classes)
    classes.set(requestClass, sum)
    if (sum < WORK_EPSILON) classes.delete(requestClass)
    if (classes.size === 0) workByOrganisation.delete(organisation)
  }

  /** Index of the first entry whose sort key is not smaller. */
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
    workOf: (organisation, requestClass) => workByOrganisation.get(organisation)?.get(requestClass) ?? 0,
    entries: () => entries,
    firstLate: (rate, nonUrgentRate, now) => {
      let urgentWork = 0
      let nonUrgentWork = 0
      for (let index = 0; index < entries.length; index += 1) {
        const entry = entries[index] as WaitingAttempt
        const start = now + urgentWork / rate + nonUrgentWork / (entry.demand.urgent ? rate : nonUrgentRate)
        if (!entry.attempt.accepted && start > entry.latestStart) return index
        if (entry.demand.urgent) urgentWork += entry.work
        else nonUrgentWork += entry.work
      }
      return -1
    }
  }
}
