/** One decision of the planner: from what is wanted, learnt and seen to what is wanted next. */
import type { Configuration, Service } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import { mintedBy, withOrders } from './desired-state.js'
import type { DesiredState, ServiceOrder, Slot, WantedOrder } from './desired-state.js'
import type { PlannerEvent } from './history.js'
import { countsOf, steadyMix } from './hysteresis.js'
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

/** What a decision is made from. */
export interface PlanInput {
  readonly configuration: Configuration
  readonly state: DesiredState
  readonly learned: Learned
  /** What the cloud sells for a service; empty while it is not known. */
  readonly offersFor: (service: Service) => readonly Offer[]
  readonly fleet: FleetObservation
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
  /** Fencing number of the lease that is held. */
  readonly fencing: number
  /** Highest generation that engines report. */
  readonly reportedGeneration: number
}

/** A decision. */
export interface Plan {
  /** The state to write; the one given when nothing changes. */
  readonly state: DesiredState
  readonly outcome: TargetOutcome
  /** Needs of the services, for the order of weight loads, with the losses that cannot be survived. */
  readonly needs: readonly { readonly service: Service, readonly problem: MixProblem, readonly unsurvivable: readonly Loss[] }[]
  /** What changed, for the history. */
  readonly events: readonly PlannerEvent[]
}

/** A service with its problem and the mix it is brought towards. */
interface Decided {
  readonly service: Service
  readonly problem: MixProblem
  readonly solution: MixSolution
  readonly counts: readonly number[]
  readonly chosen: DesiredState['mixes'][number]
}

const ANSWERS_PER_HOUR = 3_600

/**
 * Decides what is wanted next. The state's generation rises exactly when something changes.
 *
 * @example
 * const { state, events } = plan({ configuration, state, learned, offersFor, fleet, now, fencing, reportedGeneration })
 */
export function plan (input: PlanInput): Plan {
  const { state, fleet, now } = input
  const generation = nextGeneration(input)
  const observed = observeSlots([...state.slots, ...adopted(state, fleet.instances, now)], fleet, now)
  const decided = decideMixes(input, observed)
  const held = input.configuration.services.filter((service) => !decided.some((one) => one.service === service)).map((service) => service.name)
  const mixes: ServiceMix[] = decided.map(({ service, problem, counts }) => ({ service: service.name, problem, counts }))
  const next = settle(state, {
    fencing: input.fencing,
    generation,
    mixes: [...state.mixes.filter((mix) => held.includes(mix.service)), ...decided.map((one) => one.chosen)],
    slots: matchMixes(observed, mixes, { ...fleet, held }, generation, now),
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
 * Instances of the group that the state does not know and that no older state can have given up:
 * those of the deployment's first day, and all of them after the key-value service has lost its
 * contents. They are taken over as they are, so that nothing is bought a second time. A planner that
 * was paused may find its successor's instances here; its state is then refused by compare-and-swap.
 */
function adopted (state: DesiredState, instances: readonly CloudInstance[], now: Milliseconds): Slot[] {
  const known = new Set(state.slots.map((slot) => slot.name))
  const unknown = instances.filter(({ name }) => !known.has(name) && (mintedBy(name) ?? Infinity) > state.generation)
  return unknown.map(({ name, service, failureDomain, machineClass, market }) =>
    ({ name, service, offer: { failureDomain, machineClass, market }, state: 'wanted', since: now, started: true, reason: 'mix' }))
}

/** Above every generation that was ever seen, so that names and orders are new also after the state was lost. */
function nextGeneration (input: PlanInput): number {
  const minted = input.fleet.instances.map((instance) => mintedBy(instance.name) ?? 0)
  return Math.max(input.state.generation, input.reportedGeneration, ...minted) + 1
}

function decideMixes (input: PlanInput, slots: readonly Slot[]): Decided[] {
  const { configuration, learned, now } = input
  const target = configuration.deployment.target
  const sold = configuration.services.map((service) => ({ service, offers: input.offersFor(service) })).filter(({ offers }) => offers.length > 0)
  const presentOf = (service: Service) => input.state.mixes.find((mix) => mix.service === service.name)
  const problems = sold.map(({ service, offers }) => {
    const chosenNeed = presentOf(service)?.need ?? 0
    return { service: service.name, problem: problemOf({ configuration, service, offers, learned, slots, chosenNeed, now }) }
  })
  const { solutions } = chooseMixes(problems, target, answersPerHour(input))
  return sold.map(({ service }, index) => {
    const best = solutions[index] as MixSolution
    // Where the targets give, the bound is what the chosen mixes need.
    const recomputedBound = Math.max(target.recomputed_per_thousand_tokens, best.figures.recomputed)
    const problem = { ...(problems[index] as { problem: Omit<MixProblem, 'recomputedBound'> }).problem, recomputedBound }
    const chosen = steadyMix(service.name, presentOf(service), problem, best, now)
    return { service, problem, solution: best, chosen, counts: countsOf(chosen, problem) }
  })
}

function outcomeFor (input: PlanInput, decided: readonly Decided[]): TargetOutcome {
  const problems = decided.map(({ service, problem }) => ({ service: service.name, problem }))
  const solutions = decided.map(({ problem, counts, solution }) => ({ ...solution, counts, figures: figuresOf(problem, counts) }))
  return outcomeOf(problems, solutions, input.configuration.deployment.target, answersPerHour(input))
}

function answersPerHour (input: PlanInput): number {
  return input.learned.demands.reduce((sum, { demand }) => sum + demand.requestsPerSecond, 0) * ANSWERS_PER_HOUR
}

/**
 * A service whose order is in force at a generation above the state's own keeps it only in the
 * state; when engines report a higher generation than the state knows, every order is made anew.
 */
function ordersOf (input: PlanInput, generation: number): ServiceOrder[] {
  const known = input.reportedGeneration > input.state.generation ? [] : input.state.orders
  return withOrders(known, input.configuration.services.flatMap(wantedOrder), generation)
}

function wantedOrder (service: Service): WantedOrder[] {
  if (service.kind === 'plain') return []
  return [{ service: service.name, model: service.model, version: '1', adapters: service.adapters, role: 'mixed' }]
}

/** The old state itself when nothing but its number would change. */
function settle (before: DesiredState, after: DesiredState): DesiredState {
  const unchanged = JSON.stringify({ ...after, generation: before.generation }) === JSON.stringify(before)
  return unchanged ? before : after
}

function eventsOf (before: DesiredState, after: DesiredState, decided: readonly Decided[]): PlannerEvent[] {
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
    const own = changed.filter((slot) => slot.service === service)
    const draining = own.filter((slot) => slot.state === 'leaving')
    return {
      kind: 'instances',
      service,
      wanted: own.filter((slot) => slot.state === 'wanted').length,
      reclaimed: draining.filter((slot) => slot.reason === 'reclaim').length,
      draining: draining.filter((slot) => slot.reason !== 'reclaim').length,
      released: own.filter((slot) => slot.state === 'released').length
    }
  })
}
