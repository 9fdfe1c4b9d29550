/**
 * Counts of one class, organisation and period. All of them only grow and add up over nodes and
 * epochs; what is open follows from them.
 */
import * as z from 'zod'

const count = z.number().int()

/** Counts as they are written. */
export const countsSchema = z.object({
  accepted: count,
  /** Refused before acceptance; proven not to have run. */
  refused: count,
  served: count,
  late: count,
  /** Accepted, and refused after that. */
  refusedLater: count,
  lost: count,
  unknown: count,
  handedOver: count,
  takenOver: count,
  /**
   * Open at a node that was given up as gone. A node that turns out to live subtracts here what was
   * added for it, so this one may be negative in a single report and never is in the sum.
   */
  abandoned: count,
  generatedTokens: count,
  recomputedTokens: count
})
/** Counts of one class, organisation and period. */
export type Counts = z.infer<typeof countsSchema>

const NAMES = Object.keys(countsSchema.shape) as (keyof Counts)[]

/** Counts as they are written: those that are not zero. */
export type CompactCounts = { [name in keyof Counts]?: number | undefined }

/** @example const counts = zeroCounts() */
export function zeroCounts (): Counts {
  return Object.fromEntries(NAMES.map((name) => [name, 0])) as Counts
}

/**
 * Adds counts in place.
 *
 * @param factor -1 to take out again what was added before
 * @example
 * addCounts(sum, cell.counts)
 */
export function addCounts (sum: Counts, added: CompactCounts, factor: 1 | -1 = 1): void {
  for (const name of NAMES) sum[name] += factor * (added[name] ?? 0)
}

/**
 * The counts that are not zero; what a snapshot writes.
 *
 * @example
 * compactCounts({ ...zeroCounts(), accepted: 3 }) // { accepted: 3 }
 */
export function compactCounts (counts: Counts): CompactCounts {
  return Object.fromEntries(NAMES.filter((name) => counts[name] !== 0).map((name) => [name, counts[name]]))
}

/**
 * Requests that are open at the node or nodes these counts come from.
 *
 * @example
 * openOf({ ...zeroCounts(), accepted: 3, served: 2 }) // 1
 */
export function openOf (counts: Counts): number {
  const entered = counts.accepted + counts.takenOver
  const left = counts.served + counts.late + counts.refusedLater + counts.lost + counts.unknown + counts.handedOver
  return entered - left
}
