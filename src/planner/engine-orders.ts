/** Orders to engines that do not report what is wanted, weight loads in their order. */
import { checkCompliance, orderLoads, startableLoads, offerKey, shortfallOf, wantedCounts } from '../capacity/index.js'
import type { Compliance, MixProblem, PendingLoad, ServiceOrder, ServiceSupply, StoreUtilisation } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import type { Service } from '../configuration/index.js'
import type { UpstreamName } from '../identifiers.js'
import type { KnownEngine, PlannerContext, Tenure } from './context.js'
import { mayAct } from './instance-orders.js'

/** What a service needs, for the order of loads. */
export interface ServiceNeed {
  readonly service: Service
  readonly problem: MixProblem
}

/** An engine with its order and how it stands to it. */
interface Standing {
  readonly engine: KnownEngine
  readonly order: ServiceOrder
  readonly compliance: Compliance
}

/** Size of a model that the weight store does not know of. */
const UNKNOWN_BYTES = 10_000_000_000

/**
 * Compares every known engine with its order and sends what is due.
 *
 * @param untilNextLook time until this is called again, in milliseconds
 * @returns engines that are not settled, to be looked at again soon
 * @example
 * const unsettled = await orderEngines(context, tenure, needs, SECOND)
 */
export async function orderEngines (context: PlannerContext, tenure: Tenure, needs: readonly ServiceNeed[], untilNextLook: Milliseconds): Promise<ReadonlySet<UpstreamName>> {
  const standings = standingsOf(context, tenure)
  const due = standings.filter(({ compliance }) => compliance.kind === 'differs')
  const loading = due.filter(({ compliance }) => compliance.kind === 'differs' && compliance.loads)
  const startable = await startableOf(context, tenure, loading, standings, needs, untilNextLook)
  for (const standing of due) {
    if (!mayAct(context, tenure)) break
    if (loading.includes(standing) && !startable.has(standing.engine.upstream)) continue
    await send(context, tenure, standing)
  }
  return new Set(standings.filter(({ compliance }) => compliance.kind !== 'settled').map(({ engine }) => engine.upstream))
}

function standingsOf (context: PlannerContext, tenure: Tenure): Standing[] {
  const now = context.clock.now()
  return [...tenure.engines.values()].flatMap((engine) => {
    const order = tenure.state.orders.find((candidate) => candidate.service === engine.service)
    if (order === undefined || engine.report.leaving) return []
    const { fencing, heldSince } = tenure
    return [{ engine, order, compliance: checkCompliance(engine, order, { now, fencing, heldSince, sent: tenure.sent.get(engine.upstream) }) }]
  })
}

async function send (context: PlannerContext, tenure: Tenure, { engine, order }: Standing): Promise<void> {
  const { generation, model, version, adapters, role } = order
  tenure.sent.set(engine.upstream, { generation, fencing: tenure.fencing, at: context.clock.now() })
  try {
    const obeyed = await context.engineAt(engine.address).order({ fencing: tenure.fencing, generation, model, version, adapters, role }, context.signal)
    // Refused: a newer planner has given orders, and this one's lease is about to end.
    if (!obeyed) context.log.warn('engine-refused-order', { upstream: engine.upstream, fencing: tenure.fencing })
  } catch {
    // Whether it arrived is seen from the engine's next report.
  }
}

/** Without a weight store every load may start. */
async function startableOf (context: PlannerContext, tenure: Tenure, loading: readonly Standing[], standings: readonly Standing[], needs: readonly ServiceNeed[], untilNextLook: Milliseconds): Promise<ReadonlySet<UpstreamName>> {
  const all = new Set(loading.map(({ engine }) => engine.upstream))
  if (loading.length === 0 || context.weightStore === undefined) return all
  const status = await context.weightStore.status(context.signal).catch(() => undefined)
  // A store that does not answer its status may still send weights; one load at a time is safe.
  if (status === undefined) return new Set([...all].slice(0, 1))
  const sizes = new Map(status.models.map(({ model, bytes }) => [model, bytes]))
  const pending = loading.map((standing) => pendingOf(tenure, standing, needs, sizes))
  const underWay = standings.filter(({ engine, order, compliance }) =>
    compliance.kind === 'loading' || (compliance.kind === 'wait' && tenure.sent.get(engine.upstream)?.generation === order.generation))
  const use = useOf(context, tenure, status, underWay, sizes)
  const supplies = needs.map((need) => supplyOf(tenure, need, underWay))
  return new Set(startableLoads(orderLoads(pending, supplies), use, untilNextLook).map((load) => load.upstream))
}

function pendingOf (tenure: Tenure, { engine, order }: Standing, needs: readonly ServiceNeed[], sizes: ReadonlyMap<string, number>): PendingLoad {
  const slot = tenure.state.slots.find((candidate) => candidate.name === engine.instance)
  const problem = needs.find((need) => need.service.name === engine.service)?.problem
  const offer = problem?.offers.find((candidate) => slot !== undefined && offerKey(candidate) === offerKey(slot.offer))
  return { upstream: engine.upstream, service: engine.service, bytes: sizes.get(order.model) ?? UNKNOWN_BYTES, capacity: offer?.capacity ?? 1 }
}

/** What the service serves now, with the loads under way. */
function supplyOf (tenure: Tenure, { service, problem }: ServiceNeed, underWay: readonly Standing[]): ServiceSupply {
  const order = tenure.state.orders.find((candidate) => candidate.service === service.name)
  const coming = new Set(underWay.map(({ engine }) => engine.instance))
  const serving = new Set([...tenure.engines.values()].filter(({ report }) => order !== undefined && report.models.includes(order.model)).map((engine) => engine.instance))
  const slots = tenure.state.slots.filter((slot) => coming.has(slot.name) || serving.has(slot.name))
  const missing = shortfallOf({ ...problem, losses: [] }, wantedCounts(slots, service.name, problem))
  return { service: service.name, need: problem.need, supply: problem.need - missing }
}

function useOf (context: PlannerContext, tenure: Tenure, status: NonNullable<Tenure['storeStatus']>['status'], underWay: readonly Standing[], sizes: ReadonlyMap<string, number>): StoreUtilisation {
  const before = tenure.storeStatus
  const at = context.clock.now()
  tenure.storeStatus = { at, status }
  const seen = new Set(status.transfers.map((transfer) => transfer.upstream))
  const announced = underWay.filter(({ engine }) => !seen.has(engine.upstream)).reduce((sum, { order }) => sum + (sizes.get(order.model) ?? UNKNOWN_BYTES), 0)
  const outstanding = status.transfers.reduce((sum, transfer) => sum + transfer.bytes - transfer.receivedBytes, announced)
  return { outstanding, rate: status.bytesPerMs, throughput: throughputOf(before, status, at) }
}

function throughputOf (before: Tenure['storeStatus'], status: NonNullable<Tenure['storeStatus']>['status'], at: Milliseconds): number | undefined {
  if (before === undefined || at <= before.at || before.status.transfers.length === 0) return undefined
  const received = before.status.transfers.reduce((sum, old) => {
    const now = status.transfers.find((transfer) => transfer.upstream === old.upstream && transfer.model === old.model)
    return sum + (now?.receivedBytes ?? old.bytes) - old.receivedBytes
  }, 0)
  return received / (at - before.at)
}
