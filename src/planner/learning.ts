/** Takes what a planner saw into what is learnt: demand, capacities, reclaims, recomputed tokens. */
import { learnedCapacity, capacityOf, demandOf, learnCapacity, observeDemand, observeReclaims, targetsOf, withCapacity, withDemand, withRecomputed } from '../capacity/index.js'
import type { DesiredState, DomainObservation, Learned, Slot } from '../capacity/index.js'
import type { Configuration, Service } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import type { FailureDomain, ServiceName } from '../identifiers.js'
import type { KnownEngine } from './context.js'
import type { ServiceRates } from './demand-reader.js'

/** What was seen since the last time. */
export interface Experience {
  readonly configuration: Configuration
  readonly rates: ReadonlyMap<ServiceName, ServiceRates>
  readonly engines: Iterable<KnownEngine>
  readonly before: DesiredState
  readonly after: DesiredState
  /** Wall time, in milliseconds. */
  readonly now: Milliseconds
}

/**
 * Learns from one look.
 *
 * @example
 * const learned = learn(tenure.learned, experience)
 */
export function learn (learned: Learned, experience: Experience): Learned {
  const reclaimed = newlyReclaimed(experience)
  let next: Learned = { ...learned, reclaims: observeReclaims(learned.reclaims, experience.now, byDomain(experience, reclaimed)) }
  for (const service of experience.configuration.services) {
    const lost = reclaimed.filter((slot) => slot.service === service.name).map((slot) => capacityLost(learned, service, slot, experience))
    const rates = experience.rates.get(service.name)
    next = withRecomputed(next, service.name, rates?.recomputedTokens ?? 0, lost)
    if (rates === undefined) continue
    const sample = { at: experience.now, requestsPerSecond: rates.requestsPerSecond, workPerSecond: rates.workPerSecond }
    next = withDemand(next, service.name, observeDemand(demandOf(next, service.name), sample))
    next = learnCapacities(next, service, rates, experience)
  }
  return next
}

/** Capacity of a lost instance, as the problem of the mix has it. */
function capacityLost (learned: Learned, service: Service, slot: Slot, { configuration, before }: Experience): number {
  const known = learnedCapacity(learned, service.name, slot.offer.machineClass)
  if (known === undefined) return 0
  const domains = new Set(before.slots.filter((one) => one.service === service.name).map((one) => one.offer.failureDomain)).size
  return capacityOf(known, targetsOf(configuration, service).betweenTokens, domains)
}

/**
 * The service's work is shared out over its instances by the answers they decode at a time; machine
 * classes of different speed in one service are therefore told apart only roughly.
 */
function learnCapacities (learned: Learned, service: Service, rates: ServiceRates, experience: Experience): Learned {
  if (rates.served + rates.late === 0) return learned
  const slots = experience.after.slots.filter((slot) => slot.service === service.name && slot.started && slot.state === 'wanted')
  const reports = new Map([...experience.engines].map((engine) => [engine.instance, engine.report]))
  const running = (slot: Slot): number => service.kind === 'plain' ? 1 : reports.get(slot.name)?.running ?? 0
  const total = slots.reduce((sum, slot) => sum + running(slot), 0)
  if (total === 0) return learned
  const { quantile } = targetsOf(experience.configuration, service)
  let next = learned
  for (const machineClass of new Set(slots.map((slot) => slot.offer.machineClass))) {
    const own = slots.filter((slot) => slot.offer.machineClass === machineClass)
    const mean = own.reduce((sum, slot) => sum + running(slot), 0) / own.length
    const sample = {
      workPerSecond: rates.workPerSecond * mean / total,
      running: service.kind === 'plain' ? undefined : mean,
      inTarget: rates.served / (rates.served + rates.late),
      quantile,
      queued: own.some((slot) => (reports.get(slot.name)?.waiting ?? 0) > 0)
    }
    next = withCapacity(next, service.name, machineClass, learnCapacity(learnedCapacity(next, service.name, machineClass), sample))
  }
  return next
}

/** Slots that left since the last look because the cloud took them back, or that vanished without notice. */
function newlyReclaimed ({ before, after }: Experience): Slot[] {
  const known = new Map(before.slots.map((slot) => [slot.name, slot]))
  return after.slots.filter((slot) => {
    const wasWanted = known.get(slot.name)?.state === 'wanted'
    return wasWanted && slot.state !== 'wanted' && slot.reason !== 'mix' && slot.offer.market === 'reclaimable'
  })
}

function byDomain ({ after }: Experience, reclaimed: readonly Slot[]): DomainObservation[] {
  const domains = new Map<FailureDomain, { reclaimable: number, reclaimed: number }>()
  const of = (domain: FailureDomain) => {
    const known = domains.get(domain) ?? { reclaimable: 0, reclaimed: 0 }
    domains.set(domain, known)
    return known
  }
  for (const slot of after.slots) {
    if (slot.started && slot.state === 'wanted' && slot.offer.market === 'reclaimable') of(slot.offer.failureDomain).reclaimable += 1
  }
  for (const slot of reclaimed) of(slot.offer.failureDomain).reclaimed += 1
  return [...domains].map(([failureDomain, counts]) => ({ failureDomain, ...counts }))
}
