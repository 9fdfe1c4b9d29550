/** What became of requests over time, over all nodes, from their sums. */
import type { Milliseconds } from '../clock.js'
import type { LoggedLine } from './line.js'

/** In time, late, not run, not answered though it may have run, left by the caller; in the order in which they are drawn. */
export const DAY_OUTCOMES = ['served', 'late', 'refused', 'lost', 'left'] as const
export type DayOutcome = typeof DAY_OUTCOMES[number]

/** Requests by outcome. */
export type DaySums = Readonly<Record<DayOutcome, number>>

/** One part of a day. */
export interface DayPart {
  /** Wall time of its start. */
  readonly from: Milliseconds
  readonly sums: DaySums
}

/** A day as the nodes' lines tell it. */
export interface DaySummary {
  readonly parts: readonly DayPart[]
  /** Length of a part. */
  readonly step: Milliseconds
  readonly total: DaySums
  /** Processes whose lines were read. */
  readonly processes: readonly string[]
}

/**
 * @param step length of a part
 * @returns undefined when no line has sums
 * @example
 * summarizeDay(lines, 2_000)?.total.served
 */
export function summarizeDay (lines: readonly LoggedLine[], step: Milliseconds): DaySummary | undefined {
  const summed = lines.filter(({ event }) => event === 'requests-summed')
  if (summed.length === 0) return undefined
  const times = summed.map(({ time }) => Math.floor(time / step))
  const first = Math.min(...times)
  const parts = Array.from({ length: Math.max(...times) - first + 1 }, (_, index) => ({ from: (first + index) * step, sums: noSums() }))
  const total = noSums()
  summed.forEach((line, index) => {
    for (const outcome of DAY_OUTCOMES) {
      const count = Number(line.facts[outcome] ?? 0)
      parts[times[index]! - first]!.sums[outcome] += count
      total[outcome] += count
    }
  })
  return { parts, step, total, processes: [...new Set(lines.map(({ process }) => process))].sort() }
}

function noSums (): Record<DayOutcome, number> {
  return { served: 0, late: 0, refused: 0, lost: 0, left: 0 }
}
