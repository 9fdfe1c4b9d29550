/**
 * In which order engines are told to load weights. All loads share the weight store's rate; when all
 * start at once, all end late.
 *
 * Loads are started one after another, as many at a time as it takes to use the store's rate, those
 * of the service that lacks most of its need first. This is the argument of "Managing Data Transfers
 * in Computer Clusters with Orchestra", section 4 (inter-transfer scheduling): transfers that share a
 * link fairly all finish at the end, those that are sent whole one after another finish earlier on
 * average, and which goes first is a matter of policy. docs/measurements/capacity.md has the figures.
 */
import type { Milliseconds } from '../clock.js'
import type { ServiceName, UpstreamName } from '../identifiers.js'

/** An engine that must load weights. */
export interface PendingLoad {
  readonly upstream: UpstreamName
  readonly service: ServiceName
  readonly bytes: number
  /** Work a second that the engine serves once it has loaded. */
  readonly capacity: number
}

/** How a service stands. */
export interface ServiceSupply {
  readonly service: ServiceName
  /** Work a second to be served. */
  readonly need: number
  /** Work a second that is served, or will be by loads under way. */
  readonly supply: number
}

/** How busy the store is. */
export interface StoreUse {
  /** Bytes that loads under way still lack. */
  readonly outstanding: number
  /** Bytes a millisecond that they were seen to take together; undefined before it was measured. */
  readonly throughput: number | undefined
  /** Bytes a millisecond that the store sends at most. */
  readonly rate: number
}

/** Loads under way that take less than this share of the store's rate leave room for another. */
const FULL_USE = 0.9

/**
 * Pending loads in the order in which they should start.
 *
 * @example
 * const [first] = orderLoads(pending, supplies)
 */
export function orderLoads (pending: readonly PendingLoad[], supplies: readonly ServiceSupply[]): PendingLoad[] {
  const supply = new Map(supplies.map((service) => [service.service, service.supply]))
  const need = new Map(supplies.map((service) => [service.service, service.need]))
  const queues = queuesByService(pending)
  const ordered: PendingLoad[] = []
  while (ordered.length < pending.length) {
    const next = neediest(queues, need, supply)
    if (next === undefined) break
    ordered.push(next)
    supply.set(next.service, (supply.get(next.service) ?? 0) + next.capacity)
  }
  return ordered
}

/**
 * The first of the ordered loads that may start now: enough to keep the store busy until the next
 * look, and one more where those under way are seen to leave some of its rate unused.
 *
 * @param untilNextLook milliseconds
 * @example
 * const startable = startableLoads(orderLoads(pending, supplies), use, SECOND)
 */
export function startableLoads (ordered: readonly PendingLoad[], use: StoreUse, untilNextLook: Milliseconds): PendingLoad[] {
  const isIdle = use.outstanding > 0 && use.throughput !== undefined && use.throughput < use.rate * FULL_USE
  const startable: PendingLoad[] = []
  let outstanding = use.outstanding
  for (const load of ordered) {
    if (outstanding >= use.rate * untilNextLook && !(isIdle && startable.length === 0)) break
    startable.push(load)
    outstanding += load.bytes
  }
  return startable
}

/** Per service, most work for each byte first; equal ones by name, so that the order is stable. */
function queuesByService (pending: readonly PendingLoad[]): Map<ServiceName, PendingLoad[]> {
  const queues = new Map<ServiceName, PendingLoad[]>()
  for (const load of [...pending].sort(byWorkPerByte)) {
    const queue = queues.get(load.service)
    if (queue === undefined) queues.set(load.service, [load])
    else queue.push(load)
  }
  return queues
}

/** Takes the next load of the service that lacks the largest share of its need. */
function neediest (queues: ReadonlyMap<ServiceName, PendingLoad[]>, need: ReadonlyMap<ServiceName, number>, supply: ReadonlyMap<ServiceName, number>): PendingLoad | undefined {
  let best: ServiceName | undefined
  let bestLack = -Infinity
  for (const [service, queue] of queues) {
    if (queue.length === 0) continue
    const wanted = need.get(service) ?? 0
    const lack = wanted === 0 ? 0 : 1 - (supply.get(service) ?? 0) / wanted
    if (lack > bestLack) [best, bestLack] = [service, lack]
  }
  return best === undefined ? undefined : queues.get(best)?.shift()
}

function byWorkPerByte (left: PendingLoad, right: PendingLoad): number {
  const difference = right.capacity / right.bytes - left.capacity / left.bytes
  if (difference !== 0) return difference
  return left.upstream < right.upstream ? -1 : 1
}
