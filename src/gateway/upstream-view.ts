/** This node's view of the upstreams: their registry records, and the load that this node and the other nodes put on them. */
import type { UpstreamOccupancy } from '../backpressure/index.js'
import type { Milliseconds } from '../clock.js'
import { createAnswerTimes, createSlotTimes, createSpeedRatios, createUpstreamDelays, createUpstreamHealth, createUpstreamLoads, expectedWait } from '../placement/index.js'
import type { AnswerTimes, Candidate, Choice, InFlight, InFlightRequest, MeanTimes, ReportedDelays, SlotTimes, UpstreamHealth, UpstreamIncarnation, UpstreamLoads, UpstreamRecord, UpstreamState } from '../placement/index.js'

/** Effect of a record on the view: a new incarnation, a notice of leaving, or another address. */
export type UpstreamChange = 'new' | 'leaving' | 'changed'

/** A record and its revision in the registry. */
export interface RegisteredUpstream {
  readonly record: UpstreamRecord
  readonly revision: number
}

/** Signals that upstreams have given this node in their answers. */
export interface UpstreamAvailability {
  /** The upstream has announced that it leaves. */
  isLeaving (incarnation: UpstreamIncarnation): boolean
  /** The upstream accepts a request of this node now. */
  accepts (incarnation: UpstreamIncarnation, now: Milliseconds): boolean
  /** A further request of this node is within the room of the upstream, where that matters. */
  hasRoom (incarnation: UpstreamIncarnation, occupancy: () => UpstreamOccupancy): boolean
}

const ALWAYS_AVAILABLE: UpstreamAvailability = { isLeaving: () => false, accepts: () => true, hasRoom: () => true }

/** Times of upstreams that a node has observed. */
export interface UpstreamTimes {
  readonly holdTime: MeanTimes
  readonly delays: ReportedDelays
}

/** The upstreams that this node knows, and their load. */
export interface UpstreamView extends Pick<UpstreamLoads, 'inFlight' | 'observe' | 'notePrefill'> {
  /** Stores a record that the registry has at this revision. @returns the change, or undefined if nothing changed or the record is outdated */
  put (record: UpstreamRecord, revision: number): UpstreamChange | undefined
  /** The registry has no usable record under this id from this revision on. @returns the record that was removed, if any */
  remove (id: string, revision: number): UpstreamRecord | undefined
  /** Marks an incarnation as leaving, whatever its record says. @returns false if it was marked already or is unknown */
  noteLeaving (incarnation: UpstreamIncarnation): boolean
  /** Removes an incarnation that has ended, whatever the registry shows. */
  forget (incarnation: UpstreamIncarnation): void
  /** Removes all upstreams but those of a complete listing. @returns the removed records */
  retainOnly (ids: ReadonlySet<string>): readonly UpstreamRecord[]
  all (): readonly UpstreamRecord[]
  /** The record of an incarnation, if it is present. */
  find (incarnation: UpstreamIncarnation): UpstreamRecord | undefined
  /**
   * Upstreams of a service that may take a request now, with their load. Upstreams that failed recently are included only
   * if there are no others.
   *
   * @param admit selects the upstreams that the request may go to, regardless of their health
   */
  candidates (service: string, excluded: ReadonlySet<UpstreamIncarnation>, now: Milliseconds, admit?: (present: readonly UpstreamRecord[]) => readonly UpstreamRecord[]): Candidate[]
  /** Upstreams of a service that are not leaving, whether or not they accept a request now. */
  notLeaving (service: string, excluded: ReadonlySet<UpstreamIncarnation>): readonly UpstreamRecord[]
  /** What a request would see at each upstream that is not leaving. */
  states (hasEngines: (service: string) => boolean, now: Milliseconds): UpstreamState[]
  /** Counts a request that is dispatched to an upstream. */
  begin (choice: Choice, now: Milliseconds): InFlightRequest
  /** What this node reports to the other nodes. */
  told (now: Milliseconds): UpstreamTimes & { readonly inFlight: InFlight }
  /** Takes what the other live nodes last reported of their upstreams' times. */
  receiveTimes (others: readonly UpstreamTimes[], now: Milliseconds): void
  readonly slotTimes: SlotTimes
  readonly answerTimes: AnswerTimes
  readonly health: UpstreamHealth
}

/** A record as this node keeps it. */
interface KnownUpstream extends RegisteredUpstream {
  /** The registry has the notice of leaving, with the remaining time. */
  readonly hasNotice: boolean
}

/**
 * @param availability signals that upstreams have given this node in their answers
 * @example
 * const view = createUpstreamView(backpressure)
 * view.put(record, revision)
 * view.candidates('plans', new Set(), clock.now())
 */
