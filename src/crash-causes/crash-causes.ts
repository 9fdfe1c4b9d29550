/**
 * Parts of prompts that crash upstreams, as one node knows them from its own runs and from the other nodes.
 *
 * Failure guarded against: each upstream that begins to answer a prompt with one certain part ends, with all requests that run
 * there. No two of these requests are alike, they come at any node, and sound ones share their caller and their other parts.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { UpstreamIncarnation } from '../placement/index.js'
import { score } from '../membership/rendezvous.js'
import { createCrashRecords, MAX_PARTS, mergeEvidence, toEvidence } from './crash-records.js'
import { countEvents, findCauses, MIN_EVENTS } from './find-causes.js'
import type { Cause } from './find-causes.js'
import { createPartShares } from './part-shares.js'
import type { CrashEvidence, PartId } from './types.js'

/** A moment as this node's steady clock and the wall clock that the nodes share show it. */
export interface Moment {
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/** Whether a request may run. */
export type PartVerdict =
  | { readonly kind: 'admitted' }
  /** The request may run although it holds this part, to find out whether the part is sound. */
  | { readonly kind: 'probe', readonly part: PartId }
  /** It holds this part, which crashes upstreams, or may be sound where that is in doubt. */
  | { readonly kind: 'refused', readonly part: PartId, readonly isDoubtful: boolean }

/** What one node knows of parts that crash upstreams. Parts are those of a prompt without its last one. */
export interface CrashCauses {
  /** Decides on a new request, and counts it. A probe is granted once. */
  admit (parts: readonly PartId[], moment: Moment): PartVerdict
  /** The first of the parts that is a cause, except `probed`. */
  causeAmong (parts: readonly PartId[], probed?: PartId): PartId | undefined
  /** Whether one of the parts is so suspect that a request is not sent once more by itself. */
  isSuspected (parts: readonly PartId[]): boolean
  /**
   * A run ended because its upstream crashed, as far as its node can tell.
   *
   * @param writtenFor time since its answer began; undefined if it had not begun
   * @param probed the part that its request probed, if any
   * @returns whether this node did not know of the crash
   */
  crashed (upstream: UpstreamIncarnation, parts: readonly PartId[], writtenFor: Milliseconds | undefined, moment: Moment, probed?: PartId): boolean
  /** A run ended before its answer did, for another reason than its upstream, which may crash because of it a moment later. */
  left (upstream: UpstreamIncarnation, parts: readonly PartId[], moment: Moment): void
  /** A run that began to be answered at `began` has been answered completely, or for {@link SURVIVAL_TIME}. */
  survived (parts: readonly PartId[], began: Milliseconds, now: Milliseconds): void
  /** The upstream has begun to answer a request that was sent at `sentAt`. */
  alive (upstream: UpstreamIncarnation, sentAt: Milliseconds, now: Milliseconds): void
  /** Whether the crash of an upstream is explained by a part. */
  explains (upstream: UpstreamIncarnation): boolean
  /** The parts that are causes now. */
  causes (): readonly Cause[]
  /** What the causes rest on, from which any node finds them. */
  supporting (): CrashEvidence
  /** What this node reports to the other nodes: what it has seen lately, and what the causes rest on. */
  told (now: Milliseconds): CrashEvidence
  /** Takes what other nodes have reported. @returns whether it holds anything new */
  observe (reports: readonly CrashEvidence[], moment: Moment): boolean
}

/** Parts of a run that ended before its answer did. */
interface LeftRun {
  readonly parts: readonly PartId[]
  readonly at: Milliseconds
}

/** Options of {@link createCrashCauses}. */
export interface CrashCausesOptions {
  /** Whether this node is the one that probes a part. */
  readonly isProber: (part: PartId) => boolean
}

/** Time after the beginning of an answer in which an upstream crashes that a part of its prompt crashes. */
const FRESH_TIME: Milliseconds = 250

/** Time for which an upstream has written an answer when this shows that the parts of its prompt are sound. */
export const SURVIVAL_TIME: Milliseconds = SECOND

/** Time for which a node reports what it has seen. All others have received it by then. */
const TELL_TIME: Milliseconds = 15 * SECOND

/** Time until a cause is probed, if another part explains nearly as many crashes. In-flight answers clear most sound parts sooner. */
const DOUBTFUL_PROBE_DELAY: Milliseconds = SECOND

/** Time until any other cause is probed. */
const FIRST_PROBE_DELAY: Milliseconds = MINUTE

/** Time until the next probe of a part, if the one before did not show whether it is sound. */
const PROBE_INTERVAL: Milliseconds = 5 * SECOND

/** Time until the next probe of a part after one that crashed an upstream, and after the first such one where that is in doubt. */
const PROBE_PAUSE_AFTER_CRASH: Milliseconds = 10 * MINUTE
const DOUBTFUL_PAUSE_AFTER_CRASH: Milliseconds = 20 * SECOND

/**
 * Time from which a part that is in doubt is probed by any request. Before, the other parts of the request must have run at few of
 * the crashes, so that it tells about one part.
 */
const ANY_PROBE_DELAY: Milliseconds = 4 * SECOND

/** Time after the end of a run in which a crash of its upstream may be due to it. */
const LEFT_TIME: Milliseconds = SECOND

/**
 * Creates the state of a node that knows of no crash.
 *
 * @example
 * const causes = createCrashCauses({ isProber: (part) => pickNode(part, names) === settings.name })
 * if (causes.admit(head.sharedParts, moment).kind === 'refused') throw refusal()
 */
export function createCrashCauses ({ isProber }: CrashCausesOptions): CrashCauses {
  const shares = createPartShares()
  const known = createCrashRecords()
  const own = createCrashRecords()
  const ownChangedAt = new Map<UpstreamIncarnation, Milliseconds>()
  const seenAt = new Map<UpstreamIncarnation, Milliseconds>()
  const foundAt = new Map<PartId, Milliseconds>()
  const noProbeBefore = new Map<PartId, Milliseconds>()
  const crashedProbes = new Map<PartId, number>()
  const leftRuns = new Map<UpstreamIncarnation, LeftRun[]>()
  let causes: readonly Cause[] = []
  let causeByPart: ReadonlyMap<PartId, Cause> = new Map()
  let explained: ReadonlySet<UpstreamIncarnation> = new Set()

  function update ({ now, wall }: Moment): void {
    known.evict(wall, explained)
    own.evict(wall, explained)
    for (const upstream of known.all().keys()) if (!seenAt.has(upstream)) seenAt.set(upstream, now)
    retain(seenAt, known.all())
    retain(ownChangedAt, own.all())
    findAgain(now)
  }

  function findAgain (now: Milliseconds): void {
    causes = findCauses(known.all())
    causeByPart = new Map(causes.map((cause) => [cause.part, cause]))
    explained = new Set(causes.flatMap((cause) => cause.crashes))
    retain(foundAt, causeByPart)
    retain(noProbeBefore, causeByPart)
    retain(crashedProbes, causeByPart)
    for (const { part } of causes) foundAt.set(part, foundAt.get(part) ?? now)
  }

  /** Adds what this node has seen itself, which it reports. @returns whether anything was new */
  function addOwn (evidence: CrashEvidence, now: Milliseconds): boolean {
    own.merge(evidence)
    const isNew = known.merge(evidence)
    for (const upstream of Object.keys(evidence) as UpstreamIncarnation[]) ownChangedAt.set(upstream, now)
    return isNew
  }

  function mayProbe ({ part, isDoubtful }: Cause, parts: readonly PartId[], now: Milliseconds): boolean {
    const due = (foundAt.get(part) ?? now) + (isDoubtful ? DOUBTFUL_PROBE_DELAY : FIRST_PROBE_DELAY)
    if (now < due || now < (noProbeBefore.get(part) ?? 0) || !isProber(part)) return false
    const elapsed = now - (foundAt.get(part) ?? now)
    const maxOtherEvents = countEvents(known.all(), part) * elapsed / ANY_PROBE_DELAY
    return elapsed >= ANY_PROBE_DELAY || parts.every((other) => other === part || countEvents(known.all(), other) <= maxOtherEvents)
  }

  /** A part that crashes upstreams stays in doubt where all requests that hold it hold another part as well. */
  function pauseProbes (part: PartId, now: Milliseconds): void {
    const count = (crashedProbes.get(part) ?? 0) + 1
    crashedProbes.set(part, count)
    const isFirstInDoubt = count === 1 && causeByPart.get(part)?.isDoubtful === true
    noProbeBefore.set(part, now + (isFirstInDoubt ? DOUBTFUL_PAUSE_AFTER_CRASH : PROBE_PAUSE_AFTER_CRASH))
  }

  /**
   * Failure guarded against: a request whose caller left, or that its node ended, crashes its upstream all the same, and the crash counts
   * against the other requests there.
   *
   * @returns whether anything was new
   */
  function addLeftRuns ({ now }: Moment): boolean {
    let isNew = false
    for (const [upstream, runs] of leftRuns) {
      const crash = known.all().get(upstream)
      if (crash !== undefined) {
        const parts = [...new Set(runs.flatMap((run) => run.parts))].filter((part) => !crash.fresh.has(part))
        if (parts.length > 0) isNew = addOwn(evidenceOf(upstream, parts, true, crash.at), now) || isNew
      }
      const recent = runs.filter(({ at }) => now - at < LEFT_TIME)
      if (crash !== undefined || recent.length === 0) leftRuns.delete(upstream)
      else leftRuns.set(upstream, recent)
    }
    return isNew
  }

  function evidenceOf (upstream: UpstreamIncarnation, parts: readonly PartId[], isFresh: boolean, at: Milliseconds): CrashEvidence {
    const kept = selectParts(parts, upstream)
    return { [upstream]: { at, parts: Object.fromEntries(kept.map((part) => [part, shares.of(part)])), fresh: isFresh ? kept : [], sound: [], refuted: false } }
  }

  function causeAmong (parts: readonly PartId[], probed?: PartId): PartId | undefined {
    return causeByPart.size === 0 ? undefined : parts.find((part) => part !== probed && causeByPart.has(part))
  }

  function supporting (): CrashEvidence {
    const crashes = new Map([...known.all()].filter(([upstream]) => explained.has(upstream)))
    return toEvidence(crashes, (part) => causeByPart.has(part))
  }

  return {
    admit: (parts, { now }) => {
      if (parts.length === 0) return { kind: 'admitted' }
      shares.add(parts, now)
      const part = causeAmong(parts)
      const cause = part === undefined ? undefined : causeByPart.get(part)
      if (part === undefined || cause === undefined) return { kind: 'admitted' }
      if (causeAmong(parts, part) !== undefined || !mayProbe(cause, parts, now)) return { kind: 'refused', part, isDoubtful: cause.isDoubtful }
      noProbeBefore.set(part, now + PROBE_INTERVAL)
      return { kind: 'probe', part }
    },
    causeAmong,
    isSuspected: (parts) => known.all().size >= MIN_EVENTS - 1 && parts.some((part) => countEvents(known.all(), part) >= MIN_EVENTS - 1),
    crashed: (upstream, parts, writtenFor, moment, probed) => {
      const isUnknown = !known.all().has(upstream)
      const at = known.all().get(upstream)?.at ?? moment.wall
      const isNew = addOwn(evidenceOf(upstream, parts, (writtenFor ?? 0) < FRESH_TIME, at), moment.now)
      const hasLeftRuns = addLeftRuns(moment)
      // The many runs that one crash ends hold much the same parts.
      if (isNew || hasLeftRuns) update(moment)
      if (probed !== undefined) pauseProbes(probed, moment.now)
      return isUnknown
    },
    left: (upstream, parts, moment) => {
      if (parts.length === 0) return
      leftRuns.set(upstream, [...leftRuns.get(upstream) ?? [], { parts, at: moment.now }])
      if (addLeftRuns(moment)) update(moment)
    },
    survived: (parts, began, now) => {
      const cleared: CrashEvidence = {}
      for (const [upstream, crash] of known.all()) {
        const sound = (seenAt.get(upstream) ?? Infinity) < began ? parts.filter((part) => crash.parts.has(part) && !crash.sound.has(part)) : []
        if (sound.length > 0) cleared[upstream] = { at: crash.at, parts: {}, fresh: [], sound, refuted: false }
      }
      if (Object.keys(cleared).length === 0) return
      addOwn(cleared, now)
      findAgain(now)
    },
    alive: (upstream, sentAt, now) => {
      const crash = known.all().get(upstream)
      if (crash === undefined || crash.refuted || (seenAt.get(upstream) ?? Infinity) >= sentAt) return
      addOwn({ [upstream]: { at: crash.at, parts: {}, fresh: [], sound: [], refuted: true } }, now)
      findAgain(now)
    },
    explains: (upstream) => explained.has(upstream),
    causes: () => causes,
    supporting,
    told: (now) => {
      const recent = new Map([...own.all()].filter(([upstream]) => now - (ownChangedAt.get(upstream) ?? -Infinity) < TELL_TIME))
      return mergeEvidence([supporting(), toEvidence(recent, () => true)])
    },
    observe: (reports, moment) => {
      let isNew = false
      for (const evidence of reports) isNew = known.merge(evidence) || isNew
      if (!isNew) return false
      addLeftRuns(moment)
      update(moment)
      return isNew
    }
  }
}

/** Other parts of a longer list at each crash, so that each of them is kept for some. */
function selectParts (parts: readonly PartId[], upstream: UpstreamIncarnation): PartId[] {
  if (parts.length <= MAX_PARTS) return [...parts]
  const scores = new Map(parts.map((part) => [part, score(upstream, part)]))
  return [...parts].sort((left, right) => scores.get(right)! - scores.get(left)!).slice(0, MAX_PARTS)
}

function retain<Key> (map: Map<Key, unknown>, kept: { has (key: Key): boolean }): void {
  for (const key of map.keys()) if (!kept.has(key)) map.delete(key)
}
