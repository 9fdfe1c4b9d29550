/**
 * Crashes and the parts that ran there, merged from several nodes in any order: parts and proofs of soundness are only
 * added, and each crash keeps its earliest time.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR } from '../clock.js'
import type { UpstreamIncarnation } from '../placement/index.js'
import type { Crash, CrashEvidence, Crashes, PartId } from './types.js'

/** Records of crashes. */
export interface CrashRecords {
  /** All records, the earliest added first. */
  all (): Crashes
  /** Merges other records. @returns whether anything was new */
  merge (evidence: CrashEvidence): boolean
  /** Drops expired records, and the oldest beyond the maximum, but none of `kept` as long as there are others. */
  evict (wall: Milliseconds, kept: ReadonlySet<UpstreamIncarnation>): void
}

/** Maximum number of crashes that are kept. */
const MAX_CRASHES = 48

/** Maximum number of parts of one crash. Beyond it, parts that ran at other crashes as well go first. */
export const MAX_PARTS = 128

/** Time for which a crash is kept. Requests with a part that crashes upstreams may come rarely. */
const RETENTION: Milliseconds = HOUR

interface MutableCrash extends Crash {
  at: number
  readonly parts: Map<PartId, number>
  readonly fresh: Set<PartId>
  readonly sound: Set<PartId>
  refuted: boolean
}

/**
 * Creates empty records.
 *
 * @example
 * const records = createCrashRecords()
 * records.merge({ [upstream.incarnation]: { at: wall, parts: { '5c1e07a2': 0.1 }, fresh: ['5c1e07a2'], sound: [], refuted: false } })
 */
export function createCrashRecords (): CrashRecords {
  const crashes = new Map<UpstreamIncarnation, MutableCrash>()
  /** Number of crashes at which each part ran. */
  const crashCounts = new Map<PartId, number>()

  function crashOf (upstream: UpstreamIncarnation, at: Milliseconds): MutableCrash {
    const known = crashes.get(upstream) ?? { at, parts: new Map(), fresh: new Set(), sound: new Set(), refuted: false }
    known.at = Math.min(known.at, at)
    crashes.set(upstream, known)
    return known
  }

  function addPart (crash: MutableCrash, part: PartId, share: number): boolean {
    const known = crash.parts.get(part)
    if (known === undefined && crash.parts.size >= MAX_PARTS && !makeRoom(crash, part)) return false
    if (known === undefined) count(part, 1)
    crash.parts.set(part, Math.max(known ?? 0, share))
    return known === undefined
  }

  /**
   * Failure guarded against: a full upstream runs requests with more parts than are kept, and the one that crashes upstreams is left
   * out each time. Once it is kept for one crash, it displaces parts that ran at no other.
   */
  function makeRoom (crash: MutableCrash, part: PartId): boolean {
    if (!crashCounts.has(part)) return false
    for (const other of crash.parts.keys()) {
      if (crashCounts.get(other) !== 1) continue
      removePart(crash, other)
      return true
    }
    return false
  }

  function removePart (crash: MutableCrash, part: PartId): void {
    crash.parts.delete(part)
    crash.fresh.delete(part)
    count(part, -1)
  }

  function count (part: PartId, change: number): void {
    const next = (crashCounts.get(part) ?? 0) + change
    if (next > 0) crashCounts.set(part, next)
    else crashCounts.delete(part)
  }

  function remove (upstream: UpstreamIncarnation): void {
    for (const part of crashes.get(upstream)?.parts.keys() ?? []) count(part, -1)
    crashes.delete(upstream)
  }

  function addTo (set: Set<PartId>, part: PartId): boolean {
    if (set.has(part) || set.size >= MAX_PARTS) return false
    set.add(part)
    return true
  }

  /** Marks may arrive before their parts, and those without a part yield to others. */
  function addFresh (crash: MutableCrash, part: PartId): boolean {
    if (crash.fresh.size >= MAX_PARTS && crash.parts.has(part)) {
      const withoutPart = [...crash.fresh].find((marked) => !crash.parts.has(marked))
      if (withoutPart !== undefined) crash.fresh.delete(withoutPart)
    }
    return addTo(crash.fresh, part)
  }

  function mergeCrash (upstream: UpstreamIncarnation, { at, parts, fresh, sound, refuted }: CrashEvidence[UpstreamIncarnation]): boolean {
    let isNew = at < (crashes.get(upstream)?.at ?? Infinity)
    const crash = crashOf(upstream, at)
    for (const [part, share] of Object.entries(parts)) isNew = addPart(crash, part, share) || isNew
    for (const part of fresh) isNew = addFresh(crash, part) || isNew
    for (const part of sound) isNew = addTo(crash.sound, part) || isNew
    isNew ||= refuted && !crash.refuted
    crash.refuted ||= refuted
    return isNew
  }

  return {
    all: () => crashes,
    merge: (evidence) => {
      let isNew = false
      for (const [upstream, crash] of Object.entries(evidence)) isNew = mergeCrash(upstream as UpstreamIncarnation, crash) || isNew
      return isNew
    },
    evict: (wall, kept) => {
      for (const [upstream, { at }] of crashes) if (wall - at > RETENTION) remove(upstream)
      const droppable = [...crashes.keys()].filter((upstream) => !kept.has(upstream))
      const surplus = crashes.size - MAX_CRASHES
      if (surplus > 0) for (const upstream of [...droppable, ...kept].slice(0, surplus)) remove(upstream)
    }
  }
}

