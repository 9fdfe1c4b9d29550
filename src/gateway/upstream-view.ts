/** The upstreams that this node knows: records of the registry, own requests in flight, what others have in flight. */
import type { Milliseconds } from '../clock.js'
import { createUpstreamHealth } from '../placement/index.js'
import type { Candidate, InFlight, NodeLoad, UpstreamHealth, UpstreamLife, UpstreamRecord } from '../placement/index.js'

const NO_LOAD: NodeLoad = { requests: 0, reading: 0 }

/** A request in flight. */
export interface OpenRequest {
  /** Its prompt has been read. */
  read (): void
  /** It is over; may be called again without effect. */
  end (): void
}

/** What a record changed: a new life, a notice that it leaves, or another address. */
export type UpstreamChange = 'new' | 'leaving' | 'changed'

/** A record with the revision at which the registry has it. */
export interface RegisteredUpstream {
  readonly record: UpstreamRecord
  readonly revision: number
}

/** What upstreams have asked of this node in their answers. */
export interface UpstreamAvailability {
  /** It said that it leaves. */
  isLeaving (life: UpstreamLife): boolean
  /** It wants a request of this node now. */
  accepts (life: UpstreamLife, now: Milliseconds): boolean
}

const ALWAYS_AVAILABLE: UpstreamAvailability = { isLeaving: () => false, accepts: () => true }

/** Upstreams as this node sees them. */
export interface UpstreamView {
  /** Takes a record in that stands at this revision of the registry. @returns what changed, if anything did */
  put (record: UpstreamRecord, revision: number): UpstreamChange | undefined
  /** The registry has nothing usable under this id any more, from this revision on. @returns what was there */
  remove (id: string, revision: number): UpstreamRecord | undefined
  /** This life leaves, whatever its record says now or later. @returns whether that is news */
  noteLeaving (life: UpstreamLife): boolean
  /** This life is over, whatever the registry shows. */
  forget (life: UpstreamLife): void
  /** A complete reading names these ids and no others. @returns what is gone */
  keepOnly (ids: ReadonlySet<string>): readonly UpstreamRecord[]
  all (): readonly UpstreamRecord[]
  /** The record of a life that is there now. */
  find (life: UpstreamLife): UpstreamRecord | undefined
  /**
   * Upstreams of a service that may take a request now, with their load; those that failed lately only where there are no others.
   *
   * @param admit picks those that the request may go to whatever their health
   */
  candidates (service: string, excluded: ReadonlySet<UpstreamLife>, now: Milliseconds, admit?: (present: readonly UpstreamRecord[]) => readonly UpstreamRecord[]): Candidate[]
  /** Upstreams of a service that aren't leaving, whether they may take a request now or not. */
  staying (service: string, excluded: ReadonlySet<UpstreamLife>): readonly UpstreamRecord[]
  /** A request begins at an upstream, which has to read for so long before it answers. */
  begin (life: UpstreamLife, reading: Milliseconds, now: Milliseconds): OpenRequest
  /** What this node has in flight. */
  inFlight (now: Milliseconds): InFlight
  /** What the other live nodes last told of theirs, by their incarnation. */
  observe (others: ReadonlyMap<string, InFlight>, now: Milliseconds): void
  /** Another node has just sent a long prompt. */
  noteReading (incarnation: string, life: UpstreamLife, reading: Milliseconds, now: Milliseconds): void
  readonly health: UpstreamHealth
}

/** A record as it goes on here. */
interface KnownUpstream extends RegisteredUpstream {
  /** The registry itself has its notice, with the time that is left. */
  readonly isNoticed: boolean
}

interface OwnRequest {
  reading: Milliseconds
  readonly since: Milliseconds
}

/** A long prompt of a node that this one hears of in sums. */
interface ReadingNote {
  readonly life: UpstreamLife
  readonly reading: Milliseconds
  readonly at: Milliseconds
}

/** Time after which what was told at once is in the sums: a report of either side, and an exchange between them. */
const NOTE_KEPT: Milliseconds = 1_200

interface ToldLoad {
  load: NodeLoad
  readonly at: Milliseconds
}

/**
 * @param availability what upstreams have asked of this node in their answers
 * @example
 * const view = createUpstreamView(backpressure)
 * view.put(record, revision)
 * view.candidates('plans', new Set(), clock.now())
 */
