/** In-memory store of the facts of recent requests. Its size is bounded: the oldest requests are evicted first. */
import type { RequestId } from '../identifiers.js'
import type { RequestKey } from '../request/index.js'
import type { Fact } from './fact.js'
import type { FactStore, TimedFact } from './types.js'

/** Maximum number of facts kept per request, so that a request that fails repeatedly cannot evict all others. */
const MAX_FACTS = 48

/** Number of latest facts kept when the maximum is exceeded. The facts between the first and the latest are dropped. */
const KEPT_LAST_FACTS = 16

/** Maximum length of an error message in a fact, in characters. Longer ones are truncated. */
const MAX_TEXT_LENGTH = 200

/** Estimated size of an entry without its facts, in bytes. */
const REQUEST_BYTES = 400

/** Estimated size of a fact without its texts, in bytes. */
const FACT_BYTES = 160
const BYTES_PER_CHARACTER = 2

/** Facts of one request, with the number of dropped facts and the estimated size. */
interface RequestEntry {
  readonly key: RequestKey
  readonly facts: TimedFact[]
  dropped: number
  bytes: number
}

/**
 * Creates an empty store.
 *
 * @param options `bytes`: maximum of the estimated memory use, in bytes
 * @example
 * const facts = createFactStore({ bytes: 8_388_608 })
 * facts.record(request, clock.wall(), { kind: 'accepted' })
 */
export function createFactStore (options: { bytes: number }): FactStore {
  const requests = new Map<RequestId, RequestEntry>()
  let bytes = 0
  let forgotten = 0

  function entryOf (key: RequestKey): RequestEntry {
    const existing = requests.get(key.id)
    if (existing !== undefined) return existing
    const created = { key: { id: key.id, organisation: key.organisation, class: key.class }, facts: [], dropped: 0, bytes: REQUEST_BYTES }
    requests.set(key.id, created)
    bytes += REQUEST_BYTES
    return created
  }

  function evictOldest (): void {
    for (const [id, oldest] of requests) {
      if (bytes <= options.bytes) return
      requests.delete(id)
      bytes -= oldest.bytes
      forgotten += 1
    }
  }

  function appendFact (entry: RequestEntry, timed: TimedFact): void {
    if (entry.facts.length >= MAX_FACTS) dropMiddle(entry)
    entry.facts.push(timed)
    adjustSize(entry, estimatedBytes(timed.fact))
  }

  function dropMiddle (entry: RequestEntry): void {
    const [removed] = entry.facts.splice(MAX_FACTS - KEPT_LAST_FACTS, 1)
    if (removed === undefined) return
    entry.dropped += 1
    adjustSize(entry, -estimatedBytes(removed.fact))
  }

  function adjustSize (entry: RequestEntry, change: number): void {
    entry.bytes += change
    bytes += change
  }

  return {
    record: (request, at, fact) => {
      appendFact(entryOf(request), { at, fact: truncateMessage(fact) })
      evictOldest()
    },
    explain: (id) => {
      const entry = requests.get(id)
      return entry && { key: entry.key, facts: [...entry.facts], dropped: entry.dropped }
    },
    usage: () => ({ bytes, forgotten })
  }
}

function truncateMessage (fact: Fact): Fact {
  if (fact.kind !== 'attempt-failed' || fact.message.length <= MAX_TEXT_LENGTH) return fact
  return { ...fact, message: fact.message.slice(0, MAX_TEXT_LENGTH) }
}

function estimatedBytes (fact: Fact): number {
  const texts = Object.values(fact).filter((value) => typeof value === 'string')
  return FACT_BYTES + texts.reduce((sum, text) => sum + text.length * BYTES_PER_CHARACTER, 0)
}
