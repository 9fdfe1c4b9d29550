/**
 * Order of the waiting requests of one service.
 *
 * Requests are ordered by rank. Within a rank, those that can be in time come first, by their latest start; those of an
 * organisation that has had more than its share of the recent work are moved back. Those that can only be late follow, except that a late request precedes all requests that arrived later than it by more than its
 * own target. This bounds how often it can be overtaken.
 */
import type { Milliseconds } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'
import type { Offer, QueuedRequest } from './types.js'

/** One waiting request. */
export interface WaitingEntry<Choice extends Offer> {
  readonly request: QueuedRequest<Choice>
  /** Time at which it began to wait. */
  readonly joinedAt: Milliseconds
  /** Latest time of dispatch at which the first answer can be in time. */
  readonly latestStart: Milliseconds
  /** Latest time of dispatch at which the answer can arrive before the request's limit. */
  readonly latestUsefulStart: Milliseconds
  /** Expected work, in milliseconds of one upstream. */
  readonly work: Milliseconds
  /** Time since which no upstream may take it; undefined if one may. */
  unavailableSince: Milliseconds | undefined
  /** Time at which it is to be considered again even if nothing else changes. */
  retryAt: Milliseconds
}

/** The waiting requests of one service. */
export interface WaitingOrder<Choice extends Offer> {
  add (entry: WaitingEntry<Choice>): void
  remove (entry: WaitingEntry<Choice>): void
  /** Moves the requests that can no longer be in time behind those of their rank that can. */
  advance (now: Milliseconds): void
  /**
   * The requests in order, as of now. They may be removed meanwhile.
   *
   * @param excessOf part of the recent work that an organisation has had above the mean, as a multiple of the mean. Its
   * requests are moved back by so many times their target.
   */
  inOrder (excessOf: (organisation: OrganisationName) => number): Iterable<WaitingEntry<Choice>>
}

/**
 * Arrivals after this time may not overtake the request.
 *
 * @example
 * if (entry.request.arrival > overtakableUntil(blocked.request)) continue
 */
export function overtakableUntil ({ arrival, target }: QueuedRequest<Offer>): Milliseconds {
  return arrival + target
}

interface Rank<Choice extends Offer> {
  readonly rank: number
  /** By latest start. */
  readonly timely: Map<OrganisationName, WaitingEntry<Choice>[]>
  /** By the time until which they may be overtaken. */
  readonly late: WaitingEntry<Choice>[]
}

/** Timely requests of one organisation, of which those before `next` have been taken. */
interface Cursor<Choice extends Offer> {
  readonly entries: readonly WaitingEntry<Choice>[]
  readonly excess: number
  next: number
}

/**
 * @example
 * const order = createWaitingOrder()
 * order.add(entry)
 * for (const entry of order.inOrder(excessOf)) consider(entry)
 */
export function createWaitingOrder<Choice extends Offer> (): WaitingOrder<Choice> {
  const ranks: Rank<Choice>[] = []

  function rankOf (rank: number): Rank<Choice> {
    const index = ranks.findIndex((known) => known.rank >= rank)
    const known = ranks[index]
    if (known?.rank === rank) return known
    const created: Rank<Choice> = { rank, timely: new Map(), late: [] }
    ranks.splice(index < 0 ? ranks.length : index, 0, created)
    return created
  }

  function removeTimely ({ timely }: Rank<Choice>, entry: WaitingEntry<Choice>): boolean {
    const { organisation } = entry.request
    const entries = timely.get(organisation) ?? []
    const isRemoved = removeFrom(entries, entry)
    if (entries.length === 0) timely.delete(organisation)
    return isRemoved
  }

  return {
    add: (entry) => {
      const { timely } = rankOf(entry.request.rank)
      const entries = timely.get(entry.request.organisation) ?? []
      timely.set(entry.request.organisation, entries)
      insert(entries, entry, ({ latestStart }) => latestStart)
    },
    remove: (entry) => {
      const known = rankOf(entry.request.rank)
      if (!removeTimely(known, entry)) removeFrom(known.late, entry)
      if (known.timely.size + known.late.length === 0) ranks.splice(ranks.indexOf(known), 1)
    },
    advance: (now) => {
      for (const known of ranks) {
        for (const entries of [...known.timely.values()]) {
          for (let first = entries[0]; first !== undefined && first.latestStart < now; first = entries[0]) {
            removeTimely(known, first)
            insert(known.late, first, ({ request }) => overtakableUntil(request))
          }
        }
      }
    },
    inOrder: function * (excessOf) {
      for (const known of [...ranks]) yield * mergeRank(known, excessOf)
    }
  }
}

function * mergeRank<Choice extends Offer> ({ timely, late }: Rank<Choice>, excessOf: (organisation: OrganisationName) => number): Generator<WaitingEntry<Choice>> {
  const lateEntries = [...late]
  let nextLate = 0
  for (const entry of mergeTimely([...timely].map(([organisation, entries]) => ({ entries: [...entries], excess: excessOf(organisation), next: 0 })))) {
    for (let first = lateEntries[nextLate]; first !== undefined && entry.request.arrival > overtakableUntil(first.request); first = lateEntries[nextLate]) {
      nextLate += 1
      yield first
    }
    yield entry
  }
  yield * lateEntries.slice(nextLate)
}

function * mergeTimely<Choice extends Offer> (cursors: readonly Cursor<Choice>[]): Generator<WaitingEntry<Choice>> {
  for (;;) {
    let first: Cursor<Choice> | undefined
    let firstKey = Infinity
    for (const cursor of cursors) {
      const entry = cursor.entries[cursor.next]
      if (entry === undefined) continue
      const key = entry.latestStart + cursor.excess * entry.request.target
      if (key >= firstKey) continue
      first = cursor
      firstKey = key
    }
    const entry = first?.entries[first.next]
    if (first === undefined || entry === undefined) return
    first.next += 1
    yield entry
  }
}

/** Inserts after all entries with the same key. */
function insert<Entry> (entries: Entry[], entry: Entry, keyOf: (entry: Entry) => number): void {
  const key = keyOf(entry)
  let index = entries.length
  while (index > 0 && keyOf(entries[index - 1]!) > key) index -= 1
  entries.splice(index, 0, entry)
}

function removeFrom<Entry> (entries: Entry[], entry: Entry): boolean {
  const index = entries.indexOf(entry)
  if (index < 0) return false
  entries.splice(index, 1)
  return true
}
