/**
 * Request counts of one class, organisation and period. The counts are monotonic and can be added over nodes and
 * epochs. The number of open requests is derived from them.
 */
import * as z from 'zod'

const count = z.number().int()

/** Schema of the counts. */
export const countsSchema = z.object({
  accepted: count,
  /** Refused before acceptance, so proven not to have run. */
  refused: count,
  served: count,
  late: count,
  /** Refused after acceptance. */
  refusedLater: count,
  lost: count,
  unknown: count,
  handedOver: count,
  takenOver: count,
  /**
   * Requests that were open at a node when it was given up. If the node turns out to be alive, it subtracts the same
   * number in its next epoch. The count may therefore be negative in a single report, but never in the sum.
   */
  abandoned: count,
  generatedTokens: count,
  recomputedTokens: count
})
/** Counts of one class, organisation and period. */
export type RequestCounts = z.infer<typeof countsSchema>

const COUNT_NAMES = Object.keys(countsSchema.shape) as (keyof RequestCounts)[]

/** Counts in their stored form, which omits zero counts. */
export type CompactCounts = { [name in keyof RequestCounts]?: number | undefined }

/**
 * Creates counts that are all zero.
 *
 * @example
 * const counts = zeroCounts()
 */
export function zeroCounts (): RequestCounts {
  return Object.fromEntries(COUNT_NAMES.map((name) => [name, 0])) as RequestCounts
}

/**
 * Adds counts to `sum` in place.
 *
 * @param factor -1 to subtract instead
 * @example
 * addCounts(sum, cell.counts)
 */
export function addCounts (sum: RequestCounts, added: CompactCounts, factor: 1 | -1 = 1): void {
  for (const name of COUNT_NAMES) sum[name] += factor * (added[name] ?? 0)
}

/**
 * Omits the zero counts, to keep snapshots small.
 *
 * @example
 * compactCounts({ ...zeroCounts(), accepted: 3 }) // { accepted: 3 }
 */
export function compactCounts (counts: RequestCounts): CompactCounts {
  return Object.fromEntries(COUNT_NAMES.filter((name) => counts[name] !== 0).map((name) => [name, counts[name]]))
}

/**
 * Computes the number of requests that are open at the nodes that the counts come from.
 *
 * @example
 * openOf({ ...zeroCounts(), accepted: 3, served: 2 }) // 1
 */
export function openOf (counts: RequestCounts): number {
  const entered = counts.accepted + counts.takenOver
  const left = counts.served + counts.late + counts.refusedLater + counts.lost + counts.unknown + counts.handedOver
  return entered - left
}
