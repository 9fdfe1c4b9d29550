/** Tallies: counts and latencies by period, class and organisation, in memory and in their stored form. */
import * as z from 'zod'
import { HOUR } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, organisationNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName } from '../identifiers.js'
import { addCounts, compactCounts, countsSchema, zeroCounts } from './counts.js'
import type { RequestCounts } from './counts.js'
import { addLatencies, decodeLatencies, encodeLatencies, subtractLatencies } from './latency.js'
import type { Latencies } from './latency.js'

/** Length of a reporting period. A request belongs to the period in which it was accepted or refused. */
export const PERIOD: Milliseconds = HOUR

/** Key of a cell. */
export interface CellKey {
  /** Wall time of the start of the period, in milliseconds. */
  readonly period: Milliseconds
  readonly class: ClassName
  readonly organisation: OrganisationName
}

/** Counts and latencies of one cell. */
export interface Cell {
  readonly key: CellKey
  readonly counts: RequestCounts
  /** Number of refusals before and after acceptance, by failure code. */
  readonly refusals: Map<string, number>
  readonly latencies: Latencies
}

/** Stored form of a cell. */
export const cellSchema = z.object({
  period: z.number().int().nonnegative(),
  class: classNameSchema,
  organisation: organisationNameSchema,
  /** Non-zero counts. */
  counts: countsSchema.partial(),
  refusals: z.record(z.string(), z.number().int()).default({}),
  latency: z.object({ firstToken: z.string(), betweenTokens: z.string(), wholeAnswer: z.string() }).partial().default({})
})
export type EncodedCell = z.infer<typeof cellSchema>

/** Collection of cells by key. */
export interface Tally {
  /** Returns the cell of a key, and creates an empty one if there is none. */
  cell (key: CellKey): Cell
  cells (): Iterable<Cell>
  size (): number
}

/**
 * Returns the start of the period that contains a wall time.
 *
 * @example
 * periodOf(3_600_001) // 3_600_000
 */
export function periodOf (wall: Milliseconds): Milliseconds {
  return Math.floor(wall / PERIOD) * PERIOD
}

/**
 * Creates an empty tally.
 *
 * @example
 * const tally = createTally()
 */
export function createTally (): Tally {
  const cells = new Map<string, Cell>()
  return {
    cell: (key) => {
      const name = cellName(key)
      const existing = cells.get(name)
      if (existing !== undefined) return existing
      const created = { key: { period: key.period, class: key.class, organisation: key.organisation }, counts: zeroCounts(), refusals: new Map(), latencies: {} }
      cells.set(name, created)
      return created
    },
    cells: () => cells.values(),
    size: () => cells.size
  }
}

/**
 * Adds stored cells to a tally.
 *
 * @throws Error if a histogram cannot be decoded
 * @example
 * addEncodedCells(total, snapshot.cells)
 */
export function addEncodedCells (tally: Tally, encoded: readonly EncodedCell[]): void {
  for (const encodedCell of encoded) {
    const cell = tally.cell(encodedCell)
    addCounts(cell.counts, encodedCell.counts)
    for (const [code, count] of Object.entries(encodedCell.refusals)) addRefusals(cell.refusals, code, count)
    addLatencies(cell.latencies, decodeLatencies(encodedCell.latency))
  }
}

/**
 * Subtracts stored cells that were counted before from a tally.
 *
 * @throws Error if a histogram cannot be decoded
 * @example
 * subtractEncodedCells(tally, alreadyFolded.cells)
 */
export function subtractEncodedCells (tally: Tally, encoded: readonly EncodedCell[]): void {
  for (const encodedCell of encoded) {
    const cell = tally.cell(encodedCell)
    addCounts(cell.counts, encodedCell.counts, -1)
    for (const [code, count] of Object.entries(encodedCell.refusals)) addRefusals(cell.refusals, code, -count)
    subtractLatencies(cell.latencies, decodeLatencies(encodedCell.latency))
  }
}

/**
 * Converts a tally to its stored form, which omits empty cells and zero counts.
 *
 * @example
 * JSON.stringify(encodeTally(tally))
 */
export function encodeTally (tally: Tally): EncodedCell[] {
  const encoded: EncodedCell[] = []
  for (const { key, counts, refusals, latencies } of tally.cells()) {
    const compact = compactCounts(counts)
    if (Object.keys(compact).length === 0) continue
    encoded.push({ ...key, counts: compact, refusals: Object.fromEntries(refusals), latency: encodeLatencies(latencies) })
  }
  return encoded
}

/**
 * Adds a number of refusals with one failure code.
 *
 * @example
 * addRefusals(cell.refusals, 'overloaded', 1)
 */
export function addRefusals (refusals: Map<string, number>, code: string, count: number): void {
  refusals.set(code, (refusals.get(code) ?? 0) + count)
}

/** Unique name of a cell. Class and organisation names contain no slash, so no two keys have the same name. */
function cellName (key: CellKey): string {
  return `${key.period}/${key.class}/${key.organisation}`
}
