/**
 * Reads the nodes' reports for what services were offered and how they answered. Each report is
 * cumulative and carries its own time, so a node's rate is the difference of two of its reports, and
 * reports that come at different times, twice or not at all do no harm.
 */
import { findClass } from '../configuration/index.js'
import type { Configuration } from '../configuration/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation, ServiceName } from '../identifiers.js'
import type { KeyValue } from '../protocols/key-value.js'
import { decodeSnapshot, endsIncarnation, shardPrefix, SHARDS, snapshotName } from '../report/index.js'
import type { Snapshot } from '../report/index.js'

/** What one service was offered and did, summed over the nodes. */
export interface ServiceRates {
  requestsPerSecond: number
  /** Generated tokens, or requests of a plain service, a second. */
  workPerSecond: number
  /** Answers within and outside their target since the last reading. */
  served: number
  late: number
  /** Tokens computed again since the last reading. */
  recomputedTokens: number
}

/** Reads rates. */
export interface DemandReader {
  /** Rates by service; empty for a service that no node reported anything of. */
  read (configuration: Configuration, signal: AbortSignal): Promise<ReadonlyMap<ServiceName, ServiceRates>>
}

interface Sums {
  requests: number
  work: number
  served: number
  late: number
  recomputedTokens: number
}

/** One epoch of one node as it was read last. */
interface KnownEpoch {
  readonly name: string
  readonly incarnation: Incarnation
  readonly epoch: number
  /** Whether the node was gone with this epoch. */
  readonly ended: boolean
  readonly writtenAt: Milliseconds
  readonly nextWithin: Milliseconds
  readonly sums: ReadonlyMap<ServiceName, Sums>
  /** Latest change: over which time, and by how much. */
  readonly interval: Milliseconds
  readonly change: ReadonlyMap<ServiceName, Sums>
}

/** A report that has not been renewed within this many times its pace says nothing of the present. */
const STALE_PACES = 2

/**
 * @param wall wall clock, by which nodes date their reports
 * @example
 * const rates = await createDemandReader(keyValue, clock.wall).read(configuration, signal)
 */
export function createDemandReader (keyValue: KeyValue, wall: () => Milliseconds): DemandReader {
  let known = new Map<string, KnownEpoch>()

  return {
    read: async (configuration, signal) => {
      const next = new Map<string, KnownEpoch>()
      const fresh = new Set<string>()
      const shards = await Promise.all(Array.from({ length: SHARDS }, (_, shard) => keyValue.list(shardPrefix(shard), signal)))
      for (const { entries } of shards) {
        for (const entry of entries) {
          const snapshot = decodeSnapshot(entry.value)
          if (snapshot === undefined) continue
          const name = snapshotName(snapshot)
          const before = known.get(name)
          if (before === undefined || before.writtenAt < snapshot.writtenAt) fresh.add(name)
          next.set(name, before?.writtenAt === snapshot.writtenAt ? before : epochOf(snapshot, before, configuration))
        }
      }
      known = next
      return ratesOf(presentEpochs(next.values(), wall()), fresh)
    }
  }
}

function epochOf (snapshot: Snapshot, before: KnownEpoch | undefined, configuration: Configuration): KnownEpoch {
  const sums = sumsOf(snapshot, configuration)
  const change = new Map([...sums].map(([service, now]) => [service, difference(now, before?.sums.get(service))]))
  const { incarnation, epoch, writtenAt, nextWithin } = snapshot
  return { name: snapshotName(snapshot), incarnation, epoch, ended: endsIncarnation(snapshot.state), writtenAt, nextWithin, sums, change, interval: writtenAt - (before?.writtenAt ?? snapshot.since) }
}

function sumsOf (snapshot: Snapshot, configuration: Configuration): Map<ServiceName, Sums> {
  const sums = new Map<ServiceName, Sums>()
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
 * The epoch that tells what each living node does now: its newest one that spans a time. An epoch that
 * was closed on the hour stays until it is folded, and would count twice.
 */
function presentEpochs (epochs: Iterable<KnownEpoch>, now: Milliseconds): KnownEpoch[] {
  const newest = new Map<Incarnation, KnownEpoch>()
  for (const epoch of epochs) {
    const known = newest.get(epoch.incarnation)
    if (epoch.interval >= SECOND && (known === undefined || known.epoch < epoch.epoch)) newest.set(epoch.incarnation, epoch)
  }
  return [...newest.values()].filter((epoch) => !epoch.ended && now - epoch.writtenAt <= epoch.nextWithin * STALE_PACES)
}

function ratesOf (epochs: readonly KnownEpoch[], fresh: ReadonlySet<string>): Map<ServiceName, ServiceRates> {
  const rates = new Map<ServiceName, ServiceRates>()
  for (const epoch of epochs) {
    for (const [service, change] of epoch.change) {
      const rate = rates.get(service) ?? { requestsPerSecond: 0, workPerSecond: 0, served: 0, late: 0, recomputedTokens: 0 }
      rate.requestsPerSecond += change.requests * SECOND / epoch.interval
      rate.workPerSecond += change.work * SECOND / epoch.interval
      if (fresh.has(epoch.name)) {
        rate.served += change.served
        rate.late += change.late
        rate.recomputedTokens += change.recomputedTokens
      }
      rates.set(service, rate)
    }
  }
  return rates
}

function difference (now: Sums, before: Sums | undefined): Sums {
  if (before === undefined) return now
  return {
    requests: Math.max(0, now.requests - before.requests),
    work: Math.max(0, now.work - before.work),
    served: Math.max(0, now.served - before.served),
    late: Math.max(0, now.late - before.late),
    recomputedTokens: Math.max(0, now.recomputedTokens - before.recomputedTokens)
  }
}
