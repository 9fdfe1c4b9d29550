/** One planning step: computes the next desired state from the configuration, the learnt state and the observed fleet. */
import type { Configuration, Service } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import { generationOfName, withOrders } from './desired-state.js'
import type { DesiredState, ServiceOrder, Slot, WantedOrder } from './desired-state.js'
import type { PlannerEvent } from './history.js'
import { countsOf, chooseStableMix } from './hysteresis.js'
import type { Learned } from './learned.js'
import { figuresOf } from './mix.js'
import type { Loss, MixProblem } from './mix.js'
import type { MixSolution } from './mix-search.js'
import { matchMixes, observeSlots } from './replacement.js'
import type { FleetObservation, ServiceMix } from './replacement.js'
import { problemOf } from './service-problem.js'
import { chooseMixes, outcomeOf } from './targets.js'
import type { TargetOutcome } from './targets.js'
import type { CloudInstance, Offer } from './types.js'

/** Input of a planning step. */
export interface PlanInput {
  readonly configuration: Configuration
  readonly state: DesiredState
  readonly learned: Learned
  /** Offers that are available for a service. Empty while they are unknown. */
  readonly offersFor: (service: Service) => readonly Offer[]
  readonly fleet: FleetObservation
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
  /** Fencing number of the held lease. */
  readonly fencing: number
  /** Highest generation reported by engines. */
  readonly reportedGeneration: number
}

/** Result of a planning step. */
export interface Plan {
  /** State to be written. The given state itself if nothing changes. */
  readonly state: DesiredState
  readonly outcome: TargetOutcome
  /** Needs of the services, for the order of weight loads, with the losses that cannot be survived. */
  readonly needs: readonly { readonly service: Service, readonly problem: MixProblem, readonly unsurvivable: readonly Loss[] }[]
  /** Changes, for the history. */
  readonly events: readonly PlannerEvent[]
}

/** A service with its problem and the chosen mix. */
interface ServiceDecision {
  readonly service: Service
  readonly problem: MixProblem
  readonly solution: MixSolution
  readonly counts: readonly number[]
  readonly chosen: DesiredState['mixes'][number]
}

const SECONDS_PER_HOUR = 3_600

/**
 * Computes the next desired state. The generation increases exactly when something changes.
 *
 * @example
 * const { state, events } = plan({ configuration, state, learned, offersFor, fleet, now, fencing, reportedGeneration })
 */
export function plan (input: PlanInput): Plan {
  const { state, fleet, now } = input
  const generation = nextGeneration(input)
  const observed = observeSlots([...state.slots, ...adoptedSlots(state, fleet.instances, now)], fleet, now)
  const decided = decideMixes(input, observed)
  const undecided = input.configuration.services.filter((service) => !decided.some((decision) => decision.service === service)).map((service) => service.name)
  const mixes: ServiceMix[] = decided.map(({ service, problem, counts }) => ({ service: service.name, problem, counts }))
  const next = keepIfUnchanged(state, {
    fencing: input.fencing,
    generation,
    mixes: [...state.mixes.filter((mix) => undecided.includes(mix.service)), ...decided.map((decision) => decision.chosen)],
    slots: matchMixes(observed, mixes, { ...fleet, undecided }, generation, now),
    orders: ordersOf(input, generation)
  })
  const outcome = outcomeFor(input, decided)
  return {
    state: next,
    outcome,
    needs: decided.map(({ service, problem, solution }) => ({ service, problem, unsurvivable: solution.unsurvivable })),
    events: next === state ? [] : eventsOf(state, next, decided)
  }
}

/**
 * Slots for instances of the group that are missing from the state and that no earlier state can have released: their
 * names are of a newer generation, or were not created by the planner. These are the first instances of a new
 * deployment, or all instances after the key-value service has lost its contents. They are adopted unchanged, so that
 * nothing is bought twice. A planner that was paused may find its successor's instances here. Compare-and-swap then
 * rejects its state.
 */
function adoptedSlots (state: DesiredState, instances: readonly CloudInstance[], now: Milliseconds): Slot[] {
  const known = new Set(state.slots.map((slot) => slot.name))
  const unknown = instances.filter(({ name }) => !known.has(name) && (generationOfName(name) ?? Infinity) > state.generation)
  return unknown.map(({ name, service, failureDomain, machineClass, market }) =>
    ({ name, service, offer: { failureDomain, machineClass, market }, state: 'wanted', since: now, started: true, reason: 'mix' }))
}

/** A generation above all known ones, so that names and orders are new even after the state was lost. */
function nextGeneration (input: PlanInput): number {
  const usedGenerations = input.fleet.instances.map((instance) => generationOfName(instance.name) ?? 0)
  return Math.max(input.state.generation, input.reportedGeneration, ...usedGenerations) + 1
}

