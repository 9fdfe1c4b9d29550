/** A planner's look at the cloud, the instance list and the engines. */
import { MIN_DRAIN_TIME } from '../capacity/index.js'
import type { CloudInstance, DesiredState, FleetObservation, Offer, Slot } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { Service } from '../configuration/index.js'
import type { InstanceName, ServiceName } from '../identifiers.js'
import type { Instance } from '../upstream/index.js'
import type { KnownEngine, PlannerContext, Tenure } from './context.js'

/** What was seen. */
export interface Observation {
  readonly offers: readonly Offer[]
  readonly cloudInstances: readonly CloudInstance[]
  readonly listed: readonly Instance[]
}

/** An engine that has not answered for this long on a listed instance is given up. */
const GIVEN_UP: Milliseconds = 5 * MINUTE

/** Instances of a service that may be silent at once; more look like a lost path of the planner's own. */
const SILENT_SHARE = 0.2

/** A report older than this does not show that an instance is idle. */
const FRESH: Milliseconds = 5 * SECOND

/** Plain services report no load; their calls are short. */
const PLAIN_DRAIN: Milliseconds = MINUTE

/** Settled engines asked in one look; at 600 engines each is asked once a minute, for some 2.5 KB/s. */
const SETTLED_PER_LOOK = 100

/** Engines asked for their load at a time. */
const ASKED_AT_ONCE = 32

/**
 * Looks at everything once. Rejects when the cloud or the instance list cannot be had: a list that is
 * missing is not an empty one.
 *
 * @example
 * const observation = await observe(context, tenure)
 */
export async function observe (context: PlannerContext, tenure: Tenure): Promise<Observation> {
  const { cloud, settings, signal } = context
  const [offers, cloudInstances, listed] = await Promise.all([
    cloud.offers(signal),
    cloud.list(settings.group, signal),
    context.instanceList.read(signal)
  ])
  const engines = listed.filter((instance) => instance.role.kind === 'upstream' && instance.role.protocol === 'model')
  await askEngines(context, tenure, dueForQuestion(tenure, engines))
  forgetOthers(tenure, engines)
  tenure.listed = listed
  return { offers, cloudInstances, listed }
}

/**
 * Asks engines for their load and keeps what they answer.
 *
 * @example
 * await askEngines(context, tenure, unsettled)
 */
export async function askEngines (context: PlannerContext, tenure: Tenure, instances: readonly Instance[]): Promise<void> {
  const queue = [...instances]
  const worker = async (): Promise<void> => {
    for (let instance = queue.shift(); instance !== undefined; instance = queue.shift()) await askEngine(context, tenure, instance)
  }
  await Promise.all(Array.from({ length: Math.min(ASKED_AT_ONCE, queue.length) }, worker))
}

/**
 * What the capacity decisions need to know of the instances.
 *
 * @example
 * const fleet = fleetOf(context, tenure, observation)
 */
export function fleetOf (context: PlannerContext, tenure: Tenure, observation: Observation): FleetObservation {
  const now = context.clock.now()
  const engines = new Map([...tenure.engines.values()].map((engine) => [engine.instance, engine]))
  const live = observation.listed.filter((instance) => instance.state === 'live' && instance.role.kind === 'upstream')
  return {
    instances: observation.cloudInstances,
    released: tenure.released,
    ended: tenure.ended,
    silent: silentInstances(tenure, live, now),
    serving: new Set(live.filter((instance) => isServing(instance, engines.get(instance.name), tenure.state, now)).map((instance) => instance.name)),
    idle: new Set(tenure.state.slots.filter((slot) => isIdle(slot, engines.get(slot.name), context)).map((slot) => slot.name))
  }
}

/**
 * What the cloud sells for a service: machine classes that the settings name for its kind, and those
 * on which it runs already.
 *
 * @example
 * const offers = offersFor(context, observation, service)
 */
export function offersFor (context: PlannerContext, observation: Observation, service: Service): Offer[] {
  const named = context.settings.machine_classes.filter((one) => one.runs === service.kind).map((one) => one.name)
  const used = observation.cloudInstances.filter((instance) => instance.service === service.name).map((instance) => instance.machineClass)
  const classes = new Set([...named, ...used])
  return observation.offers.filter((offer) => classes.has(offer.machineClass))
}

