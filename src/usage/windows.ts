/** Requests of each organisation that began to run, by window of the wall clock. */
import type { Milliseconds } from '../clock.js'

/** Requests by organisation. */
export type UsageCounts = Readonly<Record<string, number>>

/** Counts of one node. */
export interface UsageWindows {
  /** A request began to run at wall time `wall`. */
  began (organisation: string, wall: Milliseconds): void
  /** Counts of one window so far; empty when nothing began in it. */
  counts (window: number): UsageCounts
  /** Forgets windows before this one. */
  forgetBefore (window: number): void
}

/**
 * @param length of a window, in milliseconds
 * @example
 * const windows = createUsageWindows(5 * SECOND)
 * windows.began('hillside', clock.wall())
 */
export function createUsageWindows (length: Milliseconds): UsageWindows {
  const windows = new Map<number, Map<string, number>>()
  return {
    began: (organisation, wall) => {
      const window = windowOf(wall, length)
      const counts = windows.get(window) ?? new Map<string, number>()
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1)
      windows.set(window, counts)
    },
    counts: (window) => Object.fromEntries(windows.get(window) ?? []),
    forgetBefore: (window) => {
      for (const known of windows.keys()) if (known < window) windows.delete(known)
    }
  }
}

/**
 * Number of the window that a wall time falls into; window 0 begins with 1970.
 *
 * @example
 * windowOf(12_000, 5_000) // 2
 */
export function windowOf (wall: Milliseconds, length: Milliseconds): number {
  return Math.floor(wall / length)
}

/**
 * Sum of several nodes' counts.
 *
 * @example
 * sumCounts([{ a: 1 }, { a: 2, b: 1 }]) // { a: 3, b: 1 }
 */
export function sumCounts (parts: readonly UsageCounts[]): UsageCounts {
  const sum: Record<string, number> = {}
  for (const part of parts) {
    for (const [organisation, count] of Object.entries(part)) sum[organisation] = (sum[organisation] ?? 0) + count
  }
  return sum
}
