/**
 * Reads the demand and the results of each service from the nodes' reports.
 *
 * Reports are cumulative and carry the time at which they were written. The rate of a node is the difference of two of
 * its reports divided by the time between them. Reports that arrive at different times, repeatedly or not at all
 * therefore do not distort the rates.
 */
import { findClass } from '../configuration/index.js'
import type { Configuration } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation, ServiceName } from '../identifiers.js'
import type { KeyValue } from '../protocols/key-value.js'
import { decodeSnapshot, endsIncarnation, shardPrefix, SHARDS, snapshotName } from '../report/index.js'
import type { Snapshot } from '../report/index.js'

/** Demand and results of one service, summed over the nodes. */
export interface ServiceRates {
  requestsPerSecond: number
  /** Generated tokens per second of a model service, requests per second of a plain service. */
  workPerSecond: number
  /** Answers within their target since the last read. */
  served: number
  /** Answers outside their target since the last read. */
  late: number
  /** Tokens recomputed since the last read. */
  recomputedTokens: number
}

/** Reads rates from the nodes' reports. */
export interface DemandReader {
  /**
   * Returns the rates by service. Services that no node reports on are missing.
   *
   * @throws ServingError if the key-value service is unavailable
   */
  read (configuration: Configuration, signal: AbortSignal): Promise<ReadonlyMap<ServiceName, ServiceRates>>
}

/** Cumulative counts of one service in one report. */
interface ServiceCounts {
  requests: number
  work: number
  served: number
  late: number
  recomputedTokens: number
}

/** One epoch of one node, as last read. */
interface KnownEpoch {
  readonly name: string
  readonly incarnation: Incarnation
  readonly epoch: number
  /** Whether the node's incarnation ended with this epoch. */
  readonly ended: boolean
  readonly writtenAt: Milliseconds
  /** Time within which the node announced its next report. */
  readonly nextWithin: Milliseconds
  readonly sums: ReadonlyMap<ServiceName, ServiceCounts>
  /** Time covered by the latest change. */
  readonly interval: Milliseconds
  /** Increase of the counts within the interval. */
  readonly change: ReadonlyMap<ServiceName, ServiceCounts>
}

/** A report is stale if it has not been renewed within this multiple of its announced interval. */
const STALE_INTERVALS = 2

/**
 * Creates a reader of rates.
 *
 * @param wall wall clock, in milliseconds. Nodes date their reports by it.
 * @example
 * const rates = await createDemandReader(keyValue, clock.wall).read(configuration, signal)
 */
export function createDemandReader (keyValue: KeyValue, wall: () => Milliseconds): DemandReader {
  let knownEpochs = new Map<string, KnownEpoch>()

  return {
    read: async (configuration, signal) => {
      const next = new Map<string, KnownEpoch>()
      const updated = new Set<string>()
      const shards = await Promise.all(Array.from({ length: SHARDS }, (_, shard) => keyValue.list(shardPrefix(shard), signal)))
      for (const { entries } of shards) {
        for (const entry of entries) {
          const snapshot = decodeSnapshot(entry.value)
          if (snapshot === undefined) continue
          const name = snapshotName(snapshot)
          const before = knownEpochs.get(name)
          if (before === undefined || before.writtenAt < snapshot.writtenAt) updated.add(name)
          next.set(name, before?.writtenAt === snapshot.writtenAt ? before : epochOf(snapshot, before, configuration))
        }
      }
      knownEpochs = next
      return ratesOf(currentEpochs(next.values(), wall()), updated)
    }
  }
}

function epochOf (snapshot: Snapshot, before: KnownEpoch | undefined, configuration: Configuration): KnownEpoch {
  const sums = countByService(snapshot, configuration)
  const change = new Map([...sums].map(([service, now]) => [service, difference(now, before?.sums.get(service))]))
  const { incarnation, epoch, writtenAt, nextWithin } = snapshot
  return { name: snapshotName(snapshot), incarnation, epoch, ended: endsIncarnation(snapshot.state), writtenAt, nextWithin, sums, change, interval: writtenAt - (before?.writtenAt ?? snapshot.since) }
}

function countByService (snapshot: Snapshot, configuration: Configuration): Map<ServiceName, ServiceCounts> {
  const sums = new Map<ServiceName, ServiceCounts>()
  for (const { class: name, counts } of snapshot.cells) {
    const service = findClass(configuration, name)?.service
    if (service === undefined) continue
    const isModel = configuration.services.some((candidate) => candidate.name === service && candidate.kind === 'model')
    const sum = sums.get(service) ?? { requests: 0, work: 0, served: 0, late: 0, recomputedTokens: 0 }
    const requests = (counts.accepted ?? 0) + (counts.refused ?? 0)
    sum.requests += requests
    sum.work += isModel ? counts.generatedTokens ?? 0 : requests
    sum.served += counts.served ?? 0
    sum.late += counts.late ?? 0
    sum.recomputedTokens += counts.recomputedTokens ?? 0
    sums.set(service, sum)
  }
  return sums
}

/**
 * The current epoch of each live node: its newest one that covers at least a second. An older epoch, closed on the
 * hour, stays stored until it is folded and would otherwise be counted in addition to its successor.
 */
function currentEpochs (epochs: Iterable<KnownEpoch>, now: Milliseconds): KnownEpoch[] {
  const newest = new Map<Incarnation, KnownEpoch>()
  for (const epoch of epochs) {
    const known = newest.get(epoch.incarnation)
    if (epoch.interval >= SECOND && (known === undefined || known.epoch < epoch.epoch)) newest.set(epoch.incarnation, epoch)
  }
  return [...newest.values()].filter((epoch) => !epoch.ended && now - epoch.writtenAt <= epoch.nextWithin * STALE_INTERVALS)
}

/**
 * Sums the rates of the epochs by service.
 *
 * @param updated names of epochs whose report is new since the last read. Only these add to the results.
 */
function ratesOf (epochs: readonly KnownEpoch[], updated: ReadonlySet<string>): Map<ServiceName, ServiceRates> {
  const rates = new Map<ServiceName, ServiceRates>()
  for (const epoch of epochs) {
    for (const [service, change] of epoch.change) {
      const rate = rates.get(service) ?? { requestsPerSecond: 0, workPerSecond: 0, served: 0, late: 0, recomputedTokens: 0 }
      rate.requestsPerSecond += change.requests * SECOND / epoch.interval
      rate.workPerSecond += change.work * SECOND / epoch.interval
      if (updated.has(epoch.name)) {
        rate.served += change.served
        rate.late += change.late
        rate.recomputedTokens += change.recomputedTokens
      }
      rates.set(service, rate)
    }
  }
  return rates
}

function difference (now: ServiceCounts, before: ServiceCounts | undefined): ServiceCounts {
  if (before === undefined) return now
  return {
    requests: Math.max(0, now.requests - before.requests),
    work: Math.max(0, now.work - before.work),
    served: Math.max(0, now.served - before.served),
    late: Math.max(0, now.late - before.late),
    recomputedTokens: Math.max(0, now.recomputedTokens - before.recomputedTokens)
  }
}
