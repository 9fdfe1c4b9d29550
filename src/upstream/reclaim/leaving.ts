/**
 * Which instances leave, merged from every source into one view that only grows: the first notice
 * about an incarnation counts, whoever brings it, and only a new incarnation ends it.
 */
import type { Milliseconds } from '../../clock.js'
import { MINUTE, SECOND } from '../../clock.js'
import type { Address, InstanceName } from '../../identifiers.js'
import type { Leaving, Notice, NoticeMessage } from './types.js'

/** One row of the instance list, as far as it matters here. */
export interface ListedInstance {
  readonly name: InstanceName
  readonly address: Address
  readonly state: 'live' | 'leaving'
}

/** The merged view of one node. */
export interface LeavingView {
  /** Takes a notice in; true when it tells something new, so that it is worth passing on. */
  notice (notice: Notice, now: Milliseconds): boolean
  /** Takes a reading of the instance list in; returns what is known to leave only since this reading. */
  listed (instances: readonly ListedInstance[], now: Milliseconds): readonly Leaving[]
  /** The notice about an incarnation, if it leaves. */
  find (instance: InstanceName, address: Address): Leaving | undefined
  all (): readonly Leaving[]
  /** Notices worth telling a peer, as durations from `now`. */
  messages (now: Milliseconds): readonly NoticeMessage[]
}

/** Notice assumed where no source tells a deadline: a few seconds is what the platform gives. */
export const ASSUMED_NOTICE: Milliseconds = 3 * SECOND

/** Longest notice that is believed; a deadline beyond it is taken as this far away. */
export const LONGEST_NOTICE: Milliseconds = 10 * MINUTE

/** Longest that the instance list is expected to lag behind reality. */
export const LONGEST_LIST_LAG: Milliseconds = MINUTE

/** An earlier deadline is passed on only when it differs by this much. */
const NOTABLE_CHANGE: Milliseconds = 250

interface Entry {
  readonly instance: InstanceName
  readonly address: Address | undefined
  readonly source: Notice['source']
  readonly noticedAt: Milliseconds
  announced: Milliseconds | undefined
  listedOnce: boolean
  absentSince: Milliseconds | undefined
}

/**
 * @example
 * const leaving = createLeavingView()
 * if (leaving.notice(notice, now)) passOn(notice)
 * leaving.find(instance.name, instance.address) !== undefined // gets nothing new
 */
