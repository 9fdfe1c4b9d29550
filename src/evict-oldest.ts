/** Bounds the size of a map or set whose entries are kept in the order of their last update. */

/** A map or set. */
interface Collection<Key> {
  readonly size: number
  keys (): IterableIterator<Key>
  delete (key: Key): boolean
}

/**
 * Removes the first entry if there are more than `maxSize`. Call it after each insertion.
 *
 * @example
 * names.add(name)
 * evictOldest(names, MAX_NAMES)
 */
export function evictOldest<Key> (collection: Collection<Key>, maxSize: number): void {
  const [oldest] = collection.keys()
  if (collection.size > maxSize && oldest !== undefined) collection.delete(oldest)
}
