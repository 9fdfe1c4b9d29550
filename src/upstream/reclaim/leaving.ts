/**
 * Merges notices about leaving instances from all sources. The first notice about an incarnation counts, whatever its
 * source, and stays in force until a new incarnation is detected. A later notice can only bring the deadline forward.
 */
import type { Milliseconds } from '../../clock.js'
import { MINUTE, SECOND } from '../../clock.js'
import type { Address, InstanceName } from '../../identifiers.js'
import type { LeavingInstance, Notice, NoticeMessage } from './types.js'

/** The fields of an instance list entry that are used here. */
export interface ListedInstance {
  readonly name: InstanceName
  readonly address: Address
  readonly state: 'live' | 'leaving'
}

/** Leaving instances as known by one node. */
export interface LeavingView {
  /**
   * Records a notice.
   *
   * @returns whether the notice contains something new and is to be forwarded to other nodes
   */
  notice (notice: Notice, now: Milliseconds): boolean
  /**
   * Records the instance list.
   *
   * @returns the instances that are known to leave only since this list
   */
  listed (instances: readonly ListedInstance[], now: Milliseconds): readonly LeavingInstance[]
  /** The leaving instance of this name and address, or undefined if the incarnation is not known to leave. */
  find (instance: InstanceName, address: Address): LeavingInstance | undefined
  /** All leaving instances. */
  all (): readonly LeavingInstance[]
  /** Notices to be sent to a peer, with durations relative to `now`. */
  messages (now: Milliseconds): readonly NoticeMessage[]
}

/** Notice period assumed if no source states a deadline. The platform gives a few seconds. */
export const ASSUMED_NOTICE_PERIOD: Milliseconds = 3 * SECOND

/** Maximum notice period that is accepted. A later deadline is replaced by the end of this period. */
export const MAX_NOTICE_PERIOD: Milliseconds = 10 * MINUTE

/** Maximum time by which the instance list lags behind the actual state. */
export const MAX_LIST_LAG: Milliseconds = MINUTE

/** Minimum difference of an earlier deadline for it to be forwarded. */
const MIN_DEADLINE_CHANGE: Milliseconds = 250

/** State kept for a leaving instance. */
interface LeavingEntry {
  readonly instance: InstanceName
  readonly address: Address | undefined
  readonly source: Notice['source']
  readonly noticedAt: Milliseconds
  announcedDeadline: Milliseconds | undefined
  wasListed: boolean
  absentSince: Milliseconds | undefined
}

/**
 * Creates an empty view.
 *
 * @example
 * const leaving = createLeavingView()
 * if (leaving.notice(notice, now)) forward(notice)
 * leaving.find(instance.name, instance.address) !== undefined // gets no new requests
 */
