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

/**
 * Adds up the sums in log lines by intervals.
 *
 * @param step length of an interval
 * @returns undefined if no line contains sums
 * @example
 * summarizeDay(lines, 2_000)?.total.served
 */
export function summarizeDay (lines: readonly LoggedLine[], step: Milliseconds): DaySummary | undefined {
  const sumLines = lines.filter(({ event }) => event === 'requests-summed')
  if (sumLines.length === 0) return undefined
  const times = sumLines.map(({ time }) => Math.floor(time / step))
  const first = Math.min(...times)
  const parts = Array.from({ length: Math.max(...times) - first + 1 }, (_, index) => ({ from: (first + index) * step, sums: emptySums() }))
  const total = emptySums()
  sumLines.forEach((line, index) => {
    for (const outcome of DAY_OUTCOMES) {
      const count = Number(line.facts[outcome] ?? 0)
      parts[times[index]! - first]!.sums[outcome] += count
      total[outcome] += count
    }
  })
  return { parts, step, total, processes: [...new Set(lines.map(({ process }) => process))].sort() }
}

function emptySums (): Record<DayOutcome, number> {
  return { served: 0, late: 0, refused: 0, lost: 0, left: 0 }
}
