/** Sends the start and release orders to the cloud that follow from the written desired state. */
import { recordRefusal, clearRefusal, offerKey, startOrderFor, findStrays } from '../capacity/index.js'
import type { CloudInstance, OfferKey, PlannerEvent, Slot } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { InstanceName } from '../identifiers.js'
import type { PlannerContext, Tenure } from './context.js'

/** Result of the start orders. */
export interface StartResult {
  readonly started: readonly CloudInstance[]
  readonly events: readonly PlannerEvent[]
}

/** Minimum remaining time of the lease for an order to be sent. Equals the time limit of one call. */
export const ORDER_MARGIN: Milliseconds = 3 * SECOND

/**
 * Whether the lease of this tenure is still held, so that orders may be sent.
 *
 * Failure guarded against: a planner that was paused resumes and sends orders although its lease has ended. The planner
 * therefore checks the lease by its own clock before every order. An order that is delayed between the check and its
 * arrival is harmless, because an instance name is started only once and a released name is never wanted again.
 *
 * @example
 * if (!holdsLease(context, tenure)) return
 */
export function holdsLease (context: PlannerContext, tenure: Tenure): boolean {
  return !context.signal.aborted && context.leadership.held(ORDER_MARGIN)?.fencing === tenure.fencing
}

/**
 * Starts the instances that are wanted and do not exist yet. After a refusal, no more instances of that offer are
 * started in this call.
 *
 * @param instances instances that the cloud lists
 * @example
 * const { started, events } = await startWanted(context, tenure, instances)
 */
export async function startWanted (context: PlannerContext, tenure: Tenure, instances: readonly CloudInstance[]): Promise<StartResult> {
  const present = new Set(instances.map((instance) => instance.name))
  const refused = new Set<OfferKey>()
  const started: CloudInstance[] = []
  const events: PlannerEvent[] = []
  for (const slot of tenure.state.slots) {
    const key = offerKey(slot.offer)
    if (slot.state !== 'wanted' || slot.started || present.has(slot.name) || tenure.ended.has(slot.name) || refused.has(key)) continue
    if (!holdsLease(context, tenure)) break
    const result = await startInstance(context, slot)
    if (result === undefined) continue
    switch (result.kind) {
      case 'started':
        started.push(result.instance)
        tenure.learned = { ...tenure.learned, refusals: clearRefusal(tenure.learned.refusals, key) }
        break
      case 'refused':
        refused.add(key)
        tenure.learned = { ...tenure.learned, refusals: recordRefusal(tenure.learned.refusals, key, context.clock.wall(), context.random) }
        events.push({ kind: 'start-refused', service: slot.service, offer: slot.offer, reason: result.reason })
        break
      case 'ended':
        tenure.ended.add(slot.name)
        break
    }
  }
  return { started, events }
}

/**
 * Releases the instances that the desired state releases, and stray instances that it does not contain.
 *
 * @returns an event for each stray instance that was released
 * @example
 * const events = await releaseUnwanted(context, tenure, instances)
 */
export async function releaseUnwanted (context: PlannerContext, tenure: Tenure, instances: readonly CloudInstance[]): Promise<PlannerEvent[]> {
  const strays = findStrays(tenure.state, instances)
  const present = new Set(instances.map((instance) => instance.name))
  const toRelease = tenure.state.slots.filter((slot) => slot.state === 'released' && (present.has(slot.name) || !tenure.released.has(slot.name)))
  const events: PlannerEvent[] = []
  for (const name of [...toRelease.map((slot) => slot.name), ...strays]) {
    if (!holdsLease(context, tenure)) break
    const confirmed = await releaseInstance(context, name)
    if (confirmed) tenure.released.add(name)
    if (confirmed && strays.includes(name)) events.push({ kind: 'stray', instance: name })
  }
  forgetRemoved(tenure)
  return events
}

/** Returns undefined if the reply is lost. The next cycle then finds the instance in the list or repeats the order. */
async function startInstance (context: PlannerContext, slot: Slot) {
  return await context.cloud.start(startOrderFor(slot, context.settings.group), context.signal).catch(() => undefined)
}

/** Returns whether the cloud confirmed the release. */
async function releaseInstance (context: PlannerContext, name: InstanceName): Promise<boolean> {
  return await context.cloud.release(name, context.signal).then(() => true, () => false)
}

/** Forgets released and ended names that are no longer in the desired state. */
function forgetRemoved (tenure: Tenure): void {
  const known = new Set(tenure.state.slots.map((slot) => slot.name))
  for (const names of [tenure.released, tenure.ended]) {
    for (const name of names) {
      if (!known.has(name)) names.delete(name)
    }
  }
}