export function createUpstreamView (availability: UpstreamAvailability = ALWAYS_AVAILABLE): UpstreamView {
  const records = new Map<string, KnownUpstream>()
  const own = new Map<UpstreamLife, Set<OwnRequest>>()
  const told = new Map<string, Map<UpstreamLife, ToldLoad>>()
  const sources = new Map<string, InFlight>()
  let notes: ReadingNote[] = []
  const health = createUpstreamHealth()

  /**
   * Failure guarded against: a listing in several pages is no snapshot, and the watch that follows it begins at the
   * first page; what it shows of an id may be older than what the listing had, as the end of the life before. The
   * registry's revisions order them, where times of start need not: a clock may have been set back between two.
   */
  function isOutdated (id: string, revision: number): boolean {
    return revision < (records.get(id)?.revision ?? 0)
  }

  function put (record: UpstreamRecord, revision: number): UpstreamChange | undefined {
    if (isOutdated(record.id, revision)) return undefined
    const known = records.get(record.id)
    const isSameLife = known?.record.life === record.life
    // Leaving is final for one life: one that has begun to drain ends whatever else is written of it.
    if (isSameLife && known.isNoticed && !record.leaving) return undefined
    const leaving = record.leaving || availability.isLeaving(record.life)
    records.set(record.id, { record: { ...record, leaving }, revision, isNoticed: record.leaving })
    if (!isSameLife) return 'new'
    // What its answers said began no move of its runs: only the registry says when it is gone.
    if (!known.isNoticed && record.leaving) return 'leaving'
    return known.record.address === record.address ? undefined : 'changed'
  }

  function noteLeaving (life: UpstreamLife): boolean {
    for (const [id, known] of records) {
      if (known.record.life !== life || known.record.leaving) continue
      records.set(id, { ...known, record: { ...known.record, leaving: true } })
      return true
    }
    return false
  }

  function all (): UpstreamRecord[] {
    return [...records.values()].map(({ record }) => record)
  }

  function staying (service: string, excluded: ReadonlySet<UpstreamLife>): UpstreamRecord[] {
    return all().filter((upstream) => upstream.service === service && !upstream.leaving && !excluded.has(upstream.life))
  }

  function ownLoad (life: UpstreamLife, now: Milliseconds): NodeLoad {
    const requests = own.get(life)
    if (requests === undefined) return NO_LOAD
    let reading = 0
    let oldest = now
    for (const request of requests) {
      if (request.reading === 0) continue
      reading += request.reading
      oldest = Math.min(oldest, request.since)
    }
    return { requests: requests.size, reading: Math.max(0, reading - (now - oldest)) }
  }

  function loadOf (life: UpstreamLife, now: Milliseconds): NodeLoad {
    let { requests, reading } = ownLoad(life, now)
    for (const loads of told.values()) {
      const other = loads.get(life)
      if (other === undefined) continue
      requests += other.load.requests
      reading += Math.max(0, other.load.reading - (now - other.at))
    }
    for (const note of notes) {
      if (note.life !== life || now - note.at > NOTE_KEPT) continue
      requests += 1
      reading += Math.max(0, note.reading - (now - note.at))
    }
    return { requests, reading }
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
    forget: (life) => {
      for (const [id, { record }] of records) if (record.life === life) records.delete(id)
    },
    keepOnly: (ids) => {
      const gone = all().filter(({ id }) => !ids.has(id))
      for (const { id } of gone) records.delete(id)
      health.keep(new Set(all().map(({ life }) => life)))
      return gone
    },
    all,
    find: (life) => all().find((record) => record.life === life),
    staying,
    candidates: (service, excluded, now, admit = (present) => present) => {
      const present = admit(staying(service, excluded).filter(({ life }) => availability.accepts(life, now)))
      const usable = present.filter((upstream) => health.usable(upstream.life, now))
      // Where all have failed lately, asking one of them is better than refusing for certain.
      return (usable.length > 0 ? usable : present).map((upstream): Candidate => ({ upstream, load: loadOf(upstream.life, now) }))
    },
    begin: (life, reading, now) => {
      const request: OwnRequest = { reading, since: now }
      const requests = own.get(life) ?? new Set()
      requests.add(request)
      own.set(life, requests)
      return {
        read: () => { request.reading = 0 },
        end: () => {
          requests.delete(request)
          if (requests.size === 0 && own.get(life) === requests) own.delete(life)
        }
      }
    },
    inFlight: (now) => Object.fromEntries([...own.keys()].map((life) => {
      const { requests, reading } = ownLoad(life, now)
      return [life, { requests, reading: Math.round(reading) }]
    })),
    observe: (others, now) => {
      for (const incarnation of told.keys()) {
        if (others.has(incarnation)) continue
        told.delete(incarnation)
        sources.delete(incarnation)
      }
      for (const [incarnation, loads] of others) {
        // What was taken in before goes on being read meanwhile; only news starts anew.
        if (sources.get(incarnation) === loads) continue
        sources.set(incarnation, loads)
        told.set(incarnation, new Map(Object.entries(loads).map(([life, load]) => [life as UpstreamLife, { load, at: now }])))
      }
    },
    noteReading: (incarnation, life, reading, now) => {
      // Where the node is heard of by itself, its next report has it; elsewhere sums do.
      if (!sources.has(incarnation) && sources.size > 0) {
        notes = notes.filter(({ at }) => now - at <= NOTE_KEPT)
        notes.push({ life, reading, at: now })
        return
      }
      const loads = told.get(incarnation) ?? new Map<UpstreamLife, ToldLoad>()
      const { load } = loads.get(life) ?? { load: NO_LOAD }
      loads.set(life, { load: { requests: load.requests + 1, reading: load.reading + reading }, at: now })
      told.set(incarnation, loads)
    },
    health
  }
}
