/**
 * From a mix to instances: which slots to open, move, drain and release, and how to come by capacity
 * when offers refuse.
 *
 * Reaction to a refusal: the offer is held at what runs there until its back-off has passed, so the
 * next search of a mix finds the next cheapest domain, class or market by itself. When the back-off
 * has passed the offer counts again, and a mix that saves enough brings the service home: the cheaper
 * instance is started first, and the dearer one drained only when the rest carries the need.
 */
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { InstanceName, ServiceName } from '../identifiers.js'
import { mintName, mintedBy } from './desired-state.js'
import type { DesiredState, Slot } from './desired-state.js'
import { shortfallOf, withoutImpossible } from './mix.js'
import type { MixProblem } from './mix.js'
import type { CloudInstance, OfferKey } from './types.js'
import { offerKey } from './types.js'

/** What is seen of the instances. */
export interface FleetObservation {
  /** The cloud's list of the group, complete. */
  readonly instances: readonly CloudInstance[]
  /** Instances that serve their service's present order. */
  readonly serving: ReadonlySet<InstanceName>
  /** Instances without requests. */
  readonly idle: ReadonlySet<InstanceName>
  /** Names whose release the cloud has confirmed. */
  readonly released: ReadonlySet<InstanceName>
  /** Names that the cloud says have ended. */
  readonly ended?: ReadonlySet<InstanceName>
  /** Instances that do not answer although the cloud lists them, long enough to be given up. */
  readonly silent?: ReadonlySet<InstanceName>
  /** Services for which nothing can be decided now; their slots stay as they are. */
  readonly held?: readonly ServiceName[]
}

/** The mix wanted for a service. */
export interface ServiceMix {
  readonly service: ServiceName
  readonly problem: MixProblem
  /** Instances of each of the problem's offers. */
  readonly counts: readonly number[]
}

/** Slots under change. */
interface SlotDraft {
  readonly slots: Slot[]
  readonly generation: number
  readonly now: Milliseconds
  minted: number
}

/** A leaving instance is kept at least this long: every node must have heard that it leaves. */
export const SHORTEST_DRAIN: Milliseconds = 10 * SECOND

/** A leaving instance is released after this time whatever still runs there; its work is resumed elsewhere. */
export const LONGEST_DRAIN: Milliseconds = 10 * MINUTE

/** Shortfall below this is noise of floating point. */
const NOISE = 1e-6

/**
 * Instances of each of a problem's offers that are wanted and not leaving.
 *
 * @example
 * const counts = wantedCounts(state.slots, service, problem)
 */
export function wantedCounts (slots: readonly Slot[], service: ServiceName, problem: MixProblem): number[] {
  const wanted = slots.filter((slot) => slot.service === service && slot.state === 'wanted')
  return problem.offers.map((offer) => wanted.filter((slot) => offerKey(slot.offer) === offerKey(offer)).length)
}

/**
 * Brings the slots in line with what the cloud shows: what was started, taken back or has ended.
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
 * Opens, moves and drains slots until they match the mixes.
 *
 * @param generation generation of the state that is being made; new names carry it
 * @example
 * const slots = matchMixes(observed, mixes, fleet, state.generation + 1, clock.wall())
 */
export function matchMixes (slots: readonly Slot[], mixes: readonly ServiceMix[], fleet: FleetObservation, generation: number, now: Milliseconds): Slot[] {
  const draft = { slots: [...slots], generation, minted: 0, now }
  const services = new Set([...mixes.map((mix) => mix.service), ...fleet.held ?? []])
  draft.slots.forEach((slot, position) => {
    if (slot.state === 'wanted' && !services.has(slot.service)) draft.slots[position] = withdrawn(slot, now)
  })
  for (const mix of mixes) matchMix(draft, mix, fleet)
  return draft.slots
}

/**
 * Instances of the group that nobody wants: started by an order that came late.
 *
 * Failure guarded against: a planner that was paused takes what its successor started for strays,
 * and releases it. Names carry the generation that minted them; one that is newer than the state at
 * hand is no stray to whoever holds that state.
 *
 * @example
 * for (const name of strays(state, fleet.instances)) await cloud.release(name)
 */
export function strays (state: DesiredState, instances: readonly CloudInstance[]): InstanceName[] {
  const known = new Set(state.slots.map((slot) => slot.name))
  return instances
    .map((instance) => instance.name)
    .filter((name) => !known.has(name) && (mintedBy(name) ?? Infinity) <= state.generation)
}

