/**
 * Rate limits that upstreams name in their answers, enforced by all nodes together without coordination per
 * request.
 *
 * Each limit is assigned to a few nodes by rendezvous hashing, and each of these nodes keeps a minimum pause between
 * two requests. The sum therefore stays below the limit in any window. If every node sent a request now and then, the
 * limit would hold only on average.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { evictOldest } from '../evict-oldest.js'
import { score } from '../membership/rendezvous.js'
import { mergeByName } from '../named-values.js'
import { upstreamIncarnationSchema } from '../placement/index.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** Limits that a node has received from upstreams, by incarnation. Exchanged between nodes. */
export const reportedLimitsSchema = z.record(upstreamIncarnationSchema, z.object({
  /** Requests per second. Missing if the upstream no longer names a limit. */
  rate: z.number().optional(),
  /** Milliseconds since the answer that named this limit was received. */
  age: z.number()
}))
export type ReportedLimits = z.infer<typeof reportedLimitsSchema>

/** Limit that applies to one node's requests to an upstream. */
export interface NodeRateLimit {
  /** Requests per second that the upstream accepts from all nodes together. */
  readonly rate: number
  /** Minimum time between two requests of this node. Undefined if the whole limit is assigned to other nodes. */
  readonly pause: Milliseconds | undefined
}

/** A changed limit of one upstream. `limit` is undefined if the upstream has no limit any more. */
export interface RateLimitChange {
  readonly incarnation: UpstreamIncarnation
  readonly limit: NodeRateLimit | undefined
}

