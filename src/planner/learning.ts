/** Updates the learnt state from an observation: demand, capacities, reclaims and recomputed tokens. */
import { learnedCapacity, capacityOf, demandOf, learnCapacity, observeDemand, observeReclaims, targetsOf, withCapacity, withDemand, withRecomputed } from '../capacity/index.js'
import type { DesiredState, DomainObservation, Learned, Slot } from '../capacity/index.js'
import type { Configuration, Service } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import type { FailureDomain, ServiceName } from '../identifiers.js'
import type { KnownEngine } from './context.js'
import type { ServiceRates } from './demand-reader.js'

/** Observations since the last update. */
export interface LearningInput {
  readonly configuration: Configuration
  readonly rates: ReadonlyMap<ServiceName, ServiceRates>
  readonly engines: Iterable<KnownEngine>
  /** Desired state before this cycle's decision. */
  readonly before: DesiredState
  /** Desired state after this cycle's decision. */
  readonly after: DesiredState
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
}

/**
 * Updates the learnt state from the observations of one cycle.
 *
 * @example
 * const learned = learn(tenure.learned, input)
 */
export function learn (learned: Learned, input: LearningInput): Learned {
  const reclaimed = newlyReclaimed(input)
  let next: Learned = { ...learned, reclaims: observeReclaims(learned.reclaims, input.now, observationsByDomain(input, reclaimed)) }
  for (const service of input.configuration.services) {
    const lost = reclaimed.filter((slot) => slot.service === service.name).map((slot) => lostCapacity(learned, service, slot, input))
    const rates = input.rates.get(service.name)
    next = withRecomputed(next, service.name, rates?.recomputedTokens ?? 0, lost)
    if (rates === undefined) continue
    const sample = { at: input.now, requestsPerSecond: rates.requestsPerSecond, workPerSecond: rates.workPerSecond }
    next = withDemand(next, service.name, observeDemand(demandOf(next, service.name), sample))
    next = learnCapacities(next, service, rates, input)
  }
  return next
}

/** Capacity of a lost instance in work per second, as in the mix problem. 0 if the capacity has not been learnt yet. */
function lostCapacity (learned: Learned, service: Service, slot: Slot, { configuration, before }: LearningInput): number {
  const known = learnedCapacity(learned, service.name, slot.offer.machineClass)
  if (known === undefined) return 0
  const domains = new Set(before.slots.filter((candidate) => candidate.service === service.name).map((candidate) => candidate.offer.failureDomain)).size
  return capacityOf(known, targetsOf(configuration, service).betweenTokens, domains)
}

/**
 * Learns the capacities of a service's instances by machine class. The service's work is attributed to its instances
 * in proportion to the answers that they decode concurrently. Machine classes of different speed within one service
 * are therefore distinguished only approximately.
 */
function learnCapacities (learned: Learned, service: Service, rates: ServiceRates, input: LearningInput): Learned {
  if (rates.served + rates.late === 0) return learned
  const slots = input.after.slots.filter((slot) => slot.service === service.name && slot.started && slot.state === 'wanted')
  const reports = new Map([...input.engines].map((engine) => [engine.instance, engine.report]))
  const running = (slot: Slot): number => service.kind === 'plain' ? 1 : reports.get(slot.name)?.running ?? 0
  const total = slots.reduce((sum, slot) => sum + running(slot), 0)
  if (total === 0) return learned
  const { quantile } = targetsOf(input.configuration, service)
  let next = learned
  for (const machineClass of new Set(slots.map((slot) => slot.offer.machineClass))) {
    const ofClass = slots.filter((slot) => slot.offer.machineClass === machineClass)
    const mean = ofClass.reduce((sum, slot) => sum + running(slot), 0) / ofClass.length
    const sample = {
      workPerSecond: rates.workPerSecond * mean / total,
      running: service.kind === 'plain' ? undefined : mean,
      inTarget: rates.served / (rates.served + rates.late),
      quantile,
      queued: ofClass.some((slot) => (reports.get(slot.name)?.waiting ?? 0) > 0)
    }
    next = withCapacity(next, service.name, machineClass, learnCapacity(learnedCapacity(next, service.name, machineClass), sample))
  }
  return next
}

/** Slots of reclaimable instances that the cloud reclaimed, with or without notice, since the last cycle. */
function newlyReclaimed ({ before, after }: LearningInput): Slot[] {
  const known = new Map(before.slots.map((slot) => [slot.name, slot]))
  return after.slots.filter((slot) => {
    const wasWanted = known.get(slot.name)?.state === 'wanted'
    return wasWanted && slot.state !== 'wanted' && slot.reason !== 'mix' && slot.offer.market === 'reclaimable'
  })
}

/** Counts running and reclaimed reclaimable instances by failure domain. */
function observationsByDomain ({ after }: LearningInput, reclaimed: readonly Slot[]): DomainObservation[] {
  const domains = new Map<FailureDomain, { reclaimable: number, reclaimed: number }>()
  const countsOf = (domain: FailureDomain) => {
    const known = domains.get(domain) ?? { reclaimable: 0, reclaimed: 0 }
    domains.set(domain, known)
    return known
  }
  for (const slot of after.slots) {
    if (slot.started && slot.state === 'wanted' && slot.offer.market === 'reclaimable') countsOf(slot.offer.failureDomain).reclaimable += 1
  }
  for (const slot of reclaimed) countsOf(slot.offer.failureDomain).reclaimed += 1
  return [...domains].map(([failureDomain, counts]) => ({ failureDomain, ...counts }))
}
