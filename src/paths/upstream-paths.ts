/**
 * Decides by which path a node reaches each upstream: directly, or relayed by another node.
 *
 * Failure guarded against: a node loses the paths to upstreams that other nodes still reach. Taken for failures of the
 * upstreams, it makes the node fail every request over the same lost link. A relayed connection that opens where a direct one
 * does not shows that the path was lost and the upstream was not.
 */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** An upstream whose direct path is lost. */
export interface LostPath {
  readonly incarnation: UpstreamIncarnation
  readonly since: Milliseconds
}

/** Paths of one node to the upstreams. */
export interface UpstreamPaths {
  /** Whether the direct path is lost, so that connections are relayed. */
  isRelayed (incarnation: UpstreamIncarnation): boolean
  /** Time for which a direct connection is tried alone before a relayed one is tried as well. */
  headStart (): Milliseconds
  /** A direct connection has opened. @returns the loss that ends with it, if any */
  directOpened (incarnation: UpstreamIncarnation): LostPath | undefined
  /** A relayed connection has opened, and no direct one. @returns whether the loss of the direct path is new */
  relayOpened (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /**
   * Whether connections that have received nothing since `heardAt` may hang, since the node has lost several paths after that
   * time.
   */
  isDoubtful (heardAt: Milliseconds): boolean
  /** None of the nodes that were asked to relay had a path either. */
  searchFailed (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** Whether other nodes are asked for a path now. */
  maySearch (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /** The lost path that was tested least recently, to be tested next; undefined if none is lost. */
  nextToTest (now: Milliseconds): LostPath | undefined
  lost (): readonly LostPath[]
  /** Forgets all other incarnations. */
  retainOnly (incarnations: ReadonlySet<UpstreamIncarnation>): void
}

/** A direct connection within a region opens in a few milliseconds, but a busy node notices it later. The delay that RFC 8305 recommends. */
const HEAD_START: Milliseconds = 250

/** The head start while other paths are lost. A direct connection opens in it unless the node or the upstream is busy. */
const SHORT_HEAD_START: Milliseconds = 30

/**
 * Two paths that are lost within this time show that the node's own link is affected. One alone may be a lost packet or an
 * upstream that accepts slowly.
 */
const JOINT_LOSS_WINDOW: Milliseconds = 3_000

/**
 * Time for which no node is asked for a path after those that were asked had none. The record of an upstream that has ended lapses
 * within it, and a direct connection is still tried meanwhile.
 */
const SEARCH_PAUSE: Milliseconds = 5_000

interface TestedPath extends LostPath {
  testedAt: Milliseconds
}

/**
 * Creates the paths of a node, all of them direct.
 *
 * @example
 * const paths = createUpstreamPaths()
 * paths.relayOpened(upstream.incarnation, clock.now())
 * paths.isRelayed(upstream.incarnation) // true
 */
export function createUpstreamPaths (): UpstreamPaths {
  const lost = new Map<UpstreamIncarnation, TestedPath>()
  const failedSearches = new Map<UpstreamIncarnation, Milliseconds>()
  let jointLossAt = -Infinity

  function noteJointLoss (now: Milliseconds): void {
    const recent = [...lost.values()].filter(({ since }) => now - since < JOINT_LOSS_WINDOW)
    // Marked once a window: connections that were opened since the last mark have been heard from.
    if (recent.length > 1 && now - jointLossAt >= JOINT_LOSS_WINDOW) jointLossAt = now
  }

  return {
    isRelayed: (incarnation) => lost.has(incarnation),
    headStart: () => lost.size > 0 ? SHORT_HEAD_START : HEAD_START,
    directOpened: (incarnation) => {
      const ended = lost.get(incarnation)
      lost.delete(incarnation)
      failedSearches.delete(incarnation)
      return ended
    },
    relayOpened: (incarnation, now) => {
      if (lost.has(incarnation)) return false
      lost.set(incarnation, { incarnation, since: now, testedAt: now })
      noteJointLoss(now)
      return true
    },
    isDoubtful: (heardAt) => heardAt < jointLossAt,
    searchFailed: (incarnation, now) => { failedSearches.set(incarnation, now) },
    maySearch: (incarnation, now) => now - (failedSearches.get(incarnation) ?? -Infinity) >= SEARCH_PAUSE,
    nextToTest: (now) => {
      let next: TestedPath | undefined
      for (const path of lost.values()) if (next === undefined || path.testedAt < next.testedAt) next = path
      if (next !== undefined) next.testedAt = now
      return next
    },
    lost: () => [...lost.values()],
    retainOnly: (incarnations) => {
      for (const known of [lost, failedSearches]) {
        for (const incarnation of known.keys()) if (!incarnations.has(incarnation)) known.delete(incarnation)
      }
    }
  }
}