export function createLeavingView (): LeavingView {
  const entries = new Map<string, Entry>()
  const addresses = new Map<InstanceName, Address>()
  const ended = new Map<string, Milliseconds>()

  function notice (fresh: Notice, now: Milliseconds): boolean {
    const address = fresh.address ?? addressOf(fresh)
    const key = keyOf(fresh.instance, address)
    if (isOutdated(fresh, key, now)) return false
    const announced = plausible(fresh.deadline, now)
    const known = entries.get(key)
    if (known !== undefined) return sooner(known, announced)
    const listedOnce = address !== undefined && addresses.get(fresh.instance) === address
    entries.set(key, { instance: fresh.instance, address, source: fresh.source, noticedAt: Math.min(fresh.noticedAt, now), announced, listedOnce, absentSince: undefined })
    return true
  }

  /**
   * Failure guarded against: a source that knows only names repeats the notice about a former
   * incarnation, and the new one under this name would get no work. A notice that ends no later than
   * one already known under the name is the same notice; anything else is about what is listed now.
   */
  function addressOf (fresh: Notice): Address | undefined {
    for (const entry of entries.values()) {
      const same = entry.instance === fresh.instance && (fresh.deadline ?? Infinity) <= deadlineOf(entry) + NOTABLE_CHANGE
      if (same) return entry.address
    }
    return addresses.get(fresh.instance)
  }

  /**
   * Failure guarded against: a name is used again, and a peer that has not seen it yet repeats the
   * notice about the former incarnation; the new one would get no work for good. Notices from
   * before the end of the former incarnation are therefore dropped, and so are those whose time
   * has passed long ago.
   */
  function isOutdated (fresh: Notice, key: string, now: Milliseconds): boolean {
    const endedAt = ended.get(key)
    if (endedAt !== undefined && (fresh.noticedAt <= endedAt || (fresh.deadline ?? Infinity) <= endedAt)) return true
    return (fresh.deadline ?? fresh.noticedAt) < now - LONGEST_LIST_LAG
  }

  function listed (instances: readonly ListedInstance[], now: Milliseconds): readonly Leaving[] {
    const present = new Set<string>()
    const found: Leaving[] = []
    for (const instance of instances) {
      const key = keyOf(instance.name, instance.address)
      present.add(key)
      adopt(instance)
      if (instance.state === 'live') endFormer(key, now)
      else if (notice({ instance: instance.name, address: instance.address, source: 'instance-list', noticedAt: now, deadline: undefined }, now)) found.push(toLeaving(entries.get(key) as Entry))
    }
    for (const [key, entry] of entries) noteAbsence(key, entry, present, now)
    forgetEnded(now)
    return found
  }

  /** A notice that came with a bare name is about the first incarnation that is seen under it. */
  function adopt (instance: ListedInstance): void {
    addresses.set(instance.name, instance.address)
    const key = keyOf(instance.name, instance.address)
    const bare = entries.get(instance.name)
    if (bare !== undefined) {
      entries.delete(instance.name)
      if (!entries.has(key)) entries.set(key, { ...bare, address: instance.address })
    }
    const entry = entries.get(key)
    if (entry !== undefined) entry.listedOnce = true
  }

  /**
   * Failure guarded against: the list lags and shows a leaving instance as live, so work would go to
   * it again. A `live` row ends a notice only as proof of a new incarnation: the instance was seen
   * to be gone after its deadline, or it is still there when the deadline and the longest lag are over.
   */
  function endFormer (key: string, now: Milliseconds): void {
    const entry = entries.get(key)
    if (entry === undefined) return
    const returned = entry.absentSince !== undefined
    const outlived = now > deadlineOf(entry) + LONGEST_LIST_LAG
    if (!returned && !outlived) return
    entries.delete(key)
    ended.set(key, now)
  }

  function noteAbsence (key: string, entry: Entry, present: ReadonlySet<string>, now: Milliseconds): void {
    if (present.has(key) || now < deadlineOf(entry)) return
    if (entry.listedOnce) entry.absentSince ??= now
    if (now > deadlineOf(entry) + LONGEST_NOTICE) entries.delete(key)
  }

  function forgetEnded (now: Milliseconds): void {
    for (const [key, at] of ended) {
      if (at < now - LONGEST_NOTICE) ended.delete(key)
    }
  }

  function messages (now: Milliseconds): readonly NoticeMessage[] {
    const recent = [...entries.values()].filter((entry) => deadlineOf(entry) >= now - LONGEST_LIST_LAG)
    return recent.map((entry) => toMessage(entry, now))
  }

  return {
    notice,
    listed,
    messages,
    find: (instance, address) => {
      const entry = entries.get(keyOf(instance, address)) ?? entries.get(instance)
      return entry && toLeaving(entry)
    },
    all: () => [...entries.values()].map(toLeaving)
  }
}

/**
 * A peer's message as a notice by the local clock.
 *
 * @example
 * leaving.notice(fromMessage(message, clock.now()), clock.now())
 */
export function fromMessage (message: NoticeMessage, now: Milliseconds): Notice {
  return {
    instance: message.instance,
    address: message.address,
    source: 'peer',
    noticedAt: now - message.ageMs,
    deadline: message.remainingMs === undefined ? undefined : now + message.remainingMs
  }
}

function toMessage (entry: Entry, now: Milliseconds): NoticeMessage {
  return {
    instance: entry.instance,
    ...(entry.address === undefined ? {} : { address: entry.address }),
    ageMs: Math.max(0, Math.round(now - entry.noticedAt)),
    ...(entry.announced === undefined ? {} : { remainingMs: Math.max(0, Math.round(entry.announced - now)) })
  }
}

function sooner (known: Entry, announced: Milliseconds | undefined): boolean {
  if (announced === undefined) return false
  const notable = known.announced === undefined || announced < known.announced - NOTABLE_CHANGE
  known.announced = Math.min(known.announced ?? Infinity, announced)
  return notable
}

function plausible (deadline: Milliseconds | undefined, now: Milliseconds): Milliseconds | undefined {
  if (deadline === undefined || Number.isNaN(deadline)) return undefined
  return Math.min(Math.max(deadline, now), now + LONGEST_NOTICE)
}

function deadlineOf (entry: Entry): Milliseconds {
  return entry.announced ?? entry.noticedAt + ASSUMED_NOTICE
}

function toLeaving (entry: Entry): Leaving {
  const { instance, address, source, noticedAt } = entry
  return { instance, address, source, noticedAt, deadline: deadlineOf(entry), announced: entry.announced !== undefined }
}

function keyOf (instance: InstanceName, address: Address | undefined): string {
  return address === undefined ? instance : `${instance}@${address}`
}