export function createUpstreamView (availability: UpstreamAvailability = ALWAYS_AVAILABLE): UpstreamView {
  const records = new Map<string, KnownUpstream>()
  const loads = createUpstreamLoads()
  const slotTimes = createSlotTimes()
  const delays = createUpstreamDelays()
  const speedRatios = createSpeedRatios()
  const health = createUpstreamHealth()

  /**
   * Failure guarded against: a listing in several pages is no snapshot, and the watch after the listing starts at the
   * revision of the first page. The watch may therefore show an older state of an id than the listing did, such as the
   * end of the previous incarnation. Revisions of the registry order the two. Start times do not, since a clock may have
   * been set back between two starts.
   */
  function isOutdated (id: string, revision: number): boolean {
    return revision < (records.get(id)?.revision ?? 0)
  }

  function put (record: UpstreamRecord, revision: number): UpstreamChange | undefined {
    if (isOutdated(record.id, revision)) return undefined
    const known = records.get(record.id)
    const isSameIncarnation = known?.record.incarnation === record.incarnation
    // Leaving is final for an incarnation: an upstream that has begun to drain ends, whatever is written later.
    if (isSameIncarnation && known.hasNotice && !record.leaving) return undefined
    const leaving = record.leaving || availability.isLeaving(record.incarnation)
    records.set(record.id, { record: { ...record, leaving }, revision, hasNotice: record.leaving })
    if (!isSameIncarnation) return 'new'
    // A notice in answers starts no move of runs, since only the registry says when the upstream will be gone.
    if (!known.hasNotice && record.leaving) return 'leaving'
    return known.record.address === record.address ? undefined : 'changed'
  }

  function noteLeaving (incarnation: UpstreamIncarnation): boolean {
    for (const [id, known] of records) {
      if (known.record.incarnation !== incarnation || known.record.leaving) continue
      records.set(id, { ...known, record: { ...known.record, leaving: true } })
      return true
    }
    return false
  }

  function all (): UpstreamRecord[] {
    return [...records.values()].map(({ record }) => record)
  }

  function notLeaving (service: string, excluded: ReadonlySet<UpstreamIncarnation>): UpstreamRecord[] {
    return all().filter((upstream) => upstream.service === service && !upstream.leaving && !excluded.has(upstream.incarnation))
  }

  function mayReceive ({ incarnation, slots }: UpstreamRecord, now: Milliseconds): boolean {
    return availability.accepts(incarnation, now) && availability.hasRoom(incarnation, () => ({ own: loads.own(incarnation), all: loads.of(incarnation, now).requests, slots }))
  }

  function candidateOf (upstream: UpstreamRecord, now: Milliseconds): Candidate {
    const { incarnation, service } = upstream
    return { upstream, load: loads.of(incarnation, now), delay: delays.of(incarnation, now), slowness: speedRatios.of(service, incarnation, now) }
  }

  function begin ({ upstream, reading, waiting, firstAnswer = Infinity, slowness = 1 }: Choice, now: Milliseconds): InFlightRequest {
    const { incarnation, service, slots } = upstream
    // The time of a request that waits for a slot would count the slot times of the requests before it as well.
    const hasSlot = loads.of(incarnation, now).requests < slots
    const open = loads.begin(incarnation, reading, now)
    const finished = delays.begin(incarnation, now + waiting + firstAnswer)
    let isAnswered = false
    return {
      answered: (answeredAt) => {
        if (!isAnswered && hasSlot && waiting === 0 && firstAnswer < Infinity) speedRatios.observe(service, incarnation, answeredAt - now, firstAnswer / slowness, answeredAt)
        isAnswered = true
        open.answered(answeredAt)
        finished(true, answeredAt)
      },
      end: (endedAt) => {
        open.end(endedAt)
        finished(false, endedAt)
        if (isAnswered && hasSlot) slotTimes.observe(service, endedAt - now)
        isAnswered = false
      }
    }
  }

  return {
    put,
    remove: (id, revision) => {
      if (isOutdated(id, revision)) return undefined
      const known = records.get(id)?.record
      records.delete(id)
      return known
    },
    noteLeaving,
    forget: (incarnation) => {
      for (const [id, { record }] of records) if (record.incarnation === incarnation) records.delete(id)
    },
    retainOnly: (ids) => {
      const gone = all().filter(({ id }) => !ids.has(id))
      for (const { id } of gone) records.delete(id)
      health.retainOnly(new Set(all().map(({ incarnation }) => incarnation)))
      return gone
    },
    all,
    find: (incarnation) => all().find((record) => record.incarnation === incarnation),
    notLeaving,
    candidates: (service, excluded, now, admit = (present) => present) => {
      const present = admit(notLeaving(service, excluded).filter((upstream) => mayReceive(upstream, now)))
      const usable = present.filter((upstream) => health.usable(upstream.incarnation, now))
      // If all upstreams have failed recently, an attempt at one of them is better than a certain refusal.
      return (usable.length > 0 ? usable : present).map((upstream) => candidateOf(upstream, now))
    },
    states: (hasEngines, now) => all().filter(({ leaving }) => !leaving).map((upstream) => {
      const { load, delay, slowness } = candidateOf(upstream, now)
      return { upstream, slowness, waiting: expectedWait(load, upstream.slots, slotTimes.of(upstream.service, hasEngines(upstream.service)) * slowness, delay) }
    }),
    begin,
    told: (now) => ({ inFlight: loads.inFlight(), holdTime: slotTimes.own(), delays: delays.own(now) }),
    receiveTimes: (others, now) => {
      slotTimes.receive(others.map(({ holdTime }) => holdTime))
      delays.receive(others.map((report) => report.delays), now)
    },
    inFlight: loads.inFlight,
    observe: loads.observe,
    notePrefill: loads.notePrefill,
    slotTimes,
    answerTimes: createAnswerTimes(),
    health
  }
}
