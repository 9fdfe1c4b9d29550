/**
 * Finds the parts of prompts that explain crashes of upstreams.
 *
 * A crash breaks all runs of its upstream, so it makes a suspect of each part of their prompts. The part that caused it runs at
 * each further upstream that it crashes and is never answered. A part that is answered, completely or for a while, did not cause the
 * crashes before that run. Of the suspects that are left, those are causes that together explain the crashes and whose
 * requests are fewest (a weighted set cover, chosen greedily: Chvátal, A greedy heuristic for the set-covering problem, 1979).
 */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation } from '../placement/index.js'
import type { Crash, Crashes, PartId } from './types.js'

/** A part that explains crashes. */
export interface Cause {
  readonly part: PartId
  /** Upstreams that it crashed. */
  readonly crashes: readonly UpstreamIncarnation[]
  /** Another part explains nearly as many of these crashes, so that this one may be sound. */
  readonly isDoubtful: boolean
}

/** A part that ran at crashes and has not been answered completely since. */
interface Suspect {
  readonly part: PartId
  readonly share: number
  readonly crashes: readonly SuspectCrash[]
}

/** A crash at which a suspect ran. */
interface SuspectCrash {
  readonly upstream: UpstreamIncarnation
  /** Number of its event, in the order of time. */
  readonly event: number
  readonly weight: number
}

/**
 * Crashes at least so far apart are separate events. Crashes at the same moment have one cause, such as the loss of a failure
 * domain: a request runs at one upstream at a time.
 */
export const EVENT_SEPARATION: Milliseconds = 100

/** Weight of a crash at which no run with the part had just begun to be answered. A part crashes upstreams that begin to write. */
const SETTLED_WEIGHT = 0.5

/** Number of separate crashes after which a part may be a cause. */
export const MIN_EVENTS = 4

/** The same for a part that many requests hold. It is among the runs of most crashes, whatever caused them. */
export const MIN_EVENTS_OF_COMMON_PART = 6

/** Fraction of the requests from which a part is common. */
const COMMON_SHARE = 0.25

/**
 * Fraction of the crashes in a time that a part must explain. Where many upstreams crash for other reasons, a sound part runs at some of
 * these by chance; one that explains less needs more crashes.
 */
const MIN_COVERAGE = 1 / 3
const UNCOVERED_FACTOR = 1.5

/** Smallest share that is told apart, so that each part has a weight. */
const MIN_SHARE = 0.001

/**
 * @returns the causes of the crashes, as far as they are known
 * @example
 * findCauses(records.all()).map(({ part }) => part)
 */
export function findCauses (crashes: Crashes): readonly Cause[] {
  const events = eventsOf(crashes)
  const suspects = suspectsIn(crashes, events)
  const explained = new Set<UpstreamIncarnation>()
  const chosen: Suspect[] = []
  for (;;) {
    const next = cheapest(suspects, explained, events)
    if (next === undefined) break
    chosen.push(next)
    for (const { upstream } of next.crashes) explained.add(upstream)
  }
  const needed = withoutRedundant(chosen)
  return needed.map((suspect) => ({ part: suspect.part, crashes: suspect.crashes.map(({ upstream }) => upstream), isDoubtful: isDoubtful(suspect, suspects, needed) }))
}

/**
 * Number of separate crashes at which a part ran without having been answered since.
 *
 * @example
 * countEvents(records.all(), '5c1e07a2')
 */
export function countEvents (crashes: Crashes, part: PartId): number {
  const own = [...crashes].filter(([, crash]) => isSuspectAt(crash, part))
  if (own.length === 0) return 0
  const events = eventsOf(crashes)
  return countSeparate(own.map(([upstream, crash]) => suspectCrashOf(upstream, crash, part, events)))
}

function isSuspectAt ({ parts, sound, refuted }: Crash, part: PartId): boolean {
  return !refuted && parts.has(part) && !sound.has(part)
}

/** Numbers the events of all crashes: those at the same moment have the same number. */
function eventsOf (crashes: Crashes): ReadonlyMap<UpstreamIncarnation, number> {
  const events = new Map<UpstreamIncarnation, number>()
  let event = -1
  let since = -Infinity
  for (const [upstream, { at }] of [...crashes].filter(([, { refuted }]) => !refuted).sort(([, left], [, right]) => left.at - right.at)) {
    if (at - since >= EVENT_SEPARATION) {
      event += 1
      since = at
    }
    events.set(upstream, event)
  }
  return events
}