/**
 * Writes records as a message.
 *
 * @param parts selects the parts of a crash that are written
 * @example
 * toEvidence(records.all(), () => true)
 */
export function toEvidence (crashes: Crashes, parts: (part: PartId) => boolean): CrashEvidence {
  return Object.fromEntries([...crashes].map(([upstream, { at, parts: all, fresh, sound, refuted }]) => [upstream, {
    at: Math.round(at),
    parts: Object.fromEntries([...all].filter(([part]) => parts(part)).map(([part, share]) => [part, roundShare(share)])),
    fresh: [...fresh].filter(parts),
    sound: [...sound].filter(parts),
    refuted
  }]))
}

/**
 * Merges messages of several nodes into one, as large as the records of one node at most.
 *
 * @example
 * mergeEvidence([own.crashCauses, other.crashCauses])
 */
export function mergeEvidence (messages: readonly CrashEvidence[]): CrashEvidence {
  const present = messages.filter((evidence) => Object.keys(evidence).length > 0)
  if (present.length <= 1) return present[0] ?? {}
  const records = createCrashRecords()
  for (const evidence of present) records.merge(evidence)
  const latest = Math.max(...[...records.all().values()].map(({ at }) => at))
  records.evict(latest, new Set())
  return toEvidence(records.all(), () => true)
}

/**
 * Leaves out parts that ran at a single crash, for nodes that only need what may be a cause.
 *
 * @example
 * const answer = { ...sums, crashCauses: withoutSingleParts(sums.crashCauses) }
 */
export function withoutSingleParts (evidence: CrashEvidence): CrashEvidence {
  const counts = new Map<PartId, number>()
  for (const { parts } of Object.values(evidence)) for (const part of Object.keys(parts)) counts.set(part, (counts.get(part) ?? 0) + 1)
  const isRepeated = (part: PartId): boolean => (counts.get(part) ?? 0) > 1
  return Object.fromEntries(Object.entries(evidence).map(([upstream, crash]) => [upstream, {
    ...crash,
    parts: Object.fromEntries(Object.entries(crash.parts).filter(([part]) => isRepeated(part))),
    fresh: crash.fresh.filter(isRepeated),
    sound: crash.sound.filter(isRepeated)
  }]))
}

function roundShare (share: number): number {
  return Math.round(share * 1_000) / 1_000
}
