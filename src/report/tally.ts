/** Tallies: counts and latencies by period, class and organisation, in memory and on the wire. */
import * as z from 'zod'
import { HOUR } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, organisationNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName } from '../identifiers.js'
import { addCounts, compactCounts, countsSchema, zeroCounts } from './counts.js'
import type { Counts } from './counts.js'
import { addLatencies, decodeLatencies, encodeLatencies, subtractLatencies } from './latency.js'
import type { Latencies } from './latency.js'

/** Length of a period. A request belongs to the period in which it was accepted or refused. */
export const PERIOD: Milliseconds = HOUR

/** What a tally is kept for. */
export interface CellKey {
  /** Wall time of the start of the period. */
  readonly period: Milliseconds
  readonly class: ClassName
  readonly organisation: OrganisationName
}

/** Counts and latencies of one cell. */
export interface Cell {
  readonly key: CellKey
  readonly counts: Counts
  /** Refusals, before and after acceptance, by their code. */
  readonly refusals: Map<string, number>
  readonly latencies: Latencies
}

/** A cell as it is written. */
export const cellSchema = z.object({
  period: z.number().int().nonnegative(),
  class: classNameSchema,
  organisation: organisationNameSchema,
  /** Counts that are not zero. */
  counts: countsSchema.partial(),
  refusals: z.record(z.string(), z.number().int()).default({}),
  latency: z.object({ firstToken: z.string(), betweenTokens: z.string(), wholeAnswer: z.string() }).partial().default({})
})
export type WrittenCell = z.infer<typeof cellSchema>

/** Cells by key. */
export interface Tally {
  cell (key: CellKey): Cell
  cells (): Iterable<Cell>
  size (): number
}

/**
 * Start of the period that a wall time falls into.
 *
 * @example
 * periodOf(3_600_001) // 3_600_000
 */
export function periodOf (wall: Milliseconds): Milliseconds {
  return Math.floor(wall / PERIOD) * PERIOD
}

/** @example const tally = createTally() */
export function createTally (): Tally {
  const cells = new Map<string, Cell>()
  return {
    cell: (key) => {
      const name = nameOf(key)
      const known = cells.get(name)
      if (known !== undefined) return known
      const created = { key: { period: key.period, class: key.class, organisation: key.organisation }, counts: zeroCounts(), refusals: new Map(), latencies: {} }
      cells.set(name, created)
      return created
    },
    cells: () => cells.values(),
    size: () => cells.size
  }
}

/**
 * Adds written cells to a tally.
 *
 * @throws Error when a histogram cannot be decoded
 * @example
 * addWritten(total, snapshot.cells)
 */
export function addWritten (tally: Tally, written: readonly WrittenCell[]): void {
  for (const one of written) {
    const cell = tally.cell(one)
    addCounts(cell.counts, one.counts)
    for (const [code, count] of Object.entries(one.refusals)) addRefusals(cell.refusals, code, count)
    addLatencies(cell.latencies, decodeLatencies(one.latency))
  }
}

/**
 * Takes written cells that were counted before out of a tally.
 *
 * @example
 * subtractWritten(tally, alreadyFolded.cells)
 */
export function subtractWritten (tally: Tally, written: readonly WrittenCell[]): void {
  for (const one of written) {
    const cell = tally.cell(one)
    addCounts(cell.counts, one.counts, -1)
    for (const [code, count] of Object.entries(one.refusals)) addRefusals(cell.refusals, code, -count)
    subtractLatencies(cell.latencies, decodeLatencies(one.latency))
  }
}

/**
 * A tally as it is written: cells that hold anything, zero counts left out.
 *
 * @example
 * JSON.stringify(writeTally(tally))
 */
export function writeTally (tally: Tally): WrittenCell[] {
  const written: WrittenCell[] = []
  for (const { key, counts, refusals, latencies } of tally.cells()) {
    const compact = compactCounts(counts)
    if (Object.keys(compact).length === 0) continue
    written.push({ ...key, counts: compact, refusals: Object.fromEntries(refusals), latency: encodeLatencies(latencies) })
  }
  return written
}

/**
 * Counts refusals of one code.
 *
 * @example
 * addRefusals(cell.refusals, 'overloaded', 1)
 */
export function addRefusals (refusals: Map<string, number>, code: string, count: number): void {
  refusals.set(code, (refusals.get(code) ?? 0) + count)
}

/** Names contain neither a slash nor a space, so the parts cannot run into each other. */
function nameOf (key: CellKey): string {
  return `${key.period}/${key.class}/${key.organisation}`
}