/** Engines that are new, not settled or drained, and of the others those whose reports are oldest. */
function dueForQuestion (tenure: Tenure, engines: readonly Instance[]): Instance[] {
  const drained = new Set(tenure.state.slots.filter((slot) => slot.state === 'leaving').map((slot) => slot.name))
  const reportedAt = (instance: Instance): Milliseconds =>
    instance.role.kind === 'upstream' ? tenure.engines.get(instance.role.upstream)?.reportedAt ?? -Infinity : -Infinity
  const isUrgent = (instance: Instance): boolean =>
    reportedAt(instance) === -Infinity || drained.has(instance.name) || (instance.role.kind === 'upstream' && tenure.unsettled.has(instance.role.upstream))
  const settled = engines.filter((instance) => !isUrgent(instance)).sort((left, right) => reportedAt(left) - reportedAt(right))
  return [...engines.filter(isUrgent), ...settled.slice(0, SETTLED_PER_LOOK)]
}

async function askEngine (context: PlannerContext, tenure: Tenure, instance: Instance): Promise<void> {
  if (instance.role.kind !== 'upstream') return
  const { upstream, service } = instance.role
  const { clock, settings, signal } = context
  if (!tenure.answered.has(upstream)) tenure.answered.set(upstream, clock.now())
  const asked = clock.now()
  try {
    const report = await context.engineAt(instance.address).load(signal)
    tenure.answered.set(upstream, clock.now())
    // Dated by the moment of asking: an order that arrived after it may be missing from the answer.
    const reportedAt = asked - report.ageMs
    const checksFencing = settings.fencing_checked_by.includes(service)
    tenure.engines.set(upstream, { upstream, service, report, reportedAt, checksFencing, instance: instance.name, address: instance.address })
  } catch {
    // Its last report stays; how long it has been silent is seen from the time of its last answer.
  }
}

function forgetOthers (tenure: Tenure, engines: readonly Instance[]): void {
  const listed = new Set(engines.flatMap((instance) => instance.role.kind === 'upstream' ? [instance.role.upstream] : []))
  for (const known of [tenure.engines, tenure.answered, tenure.sent]) {
    for (const upstream of known.keys()) {
      if (!listed.has(upstream)) known.delete(upstream)
    }
  }
}

/** Silent instances that are given up, service by service and never many at once. */
function silentInstances (tenure: Tenure, live: readonly Instance[], now: Milliseconds): Set<InstanceName> {
  const silent = new Map<ServiceName, InstanceName[]>()
  const total = new Map<ServiceName, number>()
  for (const { name, role } of live) {
    if (role.kind !== 'upstream' || role.protocol !== 'model') continue
    total.set(role.service, (total.get(role.service) ?? 0) + 1)
    const answered = tenure.answered.get(role.upstream)
    if (answered !== undefined && now - answered >= GIVEN_UP) silent.set(role.service, [...silent.get(role.service) ?? [], name])
  }
  const givenUp = [...silent].filter(([service, names]) => names.length <= Math.max(1, (total.get(service) ?? 0) * SILENT_SHARE))
  return new Set(givenUp.flatMap(([, names]) => names))
}

function isServing (instance: Instance, engine: KnownEngine | undefined, state: DesiredState, now: Milliseconds): boolean {
  if (instance.role.kind !== 'upstream') return false
  if (instance.role.protocol === 'plain') return true
  const order = state.orders.find((candidate) => candidate.service === engine?.service)
  if (engine === undefined || engine.report.leaving || now - engine.reportedAt > GIVEN_UP) return false
  return order === undefined || engine.report.models.includes(order.model)
}

function isIdle (slot: Slot, engine: KnownEngine | undefined, context: PlannerContext): boolean {
  if (slot.state !== 'leaving') return false
  if (engine === undefined) return context.clock.wall() - slot.since >= PLAIN_DRAIN
  const isFresh = context.clock.now() - engine.reportedAt < FRESH
  const isReportedSince = context.clock.wall() - slot.since >= MIN_DRAIN_TIME + engine.report.ageMs
  return isFresh && isReportedSince && engine.report.running + engine.report.waiting === 0
}
