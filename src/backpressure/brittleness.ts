/**
 * Upstreams that fall over when they must refuse more than a number of requests in a second. They say so in their answers.
 *
 * Each node keeps its requests there within its share of the slots, and pauses after each refusal for as long as its share of
 * the refusals lasts, so that all nodes together stay below the number without coordination per request.
 */
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { evictOldest } from '../evict-oldest.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** Requests in flight at an upstream, and its slots. */
export interface UpstreamOccupancy {
  /** Requests of this node. */
  readonly own: number
  /** Requests of all nodes, as far as known. */
  readonly all: number
  readonly slots: number
}

/** Brittle upstreams, as one node knows them. */
export interface Brittleness {
  /**
   * Records what an answer said.
   *
   * @param maxRefusals refusals in a second that the upstream bears; undefined if the answer names no number
   * @param sentAt when the request of this answer was sent
   * @returns whether anything changed
   */
  heard (incarnation: UpstreamIncarnation, maxRefusals: number | undefined, sentAt: Milliseconds, now: Milliseconds): boolean
  /** Records that the upstream refused a request of this node for want of room. */
  refused (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** Milliseconds until this node may send a request to the upstream again. 0 if it may now. */
  wait (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds
  /**
   * Whether a further request of this node is within the room of the upstream.
   *
   * @param occupancy is called for brittle upstreams only
   */
  hasRoom (incarnation: UpstreamIncarnation, occupancy: () => UpstreamOccupancy): boolean
  /** Sets the number of nodes that share the upstreams. */
  setNodeCount (nodes: number): void
  /** Number of brittle upstreams. */
  count (): number
}

/** Fraction of the slots that all nodes together fill. The upstream counts a request for a little longer than its node, and waiting room may shrink to nothing. */
const FILLED_FRACTION = 0.8

/** Maximum pause after a refusal. The upstream has long freed a slot by then. */
const MAX_PAUSE: Milliseconds = 2 * SECOND

/** Maximum number of upstreams kept. The least recently updated ones are evicted beyond it. */
const MAX_INCARNATIONS = 1_000

interface BrittleUpstream {
  readonly maxRefusals: number
  readonly heardAt: Milliseconds
  pausedUntil: Milliseconds
}

/**
 * Creates the state of a node that knows of no brittle upstream.
 *
 * @example
 * const brittleness = createBrittleness()
 * brittleness.heard(incarnation, 20, sentAt, clock.now())
 * brittleness.hasRoom(incarnation, () => ({ own: 3, all: 12, slots: 64 }))
 */
export function createBrittleness (): Brittleness {
  const known = new Map<UpstreamIncarnation, BrittleUpstream>()
  let nodes = 1

  return {
    heard: (incarnation, maxRefusals, sentAt, now) => {
      const before = known.get(incarnation)
      // Failure guarded against: a delayed answer to a request that was sent before the upstream became brittle ends the caution.
      if (maxRefusals === undefined) return before !== undefined && sentAt >= before.heardAt && known.delete(incarnation)
      known.delete(incarnation)
      known.set(incarnation, { maxRefusals, heardAt: now, pausedUntil: before?.pausedUntil ?? -Infinity })
      evictOldest(known, MAX_INCARNATIONS)
      return before?.maxRefusals !== maxRefusals
    },
    refused: (incarnation, now) => {
      const upstream = known.get(incarnation)
      if (upstream === undefined) return
      const share = SECOND * nodes / Math.max(1, upstream.maxRefusals)
      upstream.pausedUntil = now + Math.min(MAX_PAUSE, share)
    },
    wait: (incarnation, now) => Math.max(0, (known.get(incarnation)?.pausedUntil ?? now) - now),
    hasRoom: (incarnation, occupancy) => {
      if (!known.has(incarnation)) return true
      const { own, all, slots } = occupancy()
      const ownShare = Math.floor(slots * FILLED_FRACTION / nodes)
      // Failure guarded against: loads of other nodes are up to 2 s old. Nodes that have a share each would all stop at a peak and all
      // start again when it has been reported as over.
      return ownShare > 0 ? own < ownShare : own === 0 && all < slots * FILLED_FRACTION
    },
    setNodeCount: (count) => { nodes = Math.max(1, count) },
    count: () => known.size
  }
}