function observeSlot (slot: Slot, instance: CloudInstance | undefined, fleet: FleetObservation, now: Milliseconds): Slot {
  if (slot.state === 'released') return slot
  if (instance === undefined) return slot.started || fleet.ended?.has(slot.name) ? { ...slot, state: 'released', since: now, reason: 'ended' } : slot
  const seen = { ...slot, started: true, offer: identityOf(instance) }
  if (slot.state === 'wanted' && instance.state === 'reclaiming') return { ...seen, state: 'leaving', since: now, reason: 'reclaim' }
  if (slot.state === 'wanted') return fleet.silent?.has(slot.name) ? { ...seen, state: 'leaving', since: now, reason: 'ended' } : seen
  if (slot.reason === 'reclaim') return seen
  const waited = now - slot.since
  const drained = waited >= SHORTEST_DRAIN && fleet.idle.has(slot.name)
  return drained || waited >= LONGEST_DRAIN ? { ...seen, state: 'released', since: now } : seen
}

function matchMix (draft: SlotDraft, mix: ServiceMix, fleet: FleetObservation): void {
  const groups = wantedByOffer(draft.slots, mix.service)
  const surplus = surplusOf(draft.slots, groups, mix, fleet)
  const movable = surplus.filter((position) => !draft.slots[position]?.started)
  mix.problem.offers.forEach((offer, index) => {
    const present = groups.get(offerKey(offer))?.length ?? 0
    for (let missing = (mix.counts[index] ?? 0) - present; missing > 0; missing -= 1) place(draft, mix.service, offer, movable.pop())
  })
  retire(draft, [...movable, ...surplus.filter((position) => draft.slots[position]?.started)], mix, fleet)
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

/** Positions beyond the mix; those that serve are kept before those that do not. */
function surplusOf (slots: readonly Slot[], groups: ReadonlyMap<OfferKey, readonly number[]>, mix: ServiceMix, fleet: FleetObservation): number[] {
  const counts = new Map(mix.problem.offers.map((offer, index) => [offerKey(offer), mix.counts[index] ?? 0]))
  const worth = (position: number): number => {
    const slot = slots[position] as Slot
    return fleet.serving.has(slot.name) ? 2 : Number(slot.started)
  }
  return [...groups].flatMap(([key, positions]) => [...positions].sort((left, right) => worth(right) - worth(left)).slice(counts.get(key) ?? 0))
}

/** Moves a slot that has not started, or opens a new one. The moved one keeps its name: it is still one need. */
function place (draft: SlotDraft, service: ServiceName, offer: Slot['offer'], position: number | undefined): void {
  const moved = position === undefined ? undefined : draft.slots[position]
  if (position !== undefined && moved !== undefined) draft.slots[position] = { ...moved, offer: identityOf(offer) }
  else draft.slots.push(openSlot(service, offer, draft.generation, draft.minted++, draft.now))
}

/** Drains surplus instances, one by one, as long as what serves without them carries the need. */
function retire (draft: SlotDraft, positions: readonly number[], mix: ServiceMix, fleet: FleetObservation): void {
  const { problem } = withoutImpossible(mix.problem)
  const serving = wantedCounts(draft.slots.filter((slot) => fleet.serving.has(slot.name)), mix.service, problem)
  for (const position of positions) {
    const slot = draft.slots[position] as Slot
    const index = problem.offers.findIndex((offer) => offerKey(offer) === offerKey(slot.offer))
    if (fleet.serving.has(slot.name) && index >= 0) {
      serving[index] = (serving[index] ?? 0) - 1
      if (shortfallOf(problem, serving) > NOISE) {
        serving[index] = (serving[index] ?? 0) + 1
        continue
      }
    }
    draft.slots[position] = withdrawn(slot, draft.now)
  }
}

function withdrawn (slot: Slot, now: Milliseconds): Slot {
  return { ...slot, state: slot.started ? 'leaving' : 'released', since: now, reason: 'mix' }
}

function openSlot (service: ServiceName, offer: Slot['offer'], generation: number, index: number, now: Milliseconds): Slot {
  return { name: mintName(service, generation, index), service, offer: identityOf(offer), state: 'wanted', since: now, started: false, reason: 'mix' }
}

function identityOf (offer: Slot['offer']): Slot['offer'] {
  return { failureDomain: offer.failureDomain, machineClass: offer.machineClass, market: offer.market }
}
