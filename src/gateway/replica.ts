/** What stands under a followed prefix of the store, with its latest changes, to be passed on to other nodes. */
import type { News } from '../gossip/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { Follower } from './follow.js'

/** A copy of a prefix. */
export interface Replica extends Follower {
  /** Takes a complete reading in; `revision` is the store's at that time. */
  replaceAt (entries: readonly KeyValueEntry[], revision: number): void
  /** Latest revision that it contains; 0 before the first reading. */
  revision (): number
  /** What came after a revision. */
  since (revision: number): Omit<News, 'prefix' | 'age'>
  /** Takes in what another node has read. */
  apply (news: News): void
}

/** Removals that are remembered. Who lacks older ones gets everything that stands there. */
const KEPT_REMOVALS = 500

/**
 * @param follower told of every change that the copy takes in
 * @example
 * const replica = createReplica(follower)
 * replica.replaceAt(entries, revision)
 */
export function createReplica (follower: Follower): Replica {
  const entries = new Map<string, KeyValueEntry>()
  const removals = new Map<string, number>()
  let latest = 0
  /** Changes after this revision are all known. */
  let completeFrom = Infinity

  function advance (revision: number): void {
    latest = Math.max(latest, revision)
  }

  function noteRemoval (key: string, revision: number): void {
    removals.delete(key)
    removals.set(key, revision)
    const [oldest] = removals
    if (removals.size <= KEPT_REMOVALS || oldest === undefined) return
    removals.delete(oldest[0])
    completeFrom = Math.max(completeFrom, oldest[1])
  }

  function replaceAt (present: readonly KeyValueEntry[], revision: number): void {
    const keys = new Set(present.map(({ key }) => key))
    for (const key of entries.keys()) if (!keys.has(key)) noteRemoval(key, revision)
    entries.clear()
    for (const entry of present) entries.set(entry.key, entry)
    for (const key of keys) removals.delete(key)
    // The first reading doesn't tell what was there before it.
    if (latest === 0) completeFrom = revision
    advance(revision)
    follower.replace(present)
  }

  /**
   * Failure guarded against: this node's own watch and another node's news show the same changes in different order, and
   * the end of a life takes the next one away. The store's revisions order them.
   */
  function isOutdated (key: string, revision: number): boolean {
    return revision < (entries.get(key)?.revision ?? removals.get(key) ?? 0)
  }

  function put (entry: KeyValueEntry): void {
    if (isOutdated(entry.key, entry.revision)) return
    entries.set(entry.key, entry)
    removals.delete(entry.key)
    advance(entry.revision)
    follower.put(entry)
  }

  function remove (key: string, revision: number): void {
    if (isOutdated(key, revision)) return
    entries.delete(key)
    noteRemoval(key, revision)
    advance(revision)
    follower.remove(key, revision)
  }

  return {
    replaceAt,
    replace: (present) => replaceAt(present, latest),
    put,
    remove,
    revision: () => latest,
    since: (revision) => {
      if (revision < completeFrom) return { revision: latest, isWhole: true, entries: [...entries.values()], removed: [] }
      return {
        revision: latest,
        isWhole: false,
        entries: [...entries.values()].filter((entry) => entry.revision > revision),
        removed: [...removals].filter(([, at]) => at > revision).map(([key, at]) => ({ key, revision: at }))
      }
    },
    apply: (news) => {
      // An answer that was on the way while this node read the store itself is older than what it has.
      if (news.revision < latest) return
      if (news.isWhole) return replaceAt(news.entries, news.revision)
      for (const { key, revision } of news.removed) remove(key, revision)
      for (const entry of [...news.entries].sort((left, right) => left.revision - right.revision)) put(entry)
      advance(news.revision)
    }
  }
}
