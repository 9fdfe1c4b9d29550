/** The upstreams that this node knows: records of the registry, own requests in flight, what others have in flight. */
import type { Milliseconds } from '../clock.js'
import { createUpstreamHealth } from '../placement/index.js'
import type { Candidate, InFlight, UpstreamHealth, UpstreamRecord } from '../placement/index.js'

/** Upstreams as this node sees them. */
export interface UpstreamView {
  /** Takes a record in. @returns what changed, if anything did */
  put (record: UpstreamRecord): 'new' | 'leaving' | 'changed' | undefined
  remove (id: string): UpstreamRecord | undefined
  /** Replaces all records by a complete reading. @returns the ids that are gone */
  replace (records: readonly UpstreamRecord[]): readonly string[]
  all (): readonly UpstreamRecord[]
  /** Upstreams of a service that may take a request now, with their load. */
  candidates (service: string, excluded: ReadonlySet<string>, now: Milliseconds): Candidate[]
  /** A request begins at an upstream. @returns how to end it; may be called again without effect */
  begin (id: string): () => void
  /** This node's requests in flight. */
  inFlight (): InFlight
  /** What the other live nodes last told of theirs. */
  observe (others: readonly InFlight[]): void
  readonly health: UpstreamHealth
}

/**
 * @example
 * const view = createUpstreamView()
 * view.put(record)
 * view.candidates('plans', new Set(), clock.now())
 */
export function createUpstreamView (): UpstreamView {
  const records = new Map<string, UpstreamRecord>()
  const own = new Map<string, number>()
  const health = createUpstreamHealth()
  let others = new Map<string, number>()

  function put (record: UpstreamRecord): 'new' | 'leaving' | 'changed' | undefined {
    const known = records.get(record.id)
    // Failure guarded against: a late reading shows a leaving upstream as ready again. Leaving is final for one life.
    if (known?.leaving === true && !record.leaving) return undefined
    records.set(record.id, record)
    if (known === undefined) return 'new'
    if (!known.leaving && record.leaving) return 'leaving'
    return known.address === record.address ? undefined : 'changed'
  }

  function remove (id: string): UpstreamRecord | undefined {
    const known = records.get(id)
    records.delete(id)
    return known
  }

  return {
    put,
    remove,
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
      const candidates: Candidate[] = []
      for (const upstream of records.values()) {
        if (upstream.service !== service || upstream.leaving || excluded.has(upstream.id) || !health.usable(upstream.id, now)) continue
        candidates.push({ upstream, load: (own.get(upstream.id) ?? 0) + (others.get(upstream.id) ?? 0) })
      }
      return candidates
    },
    begin: (id) => {
      own.set(id, (own.get(id) ?? 0) + 1)
      let open = true
      return () => {
        if (!open) return
        open = false
        const left = (own.get(id) ?? 1) - 1
        if (left > 0) own.set(id, left)
        else own.delete(id)
      }
    },
    inFlight: () => Object.fromEntries(own),
    observe: (counts) => {
      const sum = new Map<string, number>()
      for (const count of counts) {
        for (const [id, requests] of Object.entries(count)) sum.set(id, (sum.get(id) ?? 0) + requests)
      }
      others = sum
    },
    health
  }
}
