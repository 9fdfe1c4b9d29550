/** Start and release orders to the cloud, as the written desired state has them. */
import { recordRefusal, clearRefusal, offerKey, startOrderFor, findStrays } from '../capacity/index.js'
import type { CloudInstance, OfferKey, PlannerEvent, Slot } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { InstanceName } from '../identifiers.js'
import type { PlannerContext, Tenure } from './context.js'

/** What came of the start orders. */
export interface StartResult {
  readonly started: readonly CloudInstance[]
  readonly events: readonly PlannerEvent[]
}

/** An order is sent only while the lease is held for at least this long: the bound on one call. */
export const ORDER_MARGIN: Milliseconds = 3 * SECOND

/**
 * Whether this tenure may still act.
 *
 * Failure guarded against: a planner that was paused goes on where it stopped. It looks at its own
 * clock before every order; what slips through between the look and the order is harmless, since a
 * name is started once and a released name is never wanted again.
 *
 * @example
 * if (!mayAct(context, tenure)) return
 */
export function mayAct (context: PlannerContext, tenure: Tenure): boolean {
  return !context.signal.aborted && context.leadership.held(ORDER_MARGIN)?.fencing === tenure.fencing
}

/**
 * Starts what is wanted and not there yet. An offer that refuses is not asked again in this round.
 *
 * @param instances what the cloud lists
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
    if (!mayAct(context, tenure)) break
    const answer = await start(context, slot)
    if (answer === undefined) continue
    switch (answer.kind) {
      case 'started':
        started.push(answer.instance)
        tenure.learned = { ...tenure.learned, refusals: clearRefusal(tenure.learned.refusals, key) }
        break
      case 'refused':
        refused.add(key)
        tenure.learned = { ...tenure.learned, refusals: recordRefusal(tenure.learned.refusals, key, context.clock.wall(), context.random) }
        events.push({ kind: 'start-refused', service: slot.service, offer: slot.offer, reason: answer.reason })
        break
      case 'ended':
        tenure.ended.add(slot.name)
        break
    }
  }
  return { started, events }
}

/**
 * Gives back what is released, and what nobody wants.
 *
 * @example
 * const events = await releaseUnwanted(context, tenure, instances)
 */
export async function releaseUnwanted (context: PlannerContext, tenure: Tenure, instances: readonly CloudInstance[]): Promise<PlannerEvent[]> {
  const unwanted = findStrays(tenure.state, instances)
  const present = new Set(instances.map((instance) => instance.name))
  const given = tenure.state.slots.filter((slot) => slot.state === 'released' && (present.has(slot.name) || !tenure.released.has(slot.name)))
  const events: PlannerEvent[] = []
  for (const name of [...given.map((slot) => slot.name), ...unwanted]) {
    if (!mayAct(context, tenure)) break
    const confirmed = await release(context, name)
    if (confirmed) tenure.released.add(name)
    if (confirmed && unwanted.includes(name)) events.push({ kind: 'stray', instance: name })
  }
  forgetDropped(tenure)
  return events
}

/** A lost reply leaves the name as it is: the next look shows it, or the order is sent again. */
async function start (context: PlannerContext, slot: Slot) {
  return await context.cloud.start(startOrderFor(slot, context.settings.group), context.signal).catch(() => undefined)
}

async function release (context: PlannerContext, name: InstanceName): Promise<boolean> {
  return await context.cloud.release(name, context.signal).then(() => true, () => false)
}

/** Names that the state has dropped need not be remembered. */
function forgetDropped (tenure: Tenure): void {
  const known = new Set(tenure.state.slots.map((slot) => slot.name))
  for (const names of [tenure.released, tenure.ended]) {
    for (const name of names) {
      if (!known.has(name)) names.delete(name)
    }
  }
}
