/** Facts of recent requests within a bound on memory: the oldest requests are forgotten first. */
import type { RequestId } from '../identifiers.js'
import type { RequestKey } from '../request/index.js'
import type { Fact } from './fact.js'
import type { FactStore, TimedFact } from './types.js'

/** Facts kept of one request. A request that fails over and over may not push out all others. */
const MOST_FACTS = 48

/** Of these, so many of the end of its life are kept and the middle is dropped. */
const LAST_FACTS = 16

/** Texts inside a fact are cut to this length, in characters. */
const LONGEST_TEXT = 200

/** Estimated bytes of a request's own record and of a fact without its texts. */
const REQUEST_BYTES = 400
const FACT_BYTES = 160
const BYTES_PER_CHARACTER = 2

interface Remembered {
  readonly key: RequestKey
  readonly facts: TimedFact[]
  dropped: number
  bytes: number
}

/**
 * @param options `bytes`: bound on the estimated memory
 * @example
 * const facts = createFactStore({ bytes: 8_388_608 })
 * facts.record(request, clock.wall(), { kind: 'accepted' })
 */
export function createFactStore (options: { bytes: number }): FactStore {
  const requests = new Map<RequestId, Remembered>()
  let bytes = 0
  let forgotten = 0

  function remember (key: RequestKey): Remembered {
    const known = requests.get(key.id)
    if (known !== undefined) return known
    const created = { key: { id: key.id, organisation: key.organisation, class: key.class }, facts: [], dropped: 0, bytes: REQUEST_BYTES }
    requests.set(key.id, created)
    bytes += REQUEST_BYTES
    return created
  }

  function forgetOldest (): void {
    for (const [id, oldest] of requests) {
      if (bytes <= options.bytes) return
      requests.delete(id)
      bytes -= oldest.bytes
      forgotten += 1
    }
  }

  function add (remembered: Remembered, timed: TimedFact): void {
    if (remembered.facts.length >= MOST_FACTS) dropMiddle(remembered)
    remembered.facts.push(timed)
    grow(remembered, sizeOf(timed.fact))
  }

  function dropMiddle (remembered: Remembered): void {
    const [removed] = remembered.facts.splice(MOST_FACTS - LAST_FACTS, 1)
    if (removed === undefined) return
    remembered.dropped += 1
    grow(remembered, -sizeOf(removed.fact))
  }

  function grow (remembered: Remembered, change: number): void {
    remembered.bytes += change
    bytes += change
  }

  return {
    record: (request, at, fact) => {
      add(remember(request), { at, fact: shortened(fact) })
      forgetOldest()
    },
    explain: (id) => {
      const known = requests.get(id)
      return known && { key: known.key, facts: [...known.facts], dropped: known.dropped }
    },
    usage: () => ({ bytes, forgotten })
  }
}

function shortened (fact: Fact): Fact {
  if (fact.kind !== 'attempt-failed' || fact.message.length <= LONGEST_TEXT) return fact
  return { ...fact, message: fact.message.slice(0, LONGEST_TEXT) }
}

function sizeOf (fact: Fact): number {
  const texts = Object.values(fact).filter((value) => typeof value === 'string')
  return FACT_BYTES + texts.reduce((sum, text) => sum + text.length * BYTES_PER_CHARACTER, 0)
}
