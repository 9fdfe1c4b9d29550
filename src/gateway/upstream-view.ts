/** The upstreams that this node knows: records of the registry, own requests in flight, what others have in flight. */
import type { Milliseconds } from '../clock.js'
import { createUpstreamHealth } from '../placement/index.js'
import type { Candidate, InFlight, NodeLoad, UpstreamHealth, UpstreamRecord } from '../placement/index.js'

const NO_LOAD: NodeLoad = { requests: 0, reading: 0 }

/** A request in flight. */
export interface OpenRequest {
  /** Its prompt has been read. */
  read (): void
  /** It is over; may be called again without effect. */
  end (): void
}

/** Upstreams as this node sees them. */
export interface UpstreamView {
  /** Takes a record in. @returns what changed, if anything did */
  put (record: UpstreamRecord): 'new' | 'leaving' | 'changed' | undefined
  remove (id: string): UpstreamRecord | undefined
  /** Replaces all records by a complete reading. @returns the ids that are gone */
  replace (records: readonly UpstreamRecord[]): readonly string[]
  all (): readonly UpstreamRecord[]
  /** Upstreams of a service that may take a request now, with their load; those that failed lately only where there are no others. */
  candidates (service: string, excluded: ReadonlySet<string>, now: Milliseconds): Candidate[]
  /** A request begins at an upstream, which has to read for so long before it answers. */
  begin (id: string, reading: Milliseconds, now: Milliseconds): OpenRequest
  /** What this node has in flight. */
  inFlight (now: Milliseconds): InFlight
  /** What the other live nodes last told of theirs, by their incarnation. */
  observe (others: ReadonlyMap<string, InFlight>, now: Milliseconds): void
  /** Another node has just sent a long prompt. */
  noteReading (incarnation: string, id: string, reading: Milliseconds, now: Milliseconds): void
  readonly health: UpstreamHealth
}

interface OwnRequest {
  reading: Milliseconds
  readonly since: Milliseconds
}

interface ToldLoad {
  load: NodeLoad
  readonly at: Milliseconds
}

/**
 * @example
 * const view = createUpstreamView()
 * view.put(record)
 * view.candidates('plans', new Set(), clock.now())
 */
export function createUpstreamView (): UpstreamView {
  const records = new Map<string, UpstreamRecord>()
  const own = new Map<string, Set<OwnRequest>>()
  const told = new Map<string, Map<string, ToldLoad>>()
  const sources = new Map<string, InFlight>()
  const health = createUpstreamHealth()

  function put (record: UpstreamRecord): 'new' | 'leaving' | 'changed' | undefined {
    const known = records.get(record.id)
    // Failure guarded against: a late reading shows a leaving upstream as ready again. Leaving is final for one life.
    if (known?.leaving === true && !record.leaving) return undefined
    records.set(record.id, record)
    if (known === undefined) return 'new'
    if (!known.leaving && record.leaving) return 'leaving'
    return known.address === record.address ? undefined : 'changed'
  }

  function ownLoad (id: string, now: Milliseconds): NodeLoad {
    const requests = own.get(id)
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

  function loadOf (id: string, now: Milliseconds): NodeLoad {
    let { requests, reading } = ownLoad(id, now)
    for (const loads of told.values()) {
      const other = loads.get(id)
      if (other === undefined) continue
      requests += other.load.requests
      reading += Math.max(0, other.load.reading - (now - other.at))
    }
    return { requests, reading }
  }

  return {
    put,
    remove: (id) => {
      const known = records.get(id)
      records.delete(id)
      return known
    },
    replace: (present) => {
      const ids = new Set(present.map((record) => record.id))
      const gone = [...records.keys()].filter((id) => !ids.has(id))
      for (const id of gone) records.delete(id)
      present.forEach(put)
      health.keep(ids)
      return gone
    },
    all: () => [...records.values()],
    candidates: (service, excluded, now) => {
      const present = [...records.values()].filter((upstream) => upstream.service === service && !upstream.leaving && !excluded.has(upstream.id))
      const usable = present.filter((upstream) => health.usable(upstream.id, now))
      // Where all have failed lately, asking one of them is better than refusing for certain.
      return (usable.length > 0 ? usable : present).map((upstream): Candidate => ({ upstream, load: loadOf(upstream.id, now) }))
    },
    begin: (id, reading, now) => {
      const request: OwnRequest = { reading, since: now }
      const requests = own.get(id) ?? new Set()
      requests.add(request)
      own.set(id, requests)
      return {
        read: () => { request.reading = 0 },
        end: () => {
          requests.delete(request)
          if (requests.size === 0 && own.get(id) === requests) own.delete(id)
        }
      }
    },
    inFlight: (now) => Object.fromEntries([...own.keys()].map((id) => {
      const { requests, reading } = ownLoad(id, now)
      return [id, { requests, reading: Math.round(reading) }]
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
        told.set(incarnation, new Map(Object.entries(loads).map(([id, load]) => [id, { load, at: now }])))
      }
    },
    noteReading: (incarnation, id, reading, now) => {
      const loads = told.get(incarnation) ?? new Map<string, ToldLoad>()
      const { load } = loads.get(id) ?? { load: NO_LOAD }
      loads.set(id, { load: { requests: load.requests + 1, reading: load.reading + reading }, at: now })
      told.set(incarnation, loads)
    },
    health
  }
}
