/** Delayed load reports of an engine stand-in. */
import type { Clock, Milliseconds } from '../../src/clock.js'

/** The figures of a load report that change quickly. */
export interface LoadFigures {
  readonly running: number
  readonly waiting: number
  readonly cacheUsed: number
}

/** Load figures and their age. */
export interface DelayedLoad {
  readonly figures: LoadFigures
  readonly ageMs: Milliseconds
}

interface TimedFigures {
  readonly at: Milliseconds
  readonly figures: LoadFigures
}

/**
 * Creates a load report that lags behind the actual load.
 *
 * @param lag minimum age of the reported figures; 0 reports the current ones
 * @param measure returns the current figures
 * @returns function that records the current figures at each call and returns the newest record at least as old as the lag
 * @example
 * const load = createLoadHistory(clock, 500, measure)
 * load().ageMs // at least 500 once the engine is that old
 */
export function createLoadHistory (clock: Clock, lag: Milliseconds, measure: () => LoadFigures): () => DelayedLoad {
  let records: TimedFigures[] = [{ at: clock.now(), figures: measure() }]

  return () => {
    const now = clock.now()
    records.push({ at: now, figures: measure() })
    const newestIndex = Math.max(0, records.findLastIndex((record) => record.at <= now - lag))
    records = records.slice(newestIndex)
    const reported = records[0] as TimedFigures
    return { figures: reported.figures, ageMs: now - reported.at }
  }
}