function decideMixes (input: PlanInput, slots: readonly Slot[]): ServiceDecision[] {
  const { configuration, learned, now } = input
  const target = configuration.deployment.target
  const withOffers = configuration.services.map((service) => ({ service, offers: input.offersFor(service) })).filter(({ offers }) => offers.length > 0)
  const presentMixOf = (service: Service) => input.state.mixes.find((mix) => mix.service === service.name)
  const problems = withOffers.map(({ service, offers }) => {
    const chosenNeed = presentMixOf(service)?.need ?? 0
    return { service: service.name, problem: problemOf({ configuration, service, offers, learned, slots, chosenNeed, now }) }
  })
  const { solutions } = chooseMixes(problems, target, answersPerHour(input))
  return withOffers.map(({ service }, index) => {
    const best = solutions[index] as MixSolution
    // If the target is exceeded, the bound is what the best mixes need.
    const recomputedBound = Math.max(target.recomputed_per_thousand_tokens, best.figures.recomputed)
    const problem = { ...(problems[index] as { problem: Omit<MixProblem, 'recomputedBound'> }).problem, recomputedBound }
    const chosen = chooseStableMix(service.name, presentMixOf(service), problem, best, now)
    return { service, problem, solution: best, chosen, counts: countsOf(chosen, problem) }
  })
}

function outcomeFor (input: PlanInput, decided: readonly ServiceDecision[]): TargetOutcome {
  const problems = decided.map(({ service, problem }) => ({ service: service.name, problem }))
  const solutions = decided.map(({ problem, counts, solution }) => ({ ...solution, counts, figures: figuresOf(problem, counts) }))
  return outcomeOf(problems, solutions, input.configuration.deployment.target, answersPerHour(input))
}

function answersPerHour (input: PlanInput): number {
  return input.learned.demands.reduce((sum, { demand }) => sum + demand.requestsPerSecond, 0) * SECONDS_PER_HOUR
}

/**
 * Orders of the services. Unchanged orders keep their generation. If engines report a higher generation than the
 * state has, the state was lost and every order is issued anew.
 */
function ordersOf (input: PlanInput, generation: number): ServiceOrder[] {
  const known = input.reportedGeneration > input.state.generation ? [] : input.state.orders
  return withOrders(known, input.configuration.services.flatMap(wantedOrder), generation)
}

function wantedOrder (service: Service): WantedOrder[] {
  if (service.kind === 'plain') return []
  return [{ service: service.name, model: service.model, version: '1', adapters: service.adapters, role: 'mixed' }]
}

/** Returns the previous state if nothing but the generation differs. */
function keepIfUnchanged (before: DesiredState, after: DesiredState): DesiredState {
  const unchanged = JSON.stringify({ ...after, generation: before.generation }) === JSON.stringify(before)
  return unchanged ? before : after
}

function eventsOf (before: DesiredState, after: DesiredState, decided: readonly ServiceDecision[]): PlannerEvent[] {
  const events: PlannerEvent[] = []
  if (after.fencing !== before.fencing) events.push({ kind: 'lease-taken', fencing: after.fencing })
  for (const { service, problem, chosen, counts } of decided) {
    const present = before.mixes.find((mix) => mix.service === service.name)
    if (JSON.stringify(present?.instances) === JSON.stringify(chosen.instances)) continue
    events.push({ kind: 'mix', service: service.name, need: problem.need, costPerHour: figuresOf(problem, counts).costPerHour, instances: chosen.instances })
  }
  for (const order of after.orders) {
    if (!before.orders.some((known) => known.service === order.service && known.generation === order.generation)) events.push({ kind: 'order', service: order.service, model: order.model, generation: order.generation })
  }
  return [...events, ...slotEvents(before, after)]
}

function slotEvents (before: DesiredState, after: DesiredState): PlannerEvent[] {
  const known = new Map(before.slots.map((slot) => [slot.name, slot.state]))
  const changed = after.slots.filter((slot) => known.get(slot.name) !== slot.state)
  return [...new Set(changed.map((slot) => slot.service))].map((service) => {
    const changedSlots = changed.filter((slot) => slot.service === service)
    const draining = changedSlots.filter((slot) => slot.state === 'leaving')
    return {
      kind: 'instances',
      service,
      wanted: changedSlots.filter((slot) => slot.state === 'wanted').length,
      reclaimed: draining.filter((slot) => slot.reason === 'reclaim').length,
      draining: draining.filter((slot) => slot.reason !== 'reclaim').length,
      released: changedSlots.filter((slot) => slot.state === 'released').length
    }
  })
}