export function createLeavingView (): LeavingView {
  const entries = new Map<string, LeavingEntry>()
  const addresses = new Map<InstanceName, Address>()
  const endedAtByKey = new Map<string, Milliseconds>()

  function notice (received: Notice, now: Milliseconds): boolean {
    const address = received.address ?? addressOf(received)
    const key = keyOf(received.instance, address)
    if (isOutdated(received, key, now)) return false
    const announcedDeadline = clampDeadline(received.deadline, now)
    const known = entries.get(key)
    if (known !== undefined) return updateDeadline(known, announcedDeadline)
    const wasListed = address !== undefined && addresses.get(received.instance) === address
    entries.set(key, { instance: received.instance, address, source: received.source, noticedAt: Math.min(received.noticedAt, now), announcedDeadline, wasListed, absentSince: undefined })
    return true
  }

  /**
   * Failure guarded against: a source that knows only names repeats the notice about a former incarnation, and the
   * new incarnation of the same name would get no requests. A notice whose deadline is not later than that of a known
   * notice for the name counts as the same notice. Any other notice applies to the incarnation that is currently
   * listed.
   */
  function addressOf (received: Notice): Address | undefined {
    for (const entry of entries.values()) {
      const isSameNotice = entry.instance === received.instance && (received.deadline ?? Infinity) <= deadlineOf(entry) + MIN_DEADLINE_CHANGE
      if (isSameNotice) return entry.address
    }
    return addresses.get(received.instance)
  }

  /**
   * Failure guarded against: a name is reused, and a peer that does not know this yet repeats the notice about the
   * former incarnation. The new incarnation would never get any requests. Therefore notices from before the end of
   * the former incarnation are dropped, and so are notices that expired long ago.
   */
  function isOutdated (received: Notice, key: string, now: Milliseconds): boolean {
    const endedAt = endedAtByKey.get(key)
    if (endedAt !== undefined && (received.noticedAt <= endedAt || (received.deadline ?? Infinity) <= endedAt)) return true
    return (received.deadline ?? received.noticedAt) < now - MAX_LIST_LAG
  }

  function listed (instances: readonly ListedInstance[], now: Milliseconds): readonly LeavingInstance[] {
    const present = new Set<string>()
    const found: LeavingInstance[] = []
    for (const instance of instances) {
      const key = keyOf(instance.name, instance.address)
      present.add(key)
      assignAddress(instance)
      if (instance.state === 'live') endFormerIncarnation(key, now)
      else if (notice({ instance: instance.name, address: instance.address, source: 'instance-list', noticedAt: now, deadline: undefined }, now)) found.push(toLeaving(entries.get(key) as LeavingEntry))
    }
    for (const [key, entry] of entries) recordAbsence(key, entry, present, now)
    discardEnded(now)
    return found
  }

  /** Assigns a notice without an address to the first incarnation that is listed under its name. */
  function assignAddress (instance: ListedInstance): void {
    addresses.set(instance.name, instance.address)
    const key = keyOf(instance.name, instance.address)
    const nameOnly = entries.get(instance.name)
    if (nameOnly !== undefined) {
      entries.delete(instance.name)
      if (!entries.has(key)) entries.set(key, { ...nameOnly, address: instance.address })
    }
    const entry = entries.get(key)
    if (entry !== undefined) entry.wasListed = true
  }

  /**
   * Failure guarded against: the list lags and shows a leaving instance as live, so that it would get requests again.
   * A `live` entry ends a notice only if it proves a new incarnation. Either the instance was missing from the list
   * after its deadline, or it is still listed after the deadline plus the maximum lag.
   */
  function endFormerIncarnation (key: string, now: Milliseconds): void {
    const entry = entries.get(key)
    if (entry === undefined) return
    const hasReturned = entry.absentSince !== undefined
    const hasOutlivedDeadline = now > deadlineOf(entry) + MAX_LIST_LAG
    if (!hasReturned && !hasOutlivedDeadline) return
    entries.delete(key)
    endedAtByKey.set(key, now)
  }

  function recordAbsence (key: string, entry: LeavingEntry, present: ReadonlySet<string>, now: Milliseconds): void {
    if (present.has(key) || now < deadlineOf(entry)) return
    if (entry.wasListed) entry.absentSince ??= now
    if (now > deadlineOf(entry) + MAX_NOTICE_PERIOD) entries.delete(key)
  }

  function discardEnded (now: Milliseconds): void {
    for (const [key, at] of endedAtByKey) {
      if (at < now - MAX_NOTICE_PERIOD) endedAtByKey.delete(key)
    }
  }

  function messages (now: Milliseconds): readonly NoticeMessage[] {
    const recent = [...entries.values()].filter((entry) => deadlineOf(entry) >= now - MAX_LIST_LAG)
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
 * Converts a peer's message to a notice with times of the local clock.
 *
 * @example
 * leaving.notice(noticeFromMessage(message, clock.now()), clock.now())
 */
export function noticeFromMessage (message: NoticeMessage, now: Milliseconds): Notice {
  return {
    instance: message.instance,
    address: message.address,
    source: 'peer',
    noticedAt: now - message.ageMs,
    deadline: message.remainingMs === undefined ? undefined : now + message.remainingMs
  }
}

function toMessage (entry: LeavingEntry, now: Milliseconds): NoticeMessage {
  return {
    instance: entry.instance,
    ...(entry.address === undefined ? {} : { address: entry.address }),
    ageMs: Math.max(0, Math.round(now - entry.noticedAt)),
    ...(entry.announcedDeadline === undefined ? {} : { remainingMs: Math.max(0, Math.round(entry.announcedDeadline - now)) })
  }
}

function updateDeadline (known: LeavingEntry, announcedDeadline: Milliseconds | undefined): boolean {
  if (announcedDeadline === undefined) return false
  const isNotable = known.announcedDeadline === undefined || announcedDeadline < known.announcedDeadline - MIN_DEADLINE_CHANGE
  known.announcedDeadline = Math.min(known.announcedDeadline ?? Infinity, announcedDeadline)
  return isNotable
}

function clampDeadline (deadline: Milliseconds | undefined, now: Milliseconds): Milliseconds | undefined {
  if (deadline === undefined || Number.isNaN(deadline)) return undefined
  return Math.min(Math.max(deadline, now), now + MAX_NOTICE_PERIOD)
}

function deadlineOf (entry: LeavingEntry): Milliseconds {
  return entry.announcedDeadline ?? entry.noticedAt + ASSUMED_NOTICE_PERIOD
}

function toLeaving (entry: LeavingEntry): LeavingInstance {
  const { instance, address, source, noticedAt } = entry
  return { instance, address, source, noticedAt, deadline: deadlineOf(entry), announced: entry.announcedDeadline !== undefined }
}

function keyOf (instance: InstanceName, address: Address | undefined): string {
  return address === undefined ? instance : `${instance}@${address}`
}
