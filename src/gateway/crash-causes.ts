/** Refuses requests with parts of prompts that crash upstreams, and exchanges what is known of them with the other nodes. */
import type { Clock, Milliseconds } from '../clock.js'
import { createCrashCauses } from '../crash-causes/index.js'
import type { CrashEvidence, Moment, PartId } from '../crash-causes/index.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import { rank } from '../membership/rendezvous.js'
import { refusal } from './acceptance.js'

/** Crashes of upstreams and the parts of prompts that cause them, as this node knows them. */
export interface CrashWatch {
  /**
   * Admits a new request.
   *
   * @returns the part that the request probes, if any
   * @throws ServingError `not-run` if it holds a part that crashes upstreams
   */
  admit (request: string | undefined, parts: readonly PartId[]): PartId | undefined
  /** The part for which a request that has been admitted must not be sent now; undefined if it may be. */
  refusedPart (parts: readonly PartId[], probed: PartId | undefined): PartId | undefined
  /** Whether a request with these parts is not sent once more by itself. */
  isSuspected (parts: readonly PartId[]): boolean
  /** Calls `abort` when one of the parts turns out to crash upstreams. @returns function that ends this */
  watch (parts: readonly PartId[], probed: PartId | undefined, abort: (isDoubtful: boolean) => void): () => void
  /** A run ended with the connection to its upstream, `writtenFor` after its answer began, or before it began. */
  crashed (upstream: UpstreamRecord, parts: readonly PartId[], writtenFor: Milliseconds | undefined, probed: PartId | undefined): void
  /** A run ended before its answer did, for another reason than its upstream. */
  left (upstream: UpstreamRecord, parts: readonly PartId[]): void
  /** A run whose answer began at `began` has been answered completely, or for the survival time. */
  survived (parts: readonly PartId[], began: Milliseconds): void
  /** An upstream has begun to answer a request that was sent at `sentAt`. */
  alive (upstream: UpstreamRecord, sentAt: Milliseconds): void
  /** Whether the crash of an upstream is explained by a part of a prompt. */
  explains (upstream: UpstreamIncarnation): boolean
  /** Number of parts that crash upstreams. */
  causeCount (): number
  /** What the causes rest on, from which any node finds them. */
  supporting (): CrashEvidence
  /** What this node reports. */
  told (): CrashEvidence
  /** Takes what the other nodes have reported. @returns whether it holds anything new */
  observe (reports: readonly CrashEvidence[]): boolean
}

/** Dependencies of {@link createCrashWatch}. */
export interface CrashWatchOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** Name of this node. */
  readonly node: string
  /** Names of the nodes that may be serving. */
  readonly nodeNames: () => readonly string[]
  /** Wall time that the nodes agree on. */
  readonly wall: () => Milliseconds
  /** Tells other nodes at once what this node has seen. */
  readonly announce: () => void
}

/** `Retry-After` of a request that crashes upstreams. It is still refused then, unless it has been found to be sound. */
export const CRASH_RETRY_AFTER: Milliseconds = 30_000

/** `Retry-After` of a request with a part that may be sound. By then it has been probed. */
const DOUBT_RETRY_AFTER: Milliseconds = 2_000

/** Minimum time between two announcements of one node. */
const ANNOUNCEMENT_INTERVAL: Milliseconds = 100

interface Watcher {
  readonly parts: readonly PartId[]
  readonly probed: PartId | undefined
  readonly abort: (isDoubtful: boolean) => void
}

/**
 * Creates the watch of a node that knows of no crash.
 *
 * @example
 * const crashes = createCrashWatch({ clock, log, node: settings.name, nodeNames: fleet.nodeNames, wall: fleet.wall, announce: fleet.announce })
 */
export function createCrashWatch ({ clock, log, node, nodeNames, wall, announce }: CrashWatchOptions): CrashWatch {
  const causes = createCrashCauses({ isProber: (part) => pickNode(part, nodeNames()) === node })
  const watchers = new Set<Watcher>()
  let knownCauses: ReadonlySet<PartId> = new Set()
  let announcedAt = -Infinity
  let isAnnouncing = false

  function moment (): Moment {
    return { now: clock.now(), wall: wall() }
  }

  /** Logs what has changed, and ends the requests that must not run any longer. */
  function applyCauses (): void {
    const present = causes.causes()
    const parts = new Set(present.map(({ part }) => part))
    for (const { part, crashes, isDoubtful } of present) if (!knownCauses.has(part)) log.warn('crash-cause-found', { part, upstreams: crashes.join(' '), doubtful: isDoubtful })
    for (const part of knownCauses) if (!parts.has(part)) log.info('crash-cause-cleared', { part })
    knownCauses = parts
    for (const { part, isDoubtful } of present) {
      for (const watcher of [...watchers]) if (watcher.probed !== part && watcher.parts.includes(part)) watcher.abort(isDoubtful)
    }
  }

  /** Announces at most once in an interval; what is seen meanwhile goes with the next announcement. */
  function announceSoon (): void {
    if (isAnnouncing) return
    isAnnouncing = true
    clock.schedule(Math.max(0, announcedAt + ANNOUNCEMENT_INTERVAL - clock.now()), () => {
      isAnnouncing = false
      announcedAt = clock.now()
      announce()
    })
  }

  return {
    admit: (request, parts) => {
      const verdict = causes.admit(parts, moment())
      switch (verdict.kind) {
        case 'admitted': return undefined
        case 'probe':
          log.info('crash-cause-probed', { request, part: verdict.part })
          return verdict.part
        case 'refused': throw refusal('overloaded', `part ${verdict.part} of the prompt has crashed the upstreams that began to answer it`, verdict.isDoubtful ? DOUBT_RETRY_AFTER : CRASH_RETRY_AFTER)
      }
    },
    refusedPart: causes.causeAmong,
    isSuspected: causes.isSuspected,
    watch: (parts, probed, abort) => {
      if (parts.length === 0) return () => {}
      const watcher: Watcher = { parts, probed, abort }
      watchers.add(watcher)
      return () => watchers.delete(watcher)
    },
    crashed: ({ incarnation, id, service }, parts, writtenFor, probed) => {
      if (parts.length === 0) return
      if (causes.crashed(incarnation, parts, writtenFor, moment(), probed)) log.info('upstream-crash-seen', { upstream: id, service, parts: parts.length })
      announceSoon()
      applyCauses()
    },
    left: ({ incarnation }, parts) => {
      causes.left(incarnation, parts, moment())
      applyCauses()
    },
    survived: (parts, began) => {
      causes.survived(parts, began, clock.now())
      applyCauses()
    },
    alive: ({ incarnation }, sentAt) => causes.alive(incarnation, sentAt, clock.now()),
    explains: causes.explains,
    causeCount: () => knownCauses.size,
    supporting: causes.supporting,
    told: () => causes.told(clock.now()),
    observe: (reports) => {
      const isNew = causes.observe(reports, moment())
      if (isNew) applyCauses()
      return isNew
    }
  }
}

/**
 * The node that does something for all. Nodes that know the same names find the same one.
 *
 * @returns undefined if there are no names
 * @example
 * pickNode('5c1e07a2', fleet.nodeNames()) === settings.name
 */
export function pickNode (key: string, names: readonly string[]): string | undefined {
  const [first] = rank(key, names.map((name) => ({ incarnation: name, failureDomain: '' })))
  return first?.incarnation
}