/** The rate limits that one node knows of. */
export interface RateLimits {
  /**
   * Records the limit that an answer named, or that it named none.
   *
   * @param sentAt when the request of this answer was sent
   * @returns the change, or undefined if nothing changed for this node
   */
  heard (incarnation: UpstreamIncarnation, rate: number | undefined, sentAt: Milliseconds, now: Milliseconds): RateLimitChange | undefined
  /** Limits that this node learnt from answers within the last 30 seconds, to be reported to other nodes. */
  told (now: Milliseconds): ReportedLimits
  /**
   * Merges limits that other nodes have reported.
   *
   * @returns the limits that changed for this node
   */
  observe (others: readonly ReportedLimits[], now: Milliseconds): RateLimitChange[]
  /**
   * Sets the nodes that may serve now, to which limits are assigned.
   *
   * @returns the limits that changed for this node
   */
  setNodes (nodes: readonly string[], now: Milliseconds): RateLimitChange[]
  /**
   * Milliseconds until this node may send a request to the upstream. 0 if it may now. If the whole limit is assigned
   * to other nodes, at most the mean time between two of their requests.
   */
  wait (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds
  /** Whether this node may send a request to the upstream now. */
  allows (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /** Records that this node sends a request to the upstream. */
  taken (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** Incarnations that currently have a limit. */
  all (): readonly UpstreamIncarnation[]
}

/**
 * Minimum number of nodes that a limit is assigned to. If some of them stop sending, the others keep using the
 * upstream. The number is small enough that simultaneous requests of all of them are no burst.
 */
const MIN_SENDERS = 4

/**
 * Requests per second at which an upstream with a lower limit is still contacted. Otherwise no node would learn when
 * the limit is raised.
 */
const MIN_RATE = 0.1

/**
 * Maximum delay of a report from another node. The age in a report does not include this delay, so a report replaces
 * a known limit only if it is newer by more than this.
 */
const MAX_REPORT_DELAY: Milliseconds = 3 * SECOND

/**
 * If no answer has named the limit for this many of its intervals, and for at least PROBE_AFTER, the nodes without
 * a share may send a request in turn, at this fraction of the limit. Failure guarded against: the nodes with a share
 * have no requests to send, so no node learns that the limit was lifted, and the upstream stays idle.
 */
const PROBE_AFTER_REQUESTS = 3
const PROBE_AFTER: Milliseconds = 10 * SECOND
const PROBE_FRACTION = 0.1

/** Time for which a node reports a limit. By the end of it every node has received the report. */
const REPORT_PERIOD: Milliseconds = 30 * SECOND

/**
 * Time for which a vanished node keeps its share of the limits. Failure guarded against: when the store fails, the
 * records of all nodes expire and come back one by one. Each node would see only a few others and take a share on
 * that basis, and the shares would add up to several times the limit.
 */
const NODE_RETENTION: Milliseconds = 6 * SECOND

/** Maximum number of limits kept. The least recently updated ones are evicted beyond it. */
const MAX_INCARNATIONS = 1_000

/** The last known limit of one upstream incarnation. */
interface KnownLimit {
  /** Requests per second. Undefined once the upstream names no limit any more. */
  readonly rate: number | undefined
  /** When the answer that named the limit was received. */
  readonly at: Milliseconds
  /** Whether this node received that answer itself, rather than a report from another node. */
  readonly isDirect: boolean
  /** Minimum time between two requests of this node. Undefined if the node has no share, or if there is no limit. */
  readonly pause: Milliseconds | undefined
  /** Rank of this node in the rendezvous order for this upstream. Undefined while this node is not in the list of nodes. */
  readonly rank: number | undefined
  /** Since when this node has had a share. */
  readonly since: Milliseconds
  /** When this node last sent a request to the upstream. */
  lastSent: Milliseconds
}

/**
 * Creates the rate limits of one node.
 *
 * @param node name of this node
 * @example
 * const limits = createRateLimits('entry-1')
 * limits.setNodes(['entry-1', 'entry-2'], clock.now())
 * limits.heard(incarnation, 2, sentAt, clock.now())
 * limits.allows(incarnation, clock.now())
 */
export function createRateLimits (node: string): RateLimits {
  const limits = new Map<UpstreamIncarnation, KnownLimit>()
  const lastSeen = new Map<string, Milliseconds>()
  let nodes: readonly string[] = []

  function updateLimit (incarnation: UpstreamIncarnation, rate: number | undefined, at: Milliseconds, isDirect: boolean, now: Milliseconds): RateLimitChange | undefined {
    const known = limits.get(incarnation)
    const rank = rankFor(incarnation)
    const pause = rate === undefined || rank === undefined ? undefined : pauseFor(rate, rank)
    // A newly assigned node waits for one whole pause first, because it was sending without a limit until now.
    const since = known?.pause === undefined ? now : known.since
    limits.delete(incarnation)
    limits.set(incarnation, { rate, at, isDirect, pause, rank, since, lastSent: known?.lastSent ?? -Infinity })
    evictOldest(limits, MAX_INCARNATIONS)
    return known?.rate === rate && known?.pause === pause ? undefined : { incarnation, limit: rate === undefined ? undefined : { rate, pause } }
  }

  function rankFor (incarnation: UpstreamIncarnation): number | undefined {
    if (!nodes.includes(node)) return undefined
    const ownScore = score(incarnation, node)
    return nodes.filter((name) => name !== node && score(incarnation, name) > ownScore).length
  }

  function pauseFor (rate: number, rank: number): Milliseconds | undefined {
    const senders = Math.min(nodes.length, MIN_SENDERS + Math.floor(rate))
    return rank < senders ? senders * meanInterval(rate) : undefined
  }

  /** Time from which this node may send its next request. */
  function nextAttemptAt ({ rate, at, pause, rank, since, lastSent }: KnownLimit): Milliseconds {
    if (rate === undefined) return -Infinity
    if (pause !== undefined) return Math.max(since, lastSent) + pause
    if (rank === undefined) return Infinity
    const probeInterval = meanInterval(rate) / PROBE_FRACTION
    const probeFrom = at + Math.max(PROBE_AFTER, PROBE_AFTER_REQUESTS * meanInterval(rate))
    return Math.max(probeFrom + rank * probeInterval, lastSent + nodes.length * probeInterval)
  }

  /**
   * If the whole limit is assigned to other nodes, a caller that retries after the mean interval reaches one of them
   * when it may send.
   */
  function wait (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds {
    const limit = limits.get(incarnation)
    if (limit?.rate === undefined) return 0
    const ownWait = Math.max(0, nextAttemptAt(limit) - now)
    return limit.pause === undefined ? Math.min(ownWait, meanInterval(limit.rate)) : ownWait
  }

  return {
    heard: (incarnation, rate, sentAt, now) => {
      const known = limits.get(incarnation)
      if (rate === undefined && known === undefined) return undefined
      // Failure guarded against: a delayed answer to a request that was sent before the limit was named does not
      // name it, and the limit would be taken as lifted.
      if (rate === undefined && known?.rate !== undefined && sentAt < known.at) return undefined
      return updateLimit(incarnation, rate, now, true, now)
    },
    told: (now) => Object.fromEntries([...limits]
      .filter(([, { isDirect, at }]) => isDirect && now - at < REPORT_PERIOD)
      .map(([incarnation, { rate, at }]) => [incarnation, { rate, age: Math.round(now - at) }])),
    observe: (others, now) => {
      const changes: (RateLimitChange | undefined)[] = []
      for (const report of others) {
        for (const [name, { rate, age }] of Object.entries(report)) {
          const incarnation = name as UpstreamIncarnation
          const known = limits.get(incarnation)
          const isNewer = known === undefined ? rate !== undefined : now - age > known.at + MAX_REPORT_DELAY
          if (isNewer) changes.push(updateLimit(incarnation, rate, now - age, false, now))
        }
      }
      return changes.filter((change) => change !== undefined)
    },
    setNodes: (current, now) => {
      for (const name of current) lastSeen.set(name, now)
      for (const [name, at] of lastSeen) if (now - at > NODE_RETENTION) lastSeen.delete(name)
      if (nodes.length === lastSeen.size && nodes.every((name) => lastSeen.has(name))) return []
      nodes = [...lastSeen.keys()]
      return [...limits].map(([incarnation, { rate, at, isDirect }]) => updateLimit(incarnation, rate, at, isDirect, now)).filter((change) => change !== undefined)
    },
    wait,
    allows: (incarnation, now) => {
      const limit = limits.get(incarnation)
      return limit === undefined || now >= nextAttemptAt(limit)
    },
    taken: (incarnation, now) => {
      const limit = limits.get(incarnation)
      if (limit !== undefined) limit.lastSent = now
    },
    all: () => [...limits].filter(([, { rate }]) => rate !== undefined).map(([incarnation]) => incarnation)
  }
}

/**
 * Merges the reports of several nodes.
 *
 * @param reports limits as reported by different nodes
 * @returns the most recent limit of each incarnation
 * @example
 * mergeLimits([{ [incarnation]: { rate: 1, age: 900 } }, { [incarnation]: { age: 100 } }]) // no limit any more
 */
export function mergeLimits (reports: readonly ReportedLimits[]): ReportedLimits {
  return mergeByName(reports, (known, limit) => known === undefined || limit.age < known.age ? limit : known)
}

function meanInterval (rate: number): Milliseconds {
  return SECOND / Math.max(MIN_RATE, rate)
}
