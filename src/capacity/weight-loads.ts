/**
 * Order in which engines load weights. All loads share the rate of the weight store. If they all started at once,
 * they would all finish late.
 *
 * Loads are started one after another, with as many in progress as needed to use the store's rate. The service that
 * lacks the largest fraction of its need comes first. This follows "Managing Data Transfers in Computer Clusters with
 * Orchestra", section 4 (inter-transfer scheduling): transfers that share a link fairly all finish at the end,
 * whereas sequential transfers finish earlier on average, and their order is a matter of policy. See
 * docs/measurements/capacity.md for measurements.
 */
import type { Milliseconds } from '../clock.js'
import type { ServiceName, UpstreamName } from '../identifiers.js'

/** An engine that must load weights. */
export interface PendingLoad {
  readonly upstream: UpstreamName
  readonly service: ServiceName
  readonly bytes: number
  /** Work per second that the engine serves once the weights are loaded. */
  readonly capacity: number
}

/** Need and supply of a service. */
export interface ServiceSupply {
  readonly service: ServiceName
  /** Work per second to be served. */
  readonly need: number
  /** Work per second that is served now or will be after the loads in progress. */
  readonly supply: number
}

/** Utilisation of the weight store. */
export interface StoreUtilisation {
  /** Bytes that loads in progress have yet to receive. */
  readonly outstanding: number
  /** Measured total rate of the loads in progress, in bytes per millisecond. Undefined before the first measurement. */
  readonly throughput: number | undefined
  /** Maximum rate of the store, in bytes per millisecond. */
  readonly rate: number
}

/** Fraction of the store's rate below which loads in progress leave room for another one. */
const FULL_UTILISATION = 0.9

/**
 * Sorts pending loads in the order in which they should start.
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
    const next = takeNextLoad(queues, need, supply)
    if (next === undefined) break
    ordered.push(next)
    supply.set(next.service, (supply.get(next.service) ?? 0) + next.capacity)
  }
  return ordered
}

/**
 * Selects the first of the ordered loads that may start now: enough to keep the store busy until the next cycle, and
 * one more if the loads in progress leave some of its rate unused.
 *
 * @param untilNextCycle time until the next call, in milliseconds
 * @example
 * const startable = startableLoads(orderLoads(pending, supplies), use, SECOND)
 */
export function startableLoads (ordered: readonly PendingLoad[], use: StoreUtilisation, untilNextCycle: Milliseconds): PendingLoad[] {
  const hasSpareRate = use.outstanding > 0 && use.throughput !== undefined && use.throughput < use.rate * FULL_UTILISATION
  const startable: PendingLoad[] = []
  let outstanding = use.outstanding
  for (const load of ordered) {
    if (outstanding >= use.rate * untilNextCycle && !(hasSpareRate && startable.length === 0)) break
    startable.push(load)
    outstanding += load.bytes
  }
  return startable
}

/** Pending loads per service, highest work per byte first. Ties are ordered by name, so that the order is deterministic. */
function queuesByService (pending: readonly PendingLoad[]): Map<ServiceName, PendingLoad[]> {
  const queues = new Map<ServiceName, PendingLoad[]>()
  for (const load of [...pending].sort(byWorkPerByte)) {
    const queue = queues.get(load.service)
    if (queue === undefined) queues.set(load.service, [load])
    else queue.push(load)
  }
  return queues
}

/** Removes and returns the next load of the service that lacks the largest fraction of its need. */
function takeNextLoad (queues: ReadonlyMap<ServiceName, PendingLoad[]>, need: ReadonlyMap<ServiceName, number>, supply: ReadonlyMap<ServiceName, number>): PendingLoad | undefined {
  let best: ServiceName | undefined
  let maxShortage = -Infinity
  for (const [service, queue] of queues) {
    if (queue.length === 0) continue
    const wanted = need.get(service) ?? 0
    const shortage = wanted === 0 ? 0 : 1 - (supply.get(service) ?? 0) / wanted
    if (shortage > maxShortage) [best, maxShortage] = [service, shortage]
  }
  return best === undefined ? undefined : queues.get(best)?.shift()
}

function byWorkPerByte (left: PendingLoad, right: PendingLoad): number {
  const difference = right.capacity / right.bytes - left.capacity / left.bytes
  if (difference !== 0) return difference
  return left.upstream < right.upstream ? -1 : 1
}
