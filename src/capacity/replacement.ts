/**
 * Translates mixes into slots: which instances to start, move, drain and release, also when offers refuse to start
 * instances.
 *
 * When an offer refuses, it is limited to its running instances until its back-off has passed, so the next search
 * uses the next cheapest domain, class or market. After the back-off the offer is available again, and a mix that
 * saves enough moves the service back. The cheaper instance is started first, and the more expensive one is drained
 * only when the remaining instances carry the need.
 */
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { InstanceName, ServiceName } from '../identifiers.js'
import { createInstanceName, generationOfName } from './desired-state.js'
import type { DesiredState, Slot } from './desired-state.js'
import { shortfallOf, limitToFeasible } from './mix.js'
import type { MixProblem } from './mix.js'
import type { CloudInstance, OfferKey } from './types.js'
import { offerKey } from './types.js'

/** Observed state of the instances. */
export interface FleetObservation {
  /** Complete list of the group's instances from the cloud. */
  readonly instances: readonly CloudInstance[]
  /** Instances that serve their service's current order. */
  readonly serving: ReadonlySet<InstanceName>
  /** Instances without requests. */
  readonly idle: ReadonlySet<InstanceName>
  /** Names of instances whose release the cloud has confirmed. */
  readonly released: ReadonlySet<InstanceName>
  /** Names of instances that have ended according to the cloud. */
  readonly ended?: ReadonlySet<InstanceName>
  /** Instances that the cloud lists but that have not answered for long enough to be replaced. */
  readonly silent?: ReadonlySet<InstanceName>
  /** Services for which nothing can be decided now. Their slots are left unchanged. */
  readonly undecided?: readonly ServiceName[]
}

/** The wanted mix of a service. */
export interface ServiceMix {
  readonly service: ServiceName
  readonly problem: MixProblem
  /** Number of instances of each of the problem's offers. */
  readonly counts: readonly number[]
}

/** Mutable list of slots. */
interface SlotDraft {
  readonly slots: Slot[]
  readonly generation: number
  readonly now: Milliseconds
  namesCreated: number
}

/** Minimum time between draining and release, within which every node learns that the instance is leaving. */
export const MIN_DRAIN_TIME: Milliseconds = 10 * SECOND

/**
 * Time after which a draining instance is released even if requests still run on it. They are resumed on other
 * instances.
 */
export const MAX_DRAIN_TIME: Milliseconds = 10 * MINUTE

/** Shortfalls up to this value are floating-point rounding errors. */
const SHORTFALL_TOLERANCE = 1e-6

/**
 * Number of wanted instances of each of a problem's offers. Leaving instances are not included.
 *
 * @example
 * const counts = wantedCounts(state.slots, service, problem)
 */
export function wantedCounts (slots: readonly Slot[], service: ServiceName, problem: MixProblem): number[] {
  const wanted = slots.filter((slot) => slot.service === service && slot.state === 'wanted')
  return problem.offers.map((offer) => wanted.filter((slot) => offerKey(slot.offer) === offerKey(offer)).length)
}

/**
 * Updates the slots from the cloud's list: started, reclaimed and ended instances.
 *
 * @example
 * const slots = observeSlots(state.slots, fleet, clock.wall())
 */
export function observeSlots (slots: readonly Slot[], fleet: FleetObservation, now: Milliseconds): Slot[] {
  const instances = new Map(fleet.instances.map((instance) => [instance.name, instance]))
  return slots
    .map((slot) => observeSlot(slot, instances.get(slot.name), fleet, now))
    .filter((slot) => slot.state !== 'released' || instances.has(slot.name) || !fleet.released.has(slot.name))
}

/**
 * Creates, moves and drains slots until they match the mixes.
 *
 * @param generation generation of the state that is being made; new names contain it
 * @example
 * const slots = matchMixes(observed, mixes, fleet, state.generation + 1, clock.wall())
 */
export function matchMixes (slots: readonly Slot[], mixes: readonly ServiceMix[], fleet: FleetObservation, generation: number, now: Milliseconds): Slot[] {
  const draft = { slots: [...slots], generation, namesCreated: 0, now }
  const services = new Set([...mixes.map((mix) => mix.service), ...fleet.undecided ?? []])
  draft.slots.forEach((slot, position) => {
    if (slot.state === 'wanted' && !services.has(slot.service)) draft.slots[position] = withdrawSlot(slot, now)
  })
  for (const mix of mixes) matchMix(draft, mix, fleet)
  return draft.slots
}

/**
 * Names of stray instances of the group, which are not wanted and were started by a late order.
 *
 * Failure guarded against: a planner that was paused takes its successor's instances for strays and releases them.
 * Names contain the generation that created them. An instance of a newer generation than the given state is not a
 * stray.
 *
 * @example
 * for (const name of findStrays(state, fleet.instances)) await cloud.release(name)
 */
export function findStrays (state: DesiredState, instances: readonly CloudInstance[]): InstanceName[] {
  const known = new Set(state.slots.map((slot) => slot.name))
  return instances
    .map((instance) => instance.name)
    .filter((name) => !known.has(name) && (generationOfName(name) ?? Infinity) <= state.generation)
}