function suspectCrashOf (upstream: UpstreamIncarnation, { fresh }: Crash, part: PartId, events: ReadonlyMap<UpstreamIncarnation, number>): SuspectCrash {
  return { upstream, event: events.get(upstream) ?? 0, weight: fresh.has(part) ? 1 : SETTLED_WEIGHT }
}

/** Parts that ran at enough crashes to be a cause, or to make another one doubtful. */
function suspectsIn (crashes: Crashes, events: ReadonlyMap<UpstreamIncarnation, number>): Suspect[] {
  const suspects = new Map<PartId, { share: number, crashes: SuspectCrash[] }>()
  for (const [upstream, crash] of crashes) {
    for (const [part, share] of crash.parts) {
      if (!isSuspectAt(crash, part)) continue
      const suspect = suspects.get(part) ?? { share: MIN_SHARE, crashes: [] }
      suspect.share = Math.max(suspect.share, share)
      suspect.crashes.push(suspectCrashOf(upstream, crash, part, events))
      suspects.set(part, suspect)
    }
  }
  return [...suspects]
    .filter(([, suspect]) => suspect.crashes.length >= MIN_EVENTS - 1)
    .map(([part, suspect]) => ({ part, ...suspect }))
    // All nodes choose alike among equals, in whatever order they heard of the crashes.
    .sort((left, right) => left.part < right.part ? -1 : 1)
}

/** Counts the events of crashes, each with the highest weight among its crashes. */
function countSeparate (crashes: readonly SuspectCrash[]): number {
  const weights = new Map<number, number>()
  for (const { event, weight } of crashes) weights.set(event, Math.max(weight, weights.get(event) ?? 0))
  let sum = 0
  for (const weight of weights.values()) sum += weight
  return sum
}

/** Number of separate crashes at which the part must have run to be a cause. */
function neededEvents ({ share }: Suspect, own: readonly SuspectCrash[], unexplained: ReadonlySet<number>): number {
  const needed = share >= COMMON_SHARE ? MIN_EVENTS_OF_COMMON_PART : MIN_EVENTS
  const ownEvents = new Set(own.map(({ event }) => event))
  const first = Math.min(...ownEvents)
  const last = Math.max(...ownEvents)
  let meanwhile = 0
  for (const event of unexplained) if (event >= first && event <= last) meanwhile += 1
  return ownEvents.size < meanwhile * MIN_COVERAGE ? needed * UNCOVERED_FACTOR : needed
}

/** The suspect that explains the most crashes for the requests that hold it, among those that explain enough. */
function cheapest (suspects: readonly Suspect[], explained: ReadonlySet<UpstreamIncarnation>, events: ReadonlyMap<UpstreamIncarnation, number>): Suspect | undefined {
  const unexplained = new Set([...events].filter(([upstream]) => !explained.has(upstream)).map(([, event]) => event))
  let best: { readonly suspect: Suspect, readonly cost: number } | undefined
  for (const suspect of suspects) {
    const own = suspect.crashes.filter(({ upstream }) => !explained.has(upstream))
    const count = own.length < MIN_EVENTS ? 0 : countSeparate(own)
    if (count < MIN_EVENTS || count < neededEvents(suspect, own, unexplained)) continue
    const cost = suspect.share / count
    if (best === undefined || cost < best.cost) best = { suspect, cost }
  }
  return best?.suspect
}

/** Drops parts whose crashes the others explain, those with the fewest crashes first. */
function withoutRedundant (chosen: readonly Suspect[]): readonly Suspect[] {
  const ordered = [...chosen].sort((left, right) => left.crashes.length - right.crashes.length)
  return ordered.reduce<readonly Suspect[]>((kept, suspect) => {
    const explainedByOthers = new Set(kept.filter((other) => other !== suspect).flatMap((other) => other.crashes.map(({ upstream }) => upstream)))
    return suspect.crashes.every(({ upstream }) => explainedByOthers.has(upstream)) ? kept.filter((other) => other !== suspect) : kept
  }, ordered)
}

function isDoubtful (cause: Suspect, suspects: readonly Suspect[], causes: readonly Suspect[]): boolean {
  const own = new Set(cause.crashes.map(({ upstream }) => upstream))
  const needed = Math.max(MIN_EVENTS, countSeparate(cause.crashes)) - 1
  return suspects.some((other) => !causes.includes(other) && countSeparate(other.crashes.filter(({ upstream }) => own.has(upstream))) >= needed)
}
