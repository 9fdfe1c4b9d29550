/** Load of an engine stand-in as it was some time ago. */
import type { Clock, Milliseconds } from '../../src/clock.js'

/** What changes quickly in a load report. */
export interface LoadFigures {
  readonly running: number
  readonly waiting: number
  readonly cacheUsed: number
}

/** Figures with their age. */
export interface LaggingLoad {
  readonly figures: LoadFigures
  readonly ageMs: Milliseconds
}

interface TimedFigures {
  readonly at: Milliseconds
  readonly figures: LoadFigures
}

/**
 * @param lag age of what is told, in milliseconds; 0 tells the present
 * @param measure the present figures
 * @returns records the present at each call and answers with the newest record older than the lag
 * @example
 * const load = createLoadHistory(clock, 500, measure)
 * load().ageMs // at least 500 once the engine is that old
 */
export function createLoadHistory (clock: Clock, lag: Milliseconds, measure: () => LoadFigures): () => LaggingLoad {
  let records: TimedFigures[] = [{ at: clock.now(), figures: measure() }]

  return () => {
    const now = clock.now()
    records.push({ at: now, figures: measure() })
    const newest = Math.max(0, records.findLastIndex((record) => record.at <= now - lag))
    records = records.slice(newest)
    const told = records[0] as TimedFigures
    return { figures: told.figures, ageMs: now - told.at }
  }
}