function observeSlot (slot: Slot, instance: CloudInstance | undefined, fleet: FleetObservation, now: Milliseconds): Slot {
  if (slot.state === 'released') return slot
  if (instance === undefined) return slot.started || fleet.ended?.has(slot.name) ? { ...slot, state: 'released', since: now, reason: 'ended' } : slot
  const seen = { ...slot, started: true, offer: identityOf(instance) }
  if (slot.state === 'wanted' && instance.state === 'reclaiming') return { ...seen, state: 'leaving', since: now, reason: 'reclaim' }
  if (slot.state === 'wanted') return fleet.silent?.has(slot.name) ? { ...seen, state: 'leaving', since: now, reason: 'ended' } : seen
  if (slot.reason === 'reclaim') return seen
  const waited = now - slot.since
  const drained = waited >= MIN_DRAIN_TIME && fleet.idle.has(slot.name)
  return drained || waited >= MAX_DRAIN_TIME ? { ...seen, state: 'released', since: now } : seen
}

function matchMix (draft: SlotDraft, mix: ServiceMix, fleet: FleetObservation): void {
  const groups = wantedByOffer(draft.slots, mix.service)
  const surplus = findSurplus(draft.slots, groups, mix, fleet)
  const movable = surplus.filter((position) => !draft.slots[position]?.started)
  mix.problem.offers.forEach((offer, index) => {
    const present = groups.get(offerKey(offer))?.length ?? 0
    for (let missing = (mix.counts[index] ?? 0) - present; missing > 0; missing -= 1) fillNeed(draft, mix.service, offer, movable.pop())
  })
  drainSurplus(draft, [...movable, ...surplus.filter((position) => draft.slots[position]?.started)], mix, fleet)
}

function wantedByOffer (slots: readonly Slot[], service: ServiceName): Map<OfferKey, number[]> {
  const groups = new Map<OfferKey, number[]>()
  slots.forEach((slot, position) => {
    if (slot.service !== service || slot.state !== 'wanted') return
    const key = offerKey(slot.offer)
    groups.set(key, [...groups.get(key) ?? [], position])
  })
  return groups
}

/** Positions of the slots that exceed the mix. Serving instances are kept before others. */
function findSurplus (slots: readonly Slot[], groups: ReadonlyMap<OfferKey, readonly number[]>, mix: ServiceMix, fleet: FleetObservation): number[] {
  const counts = new Map(mix.problem.offers.map((offer, index) => [offerKey(offer), mix.counts[index] ?? 0]))
  const keepPriority = (position: number): number => {
    const slot = slots[position] as Slot
    return fleet.serving.has(slot.name) ? 2 : Number(slot.started)
  }
  return [...groups].flatMap(([key, positions]) => [...positions].sort((left, right) => keepPriority(right) - keepPriority(left)).slice(counts.get(key) ?? 0))
}

/**
 * Moves a slot that has not started to another offer, or creates a new slot. A moved slot keeps its name, because it
 * still covers the same need.
 */
function fillNeed (draft: SlotDraft, service: ServiceName, offer: Slot['offer'], position: number | undefined): void {
  const moved = position === undefined ? undefined : draft.slots[position]
  if (position !== undefined && moved !== undefined) draft.slots[position] = { ...moved, offer: identityOf(offer) }
  else draft.slots.push(createSlot(service, offer, draft.generation, draft.namesCreated++, draft.now))
}

/** Drains surplus instances one by one, as long as the remaining serving instances carry the need. */
function drainSurplus (draft: SlotDraft, positions: readonly number[], mix: ServiceMix, fleet: FleetObservation): void {
  const { problem } = limitToFeasible(mix.problem)
  const serving = wantedCounts(draft.slots.filter((slot) => fleet.serving.has(slot.name)), mix.service, problem)
  for (const position of positions) {
    const slot = draft.slots[position] as Slot
    const index = problem.offers.findIndex((offer) => offerKey(offer) === offerKey(slot.offer))
    if (fleet.serving.has(slot.name) && index >= 0) {
      serving[index] = (serving[index] ?? 0) - 1
      if (shortfallOf(problem, serving) > SHORTFALL_TOLERANCE) {
        serving[index] = (serving[index] ?? 0) + 1
        continue
      }
    }
    draft.slots[position] = withdrawSlot(slot, draft.now)
  }
}

function withdrawSlot (slot: Slot, now: Milliseconds): Slot {
  return { ...slot, state: slot.started ? 'leaving' : 'released', since: now, reason: 'mix' }
}

function createSlot (service: ServiceName, offer: Slot['offer'], generation: number, index: number, now: Milliseconds): Slot {
  return { name: createInstanceName(service, generation, index), service, offer: identityOf(offer), state: 'wanted', since: now, started: false, reason: 'mix' }
}

function identityOf (offer: Slot['offer']): Slot['offer'] {
  return { failureDomain: offer.failureDomain, machineClass: offer.machineClass, market: offer.market }
}
