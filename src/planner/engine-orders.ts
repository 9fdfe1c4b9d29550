/** Sends orders to engines that do not report the wanted state, and decides in which order they load weights. */
import { checkCompliance, orderLoads, startableLoads, offerKey, shortfallOf, wantedCounts } from '../capacity/index.js'
import type { Compliance, MixProblem, PendingLoad, ServiceOrder, ServiceSupply, StoreUtilisation } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import type { Service } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import type { KnownEngine, PlannerContext, Tenure } from './context.js'
import { holdsLease } from './instance-orders.js'

/** Need of a service, for the order of weight loads. */
export interface ServiceNeed {
  readonly service: Service
  readonly problem: MixProblem
}

/** An engine with its order and the result of comparing the two. */
interface EngineComparison {
  readonly engine: KnownEngine
  readonly order: ServiceOrder
  readonly compliance: Compliance
}

/** Assumed size of a model that the weight store does not list, in bytes. */
const DEFAULT_MODEL_BYTES = 10_000_000_000

/**
 * Compares every known engine with its order and sends the orders that are due.
 *
 * @param untilNextCycle time until the next call, in milliseconds
 * @returns engines that do not report the wanted state yet and must be queried again soon
 * @example
 * const unsettled = await orderEngines(context, tenure, needs, SECOND)
 */
export async function orderEngines (context: PlannerContext, tenure: Tenure, needs: readonly ServiceNeed[], untilNextCycle: Milliseconds): Promise<ReadonlySet<UpstreamName>> {
  const comparisons = compareEngines(context, tenure)
  const due = comparisons.filter(({ compliance }) => compliance.kind === 'differs')
  const loading = due.filter(({ compliance }) => compliance.kind === 'differs' && compliance.loads)
  const startable = await findStartableEngines(context, tenure, loading, comparisons, needs, untilNextCycle)
  for (const comparison of due) {
    if (!holdsLease(context, tenure)) break
    if (loading.includes(comparison) && !startable.has(comparison.engine.upstream)) continue
    await sendOrder(context, tenure, comparison)
  }
  return new Set(comparisons.filter(({ compliance }) => compliance.kind !== 'settled').map(({ engine }) => engine.upstream))
}

function compareEngines (context: PlannerContext, tenure: Tenure): EngineComparison[] {
  const now = context.clock.now()
  return [...tenure.engines.values()].flatMap((engine) => {
    const order = tenure.state.orders.find((candidate) => candidate.service === engine.service)
    if (order === undefined || engine.report.leaving) return []
    const { fencing, heldSince } = tenure
    return [{ engine, order, compliance: checkCompliance(engine, order, { now, fencing, heldSince, sent: tenure.sent.get(engine.upstream) }) }]
  })
}

async function sendOrder (context: PlannerContext, tenure: Tenure, { engine, order }: EngineComparison): Promise<void> {
  const { generation, model, version, adapters, role } = order
  tenure.sent.set(engine.upstream, { generation, fencing: tenure.fencing, at: context.clock.now() })
  try {
    const accepted = await context.engineAt(engine.address).order({ fencing: tenure.fencing, generation, model, version, adapters, role }, context.signal)
    // A refusal means that a newer planner has sent orders, so this planner is about to lose its lease.
    if (!accepted) context.log.warn('engine-refused-order', { upstream: engine.upstream, fencing: tenure.fencing })
  } catch {
    // The engine's next report shows whether the order arrived.
  }
}

