/** Counts of started requests per organisation, in fixed windows of wall time. */
import type { Milliseconds } from '../clock.js'
import { mergeByName } from '../named-values.js'

/** Number of requests by organisation name. */
export type UsageCounts = Readonly<Record<string, number>>

/** Usage counters of one node. */
export interface UsageWindows {
  /** Counts a request of `organisation` that started to run at wall time `wall`. */
  recordStart (organisation: string, wall: Milliseconds): void
  /** Counts of one window so far. Empty if no request started in it. */
  counts (window: number): UsageCounts
  /** Discards the counts of all windows before this one. */
  discardBefore (window: number): void
}

/**
 * Creates the usage counters of one node.
 *
 * @param length length of a window, in milliseconds
 * @example
 * const windows = createUsageWindows(5 * SECOND)
 * windows.began('hillside', clock.wall())
 */
export function createUsageWindows (length: Milliseconds): UsageWindows {
  const windows = new Map<number, Map<string, number>>()
  return {
    recordStart: (organisation, wall) => {
      const window = windowOf(wall, length)
      const counts = windows.get(window) ?? new Map<string, number>()
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1)
      windows.set(window, counts)
    },
    counts: (window) => Object.fromEntries(windows.get(window) ?? []),
    discardBefore: (window) => {
      for (const known of windows.keys()) if (known < window) windows.delete(known)
    }
  }
}

/**
 * Number of the window that contains a wall time. Window 0 starts at the Unix epoch.
 *
 * @example
 * windowOf(12_000, 5_000) // 2
 */
export function windowOf (wall: Milliseconds, length: Milliseconds): number {
  return Math.floor(wall / length)
}

/**
 * Sums the counts of several nodes.
 *
 * @example
 * sumCounts([{ a: 1 }, { a: 2, b: 1 }]) // { a: 3, b: 1 }
 */
export function sumCounts (nodeCounts: readonly UsageCounts[]): UsageCounts {
  return mergeByName(nodeCounts, (known = 0, count) => known + count)
}
