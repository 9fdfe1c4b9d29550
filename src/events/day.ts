/** Numbers of requests by outcome over time, added up over the periodic sums in the logs of all nodes. */
import type { Milliseconds } from '../clock.js'
import type { LoggedLine } from './line.js'

/**
 * Outcomes of requests: answered in time, answered late, not run, failed although it may have run, and abandoned by the
 * caller. They are drawn in this order.
 */
export const DAY_OUTCOMES = ['served', 'late', 'refused', 'lost', 'left'] as const
export type DayOutcome = typeof DAY_OUTCOMES[number]

/** Number of requests by outcome. */
export type DaySums = Readonly<Record<DayOutcome, number>>

/** One interval of the summary. */
export interface DayInterval {
  /** Wall time of the start of the interval. */
  readonly from: Milliseconds
  readonly sums: DaySums
}

/** Summary of the requests of all nodes. */
export interface DaySummary {
  /** Consecutive intervals, including intervals without requests. */
  readonly parts: readonly DayInterval[]
  /** Length of an interval. */
  readonly step: Milliseconds
  readonly total: DaySums
  /** Names of the processes whose log lines were read. */
  readonly processes: readonly string[]
}

/** Adds up the sums in log lines. */
export interface DaySumsReader {
  /** Takes a line. Lines may come in any order. */
  add (line: LoggedLine): void
  /** Returns undefined if no line contained sums. */
  summary (): DaySummary | undefined
}

/**
 * Creates a reader that keeps sums only, so logs of any length can be read.
 *
 * @param step length of an interval
 * @example
 * const day = createDaySumsReader(2_000)
 * for (const line of lines) day.add(line)
 * day.summary()?.total.served
 */
export function createDaySumsReader (step: Milliseconds): DaySumsReader {
  const intervals = new Map<number, Record<DayOutcome, number>>()
  const processes = new Set<string>()
  return {
    add: ({ time, process, event, facts }) => {
      processes.add(process)
      if (event !== 'requests-summed') return
      const index = Math.floor(time / step)
      const sums = intervals.get(index) ?? emptySums()
      intervals.set(index, sums)
      for (const outcome of DAY_OUTCOMES) sums[outcome] += Number(facts[outcome] ?? 0)
    },
    summary: () => {
      if (intervals.size === 0) return undefined
      const indexes = [...intervals.keys()].sort((left, right) => left - right)
      const first = indexes[0]!
      const parts = Array.from({ length: indexes.at(-1)! - first + 1 }, (_, offset) => ({ from: (first + offset) * step, sums: intervals.get(first + offset) ?? emptySums() }))
      const total = emptySums()
      for (const sums of intervals.values()) for (const outcome of DAY_OUTCOMES) total[outcome] += sums[outcome]
      return { parts, step, total, processes: [...processes].sort() }
    }
  }
}

/**
 * Adds up the sums in log lines by intervals.
 *
 * @param step length of an interval
 * @returns undefined if no line contains sums
 * @example
 * summarizeDay(lines, 2_000)?.total.served
 */
export function summarizeDay (lines: Iterable<LoggedLine>, step: Milliseconds): DaySummary | undefined {
  const reader = createDaySumsReader(step)
  for (const line of lines) reader.add(line)
  return reader.summary()
}

function emptySums (): Record<DayOutcome, number> {
  return { served: 0, late: 0, refused: 0, lost: 0, left: 0 }
}
