/** Observes the cloud, the instance list and the engines for a planner. */
import { MIN_DRAIN_TIME } from '../capacity/index.js'
import type { CloudInstance, DesiredState, FleetObservation, Offer, Slot } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { Service } from '../configuration/index.js'
import type { InstanceName, ServiceName } from '../identifiers.js'
import type { Instance } from '../upstream/index.js'
import type { KnownEngine, PlannerContext, Tenure } from './context.js'

/** Result of an observation. */
export interface Observation {
  readonly offers: readonly Offer[]
  readonly cloudInstances: readonly CloudInstance[]
  readonly listedInstances: readonly Instance[]
}

/** Time after which a listed instance whose engine has not answered is replaced. */
const SILENCE_TIMEOUT: Milliseconds = 5 * MINUTE

/**
 * Maximum fraction of a service's instances that may be replaced as silent at once. If more are silent, the planner's
 * own connection is probably broken.
 */
const MAX_SILENT_FRACTION = 0.2

/** Maximum age of a report that shows an instance to be idle. */
const MAX_IDLE_REPORT_AGE: Milliseconds = 5 * SECOND

/** Drain time of instances that report no load. These run plain services, whose calls are short. */
const PLAIN_DRAIN_TIME: Milliseconds = MINUTE

/**
 * Maximum number of settled engines, which report the wanted state, that are queried in one cycle. With 600 engines,
 * each is queried once a minute, which takes about 2.5 KB/s.
 */
const MAX_SETTLED_PER_CYCLE = 100

/** Maximum number of engines queried concurrently. */
const MAX_CONCURRENT_QUERIES = 32

/**
 * Reads the cloud's offers and instances and the instance list, and queries the engines that are due.
 *
 * @throws ServingError if the cloud or the instance list is unavailable, because a missing list must not be taken for an
 *   empty one
 * @example
 * const observation = await observe(context, tenure)
 */
export async function observe (context: PlannerContext, tenure: Tenure): Promise<Observation> {
  const { cloud, settings, signal } = context
  const [offers, cloudInstances, listedInstances] = await Promise.all([
    cloud.offers(signal),
    cloud.list(settings.group, signal),
    context.instanceList.read(signal)
  ])
  const engines = listedInstances.filter((instance) => instance.role.kind === 'upstream' && instance.role.protocol === 'model')
  await queryEngines(context, tenure, enginesToQuery(tenure, engines))
  forgetUnlisted(tenure, engines)
  tenure.listedInstances = listedInstances
  return { offers, cloudInstances, listedInstances }
}

/**
 * Queries the load of engines and stores their reports in the tenure. The last report of an engine that does not answer
 * is kept.
 *
 * @example
 * await queryEngines(context, tenure, unsettled)
 */
export async function queryEngines (context: PlannerContext, tenure: Tenure, instances: readonly Instance[]): Promise<void> {
  const queue = [...instances]
  const worker = async (): Promise<void> => {
    for (let instance = queue.shift(); instance !== undefined; instance = queue.shift()) await queryEngine(context, tenure, instance)
  }
  await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_QUERIES, queue.length) }, worker))
}

/**
 * State of the instances, as input of the capacity decisions.
 *
 * @example
 * const fleet = fleetOf(context, tenure, observation)
 */
export function fleetOf (context: PlannerContext, tenure: Tenure, observation: Observation): FleetObservation {
  const now = context.clock.now()
  const engines = new Map([...tenure.engines.values()].map((engine) => [engine.instance, engine]))
  const live = observation.listedInstances.filter((instance) => instance.state === 'live' && instance.role.kind === 'upstream')
  return {
    instances: observation.cloudInstances,
    released: tenure.released,
    ended: tenure.ended,
    silent: findSilentInstances(tenure, live, now),
    serving: new Set(live.filter((instance) => isServing(instance, engines.get(instance.name), tenure.state, now)).map((instance) => instance.name)),
    idle: new Set(tenure.state.slots.filter((slot) => isIdle(slot, engines.get(slot.name), context)).map((slot) => slot.name))
  }
}

/**
 * Offers of the cloud for a service: those of machine classes that the settings name for its kind, and of classes on
 * which the service already runs.
 *
 * @example
 * const offers = offersFor(context, observation, service)
 */
export function offersFor (context: PlannerContext, observation: Observation, service: Service): Offer[] {
  const named = context.settings.machine_classes.filter((machineClass) => machineClass.runs === service.kind).map((machineClass) => machineClass.name)
  const used = observation.cloudInstances.filter((instance) => instance.service === service.name).map((instance) => instance.machineClass)
  const classes = new Set([...named, ...used])
  return observation.offers.filter((offer) => classes.has(offer.machineClass))
}