/** Selects the engines that may start to load weights now. Without a weight store, all of them may. */
async function findStartableEngines (context: PlannerContext, tenure: Tenure, loading: readonly EngineComparison[], comparisons: readonly EngineComparison[], needs: readonly ServiceNeed[], untilNextCycle: Milliseconds): Promise<ReadonlySet<UpstreamName>> {
  const allUpstreams = new Set(loading.map(({ engine }) => engine.upstream))
  if (loading.length === 0 || context.weightStore === undefined) return allUpstreams
  const status = await context.weightStore.status(context.signal).catch(() => undefined)
  // The store may still send weights although its status is unavailable. One load at a time is safe.
  if (status === undefined) return new Set([...allUpstreams].slice(0, 1))
  const sizes = new Map(status.models.map(({ model, bytes }) => [model, bytes]))
  const pending = loading.map((comparison) => pendingLoadOf(tenure, comparison, needs, sizes))
  const inProgress = comparisons.filter(({ engine, order, compliance }) =>
    compliance.kind === 'loading' || (compliance.kind === 'wait' && tenure.sent.get(engine.upstream)?.generation === order.generation))
  const utilisation = utilisationOf(context, tenure, status, inProgress, sizes)
  const supplies = needs.map((need) => supplyOf(tenure, need, inProgress))
  return new Set(startableLoads(orderLoads(pending, supplies), utilisation, untilNextCycle).map((load) => load.upstream))
}

/** Describes the load of an engine for the order of loads. */
function pendingLoadOf (tenure: Tenure, { engine, order }: EngineComparison, needs: readonly ServiceNeed[], sizes: ReadonlyMap<string, number>): PendingLoad {
  const slot = tenure.state.slots.find((candidate) => candidate.name === engine.instance)
  const problem = needs.find((need) => need.service.name === engine.service)?.problem
  const offer = problem?.offers.find((candidate) => slot !== undefined && offerKey(candidate) === offerKey(slot.offer))
  return { upstream: engine.upstream, service: engine.service, bytes: sizes.get(order.model) ?? DEFAULT_MODEL_BYTES, capacity: offer?.capacity ?? 1 }
}

/** Supply of a service: what it serves now, and what it will serve after the loads in progress. */
function supplyOf (tenure: Tenure, { service, problem }: ServiceNeed, inProgress: readonly EngineComparison[]): ServiceSupply {
  const order = tenure.state.orders.find((candidate) => candidate.service === service.name)
  const loadingInstances = new Set(inProgress.map(({ engine }) => engine.instance))
  const servingInstances = new Set([...tenure.engines.values()].filter(({ report }) => order !== undefined && report.models.includes(order.model)).map((engine) => engine.instance))
  const slots = tenure.state.slots.filter((slot) => loadingInstances.has(slot.name) || servingInstances.has(slot.name))
  const missing = shortfallOf({ ...problem, losses: [] }, wantedCounts(slots, service.name, problem))
  return { service: service.name, need: problem.need, supply: problem.need - missing }
}

/** Utilisation of the weight store, including loads that were ordered but do not show in its status yet. */
function utilisationOf (context: PlannerContext, tenure: Tenure, status: NonNullable<Tenure['storeStatus']>['status'], inProgress: readonly EngineComparison[], sizes: ReadonlyMap<string, number>): StoreUtilisation {
  const before = tenure.storeStatus
  const at = context.clock.now()
  tenure.storeStatus = { at, status }
  const transferring = new Set(status.transfers.map((transfer) => transfer.upstream))
  const notYetTransferring = inProgress.filter(({ engine }) => !transferring.has(engine.upstream)).reduce((sum, { order }) => sum + (sizes.get(order.model) ?? DEFAULT_MODEL_BYTES), 0)
  const outstanding = status.transfers.reduce((sum, transfer) => sum + transfer.bytes - transfer.receivedBytes, notYetTransferring)
  return { outstanding, rate: status.bytesPerMs, throughput: throughputOf(before, status, at) }
}

/** Rate of the transfers between two statuses, in bytes per millisecond. Undefined if no transfer was in progress. */
function throughputOf (before: Tenure['storeStatus'], status: NonNullable<Tenure['storeStatus']>['status'], at: Milliseconds): number | undefined {
  if (before === undefined || at <= before.at || before.status.transfers.length === 0) return undefined
  const received = before.status.transfers.reduce((sum, previous) => {
    const now = status.transfers.find((transfer) => transfer.upstream === previous.upstream && transfer.model === previous.model)
    return sum + (now?.receivedBytes ?? previous.bytes) - previous.receivedBytes
  }, 0)
  return received / (at - before.at)
}
