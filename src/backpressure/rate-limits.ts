/**
 * Rate limits that upstreams name in their answers, kept by all nodes together without a message for each request.
 *
 * Each limit is dealt to few nodes by rendezvous hashing, and each of these keeps a pause between two requests. So the
 * sum holds in any window, and not only on average as it would where each of many nodes sends one request now and then.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { score } from '../membership/rendezvous.js'
import { upstreamLifeSchema } from '../placement/index.js'
import type { UpstreamLife } from '../placement/index.js'

/** What a node last heard of the limits of upstreams, by their lives. */
export const toldLimitsSchema = z.record(upstreamLifeSchema, z.object({
  /** Requests a second; missing where the upstream names no limit any more. */
  rate: z.number().optional(),
  /** Since the answer came that says so, in milliseconds. */
  age: z.number()
}))
export type ToldLimits = z.infer<typeof toldLimitsSchema>

/** What a node may send to an upstream that names a limit. */
export interface Pace {
  /** Requests a second that the upstream takes from all nodes. */
  readonly rate: number
  /** Least pause between two requests of this node; undefined where others have the whole limit. */
  readonly pause: Milliseconds | undefined
}

/** A pace that is another than before; undefined where there is no limit any more. */
export interface PaceChange {
  readonly life: UpstreamLife
  readonly pace: Pace | undefined
}

/** Limits as one node knows them. */
export interface RateLimits {
  /**
   * An answer has named this limit, or none.
   *
   * @param sentAt when its request was sent
   */
  heard (life: UpstreamLife, rate: number | undefined, sentAt: Milliseconds, now: Milliseconds): PaceChange | undefined
  /** What this node tells the others: what it heard itself. */
  told (now: Milliseconds): ToldLimits
  /** What the others have told. */
  observe (others: readonly ToldLimits[], now: Milliseconds): PaceChange[]
  /** Names of the nodes that may serve now, to which limits are dealt. */
  deal (nodes: readonly string[], now: Milliseconds): PaceChange[]
  /** Time until this node may send a request there; 0 when it may now. Where others have the whole limit, the time in which they send one. */
  wait (life: UpstreamLife, now: Milliseconds): Milliseconds
  allows (life: UpstreamLife, now: Milliseconds): boolean
  /** This node sends a request there. */
  taken (life: UpstreamLife, now: Milliseconds): void
  /** Lives that name a limit now. */
  all (): readonly UpstreamLife[]
}

/**
 * Nodes that a small limit is dealt to: as many as may fall silent together without the upstream being left alone, and
 * few enough that one request of each, at the worst all in one moment, is no burst.
 */
const FEWEST_SENDERS = 4

/** An upstream that names no more than this is asked as seldom: otherwise nobody would hear that it takes more again. */
const LEAST_RATE = 0.1

/** What another node tells may be as old as this when it comes; what was heard here within it goes first. */
const TOLD_LAG: Milliseconds = 3 * SECOND

/**
 * Time without news of a limit, in requests that it allows and at least in milliseconds, from which on the other nodes try the
 * upstream in turn, with this part of the limit. Failure guarded against: its senders have no requests, nobody hears that it
 * names no limit any more, and it stands idle.
 */
const UNHEARD_REQUESTS = 3
const UNHEARD_AFTER: Milliseconds = 10 * SECOND
const UNHEARD_PART = 0.1

/** An answer that is older isn't told any more: each node has heard of it by then. */
const TOLD_FOR: Milliseconds = 30 * SECOND

/**
 * A node that is gone keeps its part for so long. Failure guarded against: all records of nodes lapse with the store and come
 * back one by one; each node would see few others, take a part, and all together would have many times the limit.
 */
const DEPARTED_FOR: Milliseconds = 6 * SECOND

/** Lives whose limit is remembered; beyond it the ones longest without news are forgotten. */
const MOST_LIVES = 1_000

/** What was last heard of one upstream's limit. */
interface KnownLimit {
  /** Requests a second; undefined once the upstream names none any more. */
  readonly rate: number | undefined
  /** When the answer came that says so. */
  readonly at: Milliseconds
  /** This node heard it from the upstream itself. */
  readonly isOwn: boolean
  /** Least pause between two requests of this node; undefined where it sends none, or there is no limit. */
  readonly pause: Milliseconds | undefined
  /** Place among the nodes in the order of this upstream; undefined while this node isn't known to be one. */
  readonly rank: number | undefined
  /** When this node began to be one of the senders. */
  readonly since: Milliseconds
  /** When this node last sent a request. */
  lastSent: Milliseconds
}

/**
 * @param node name of this node
 * @example
 * const limits = createRateLimits('entry-1')
 * limits.deal(['entry-1', 'entry-2'], clock.now())
 * limits.heard(upstream.life, 2, sentAt, clock.now())
 * limits.allows(upstream.life, clock.now())
 */