/** Engines to query: all that are new, draining or not settled, and those of the others whose reports are oldest. */
function enginesToQuery (tenure: Tenure, engines: readonly Instance[]): Instance[] {
  const drained = new Set(tenure.state.slots.filter((slot) => slot.state === 'leaving').map((slot) => slot.name))
  const reportedAt = (instance: Instance): Milliseconds =>
    instance.role.kind === 'upstream' ? tenure.engines.get(instance.role.upstream)?.reportedAt ?? -Infinity : -Infinity
  const isUrgent = (instance: Instance): boolean =>
    reportedAt(instance) === -Infinity || drained.has(instance.name) || (instance.role.kind === 'upstream' && tenure.unsettled.has(instance.role.upstream))
  const settled = engines.filter((instance) => !isUrgent(instance)).sort((left, right) => reportedAt(left) - reportedAt(right))
  return [...engines.filter(isUrgent), ...settled.slice(0, MAX_SETTLED_PER_CYCLE)]
}

async function queryEngine (context: PlannerContext, tenure: Tenure, instance: Instance): Promise<void> {
  if (instance.role.kind !== 'upstream') return
  const { upstream, service } = instance.role
  const { clock, settings, signal } = context
  if (!tenure.answered.has(upstream)) tenure.answered.set(upstream, clock.now())
  const requestedAt = clock.now()
  try {
    const report = await context.engineAt(instance.address).load(signal)
    tenure.answered.set(upstream, clock.now())
    // The report is dated by the query, because an order that arrived later may be missing from the report.
    const reportedAt = requestedAt - report.ageMs
    const checksFencing = settings.fencing_checked_by.includes(service)
    tenure.engines.set(upstream, { upstream, service, report, reportedAt, checksFencing, instance: instance.name, address: instance.address })
  } catch {
    // The last report is kept. The time of the last answer shows how long the engine has been silent.
  }
}

/** Drops the state of engines that are no longer in the instance list. */
function forgetUnlisted (tenure: Tenure, engines: readonly Instance[]): void {
  const listedUpstreams = new Set(engines.flatMap((instance) => instance.role.kind === 'upstream' ? [instance.role.upstream] : []))
  for (const known of [tenure.engines, tenure.answered, tenure.sent]) {
    for (const upstream of known.keys()) {
      if (!listedUpstreams.has(upstream)) known.delete(upstream)
    }
  }
}

/**
 * Silent instances to be replaced. If more than MAX_SILENT_FRACTION of a service's instances, and more than one, are
 * silent, none of them is replaced.
 */
function findSilentInstances (tenure: Tenure, live: readonly Instance[], now: Milliseconds): Set<InstanceName> {
  const silent = new Map<ServiceName, InstanceName[]>()
  const total = new Map<ServiceName, number>()
  for (const { name, role } of live) {
    if (role.kind !== 'upstream' || role.protocol !== 'model') continue
    total.set(role.service, (total.get(role.service) ?? 0) + 1)
    const answered = tenure.answered.get(role.upstream)
    if (answered !== undefined && now - answered >= SILENCE_TIMEOUT) silent.set(role.service, [...silent.get(role.service) ?? [], name])
  }
  const replaceable = [...silent].filter(([service, names]) => names.length <= Math.max(1, (total.get(service) ?? 0) * MAX_SILENT_FRACTION))
  return new Set(replaceable.flatMap(([, names]) => names))
}

/** Whether an instance serves its service's current order. Instances of plain services always do. */
function isServing (instance: Instance, engine: KnownEngine | undefined, state: DesiredState, now: Milliseconds): boolean {
  if (instance.role.kind !== 'upstream') return false
  if (instance.role.protocol === 'plain') return true
  const order = state.orders.find((candidate) => candidate.service === engine?.service)
  if (engine === undefined || engine.report.leaving || now - engine.reportedAt > SILENCE_TIMEOUT) return false
  return order === undefined || engine.report.models.includes(order.model)
}

/** Whether a draining instance has no requests left. Without load reports, this is assumed after PLAIN_DRAIN_TIME. */
function isIdle (slot: Slot, engine: KnownEngine | undefined, context: PlannerContext): boolean {
  if (slot.state !== 'leaving') return false
  if (engine === undefined) return context.clock.wall() - slot.since >= PLAIN_DRAIN_TIME
  const isFresh = context.clock.now() - engine.reportedAt < MAX_IDLE_REPORT_AGE
  const isReportedSince = context.clock.wall() - slot.since >= MIN_DRAIN_TIME + engine.report.ageMs
  return isFresh && isReportedSince && engine.report.running + engine.report.waiting === 0
}
