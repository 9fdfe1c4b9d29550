/** Values that names had in the last time. */
import type { Milliseconds } from '../clock.js'

/** Sets of values by name. */
export type ValuesByName = Record<string, string[]>

/** Values with the times at which they were last seen. */
export interface RecentValues {
  add (name: string, value: string, now: Milliseconds): void
  /** Values of a name that were seen within the retention time. */
  of (name: string, now: Milliseconds): readonly string[]
  /** All values that were seen within the retention time, sorted. */
  all (now: Milliseconds): ValuesByName
}

/**
 * Creates an empty set.
 *
 * @example
 * const versions = createRecentValues(30 * SECOND)
 * versions.add('plans', 'v1', clock.now())
 */
export function createRecentValues (retention: Milliseconds): RecentValues {
  const names = new Map<string, Map<string, Milliseconds>>()

  function of (name: string, now: Milliseconds): string[] {
    const seenAt = names.get(name)
    if (seenAt === undefined) return []
    for (const [value, at] of seenAt) if (now - at > retention) seenAt.delete(value)
    if (seenAt.size === 0) names.delete(name)
    return [...seenAt.keys()].sort()
  }

  return {
    add: (name, value, now) => {
      const seenAt = names.get(name) ?? new Map<string, Milliseconds>()
      names.set(name, seenAt)
      seenAt.set(value, now)
    },
    of,
    all: (now) => {
      const known = [...names.keys()].sort().map((name) => [name, of(name, now)] as const)
      return Object.fromEntries(known.filter(([, values]) => values.length > 0).map(([name, values]) => [name, [...values]]))
    }
  }
}
