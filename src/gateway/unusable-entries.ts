/** Remembers which entries of the store cannot be used, so that each is logged once and not at every read. */

/** Entries under one prefix that cannot be used. */
export interface UnusableEntries {
  /** Notes an entry that cannot be used. @returns whether it was usable or unknown before, or unusable for another reason */
  note (key: string, reason: string): boolean
  /** The entry is usable, or has been removed. */
  forget (key: string): void
  /** Forgets all entries but these, which are all that the store has. */
  retainOnly (keys: ReadonlySet<string>): void
}

/**
 * Creates the memory of one prefix. It holds no more than the store does, as all followed entries are kept anyway.
 *
 * Failure guarded against: hundreds of odd entries are read again and again, and their log lines cost a node the time for its requests.
 *
 * @example
 * if (unusable.note(key, reason)) log.warn('node-record-unreadable', { key, reason })
 */
export function createUnusableEntries (): UnusableEntries {
  const reasons = new Map<string, string>()
  return {
    note: (key, reason) => {
      const isNew = reasons.get(key) !== reason
      reasons.set(key, reason)
      return isNew
    },
    forget: (key) => { reasons.delete(key) },
    retainOnly: (keys) => {
      for (const key of reasons.keys()) if (!keys.has(key)) reasons.delete(key)
    }
  }
}