export function createRateLimits (node: string): RateLimits {
  const limits = new Map<UpstreamLife, KnownLimit>()
  const seen = new Map<string, Milliseconds>()
  let nodes: readonly string[] = []

  function put (life: UpstreamLife, rate: number | undefined, at: Milliseconds, isOwn: boolean, now: Milliseconds): PaceChange | undefined {
    const known = limits.get(life)
    const rank = rankAt(life)
    const pause = rate === undefined || rank === undefined ? undefined : pauseOf(rate, rank)
    // A node that begins to keep a limit waits for a whole pause: it sent without one until now.
    const since = known?.pause === undefined ? now : known.since
    limits.delete(life)
    limits.set(life, { rate, at, isOwn, pause, rank, since, lastSent: known?.lastSent ?? -Infinity })
    forgetOldest()
    return known?.rate === rate && known?.pause === pause ? undefined : { life, pace: rate === undefined ? undefined : { rate, pause } }
  }

  function forgetOldest (): void {
    const [oldest] = limits.keys()
    if (limits.size > MOST_LIVES && oldest !== undefined) limits.delete(oldest)
  }

  function rankAt (life: UpstreamLife): number | undefined {
    if (!nodes.includes(node)) return undefined
    const own = score(life, node)
    return nodes.filter((name) => name !== node && score(life, name) > own).length
  }

  function pauseOf (rate: number, rank: number): Milliseconds | undefined {
    const senders = Math.min(nodes.length, FEWEST_SENDERS + Math.floor(rate))
    return rank < senders ? senders * meanPause(rate) : undefined
  }

  /** When this node may send a request next. */
  function nextAt ({ rate, at, pause, rank, since, lastSent }: KnownLimit): Milliseconds {
    if (rate === undefined) return -Infinity
    if (pause !== undefined) return Math.max(since, lastSent) + pause
    if (rank === undefined) return Infinity
    const turn = meanPause(rate) / UNHEARD_PART
    const unheard = at + Math.max(UNHEARD_AFTER, UNHEARD_REQUESTS * meanPause(rate))
    return Math.max(unheard + rank * turn, lastSent + nodes.length * turn)
  }

  /** Where others have the whole limit, a caller that comes back meets one of them as soon as they may send. */
  function wait (life: UpstreamLife, now: Milliseconds): Milliseconds {
    const limit = limits.get(life)
    if (limit?.rate === undefined) return 0
    const own = Math.max(0, nextAt(limit) - now)
    return limit.pause === undefined ? Math.min(own, meanPause(limit.rate)) : own
  }

  return {
    heard: (life, rate, sentAt, now) => {
      const known = limits.get(life)
      if (rate === undefined && known === undefined) return undefined
      // Failure guarded against: an answer from before the limit comes late, and the limit would be taken for lifted.
      if (rate === undefined && known?.rate !== undefined && sentAt < known.at) return undefined
      return put(life, rate, now, true, now)
    },
    told: (now) => Object.fromEntries([...limits]
      .filter(([, { isOwn, at }]) => isOwn && now - at < TOLD_FOR)
      .map(([life, { rate, at }]) => [life, { rate, age: Math.round(now - at) }])),
    observe: (others, now) => {
      const changes: (PaceChange | undefined)[] = []
      for (const told of others) {
        for (const [name, { rate, age }] of Object.entries(told)) {
          const life = name as UpstreamLife
          const known = limits.get(life)
          const isNews = known === undefined ? rate !== undefined : now - age > known.at + TOLD_LAG
          if (isNews) changes.push(put(life, rate, now - age, false, now))
        }
      }
      return changes.filter((change) => change !== undefined)
    },
    deal: (present, now) => {
      for (const name of present) seen.set(name, now)
      for (const [name, at] of seen) if (now - at > DEPARTED_FOR) seen.delete(name)
      if (nodes.length === seen.size && nodes.every((name) => seen.has(name))) return []
      nodes = [...seen.keys()]
      return [...limits].map(([life, { rate, at, isOwn }]) => put(life, rate, at, isOwn, now)).filter((change) => change !== undefined)
    },
    wait,
    allows: (life, now) => {
      const limit = limits.get(life)
      return limit === undefined || now >= nextAt(limit)
    },
    taken: (life, now) => {
      const limit = limits.get(life)
      if (limit !== undefined) limit.lastSent = now
    },
    all: () => [...limits].filter(([, { rate }]) => rate !== undefined).map(([life]) => life)
  }
}

/**
 * @param told by different nodes
 * @returns what was heard last of each life
 * @example
 * mergeLimits([{ [life]: { rate: 1, age: 900 } }, { [life]: { age: 100 } }]) // no limit any more
 */
export function mergeLimits (told: readonly ToldLimits[]): ToldLimits {
  const merged: ToldLimits = {}
  for (const [name, limit] of told.flatMap((one) => Object.entries(one))) {
    const life = name as UpstreamLife
    const known = merged[life]
    if (known === undefined || limit.age < known.age) merged[life] = limit
  }
  return merged
}

function meanPause (rate: number): Milliseconds {
  return SECOND / Math.max(LEAST_RATE, rate)
}
