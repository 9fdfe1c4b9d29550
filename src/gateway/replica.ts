/** A copy of the entries of a followed prefix, with its latest changes, from which other nodes receive updates. */
import type { StoreUpdate } from '../gossip/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { PrefixHandler } from './follow.js'

/** A copy of the entries of a prefix. */
export interface PrefixReplica extends PrefixHandler {
  /** Replaces the content by a complete read; `revision` is the store's revision at that time. */
  replaceAt (entries: readonly KeyValueEntry[], revision: number): void
  /** Latest revision that the copy contains; 0 before the first read. */
  revision (): number
  /** Changes after a revision, or all entries where the removals since then are no longer known. */
  since (revision: number): Omit<StoreUpdate, 'prefix' | 'age'>
  /** Applies an update from another node. */
  apply (update: StoreUpdate): void
}

/** Maximum number of removals that are kept. A node that lacks older removals receives all entries. */
const MAX_REMEMBERED_REMOVALS = 500

/**
 * Creates an empty copy.
 *
 * @param handler called with every change that the copy applies
 * @example
 * const replica = createPrefixReplica(handler)
 * replica.replaceAt(entries, revision)
 */
export function createPrefixReplica (handler: PrefixHandler): PrefixReplica {
  const entries = new Map<string, KeyValueEntry>()
  const removals = new Map<string, number>()
  let latestRevision = 0
  /** All changes after this revision are known. */
  let completeSince = Infinity

  function advanceRevision (revision: number): void {
    latestRevision = Math.max(latestRevision, revision)
  }

  function recordRemoval (key: string, revision: number): void {
    removals.delete(key)
    removals.set(key, revision)
    const [oldest] = removals
    if (removals.size <= MAX_REMEMBERED_REMOVALS || oldest === undefined) return
    removals.delete(oldest[0])
    completeSince = Math.max(completeSince, oldest[1])
  }

  function replaceAt (currentEntries: readonly KeyValueEntry[], revision: number): void {
    const keys = new Set(currentEntries.map(({ key }) => key))
    for (const key of entries.keys()) if (!keys.has(key)) recordRemoval(key, revision)
    entries.clear()
    for (const entry of currentEntries) entries.set(entry.key, entry)
    for (const key of keys) removals.delete(key)
    // Removals before the first read are unknown.
    if (latestRevision === 0) completeSince = revision
    advanceRevision(revision)
    handler.replace(currentEntries)
  }

  /**
   * Failure guarded against: this node's watch and another node's updates deliver the same changes in a different order, and
   * the removal of an upstream's incarnation deletes the entry of the next incarnation. The store's revisions decide the order.
   */
  function isOutdated (key: string, revision: number): boolean {
    return revision < (entries.get(key)?.revision ?? removals.get(key) ?? 0)
  }

  function put (entry: KeyValueEntry): void {
    if (isOutdated(entry.key, entry.revision)) return
    entries.set(entry.key, entry)
    removals.delete(entry.key)
    advanceRevision(entry.revision)
    handler.put(entry)
  }

  function remove (key: string, revision: number): void {
    if (isOutdated(key, revision)) return
    entries.delete(key)
    recordRemoval(key, revision)
    advanceRevision(revision)
    handler.remove(key, revision)
  }

  return {
    replaceAt,
    replace: (currentEntries) => replaceAt(currentEntries, latestRevision),
    put,
    remove,
    revision: () => latestRevision,
    since: (revision) => {
      if (revision < completeSince) return { revision: latestRevision, isWhole: true, entries: [...entries.values()], removed: [] }
      return {
        revision: latestRevision,
        isWhole: false,
        entries: [...entries.values()].filter((entry) => entry.revision > revision),
        removed: [...removals].filter(([, at]) => at > revision).map(([key, at]) => ({ key, revision: at }))
      }
    },
    apply: (update) => {
      // An update that was on the way while this node read the store itself is older than the copy.
      if (update.revision < latestRevision) return
      if (update.isWhole) return replaceAt(update.entries, update.revision)
      for (const { key, revision } of update.removed) remove(key, revision)
      for (const entry of [...update.entries].sort((left, right) => left.revision - right.revision)) put(entry)
      advanceRevision(update.revision)
    }
  }
}
