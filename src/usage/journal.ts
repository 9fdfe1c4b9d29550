/**
 * Journal of decided usage reports. It is kept in the store, so that a later holder of the duty repeats a report
 * exactly instead of counting again.
 *
 * Failure guarded against: a holder sends a report, the acknowledgement is lost and the holder dies. Its successor
 * counts again and sends different figures for the same window. The counts are therefore written to the journal with
 * compare-and-swap before the first report, and every holder reports what the journal contains.
 *
 * Failure guarded against: the journal is missing or older than the last report, because the store was restored from
 * a backup or another process wrote to the key. It is then unknown which windows were reported with which counts. All
 * windows that have ended are closed without a report, and reporting continues with the next one.
 */
import * as z from 'zod'

const countsSchema = z.record(z.string(), z.number().int().nonnegative())

/** The journal as stored. */
export const usageJournalSchema = z.object({
  /** Latest window with decided counts. */
  window: z.number().int(),
  counts: countsSchema,
  /** Whether the platform has acknowledged the window, or the window was closed without a report. */
  acknowledged: z.boolean(),
  /** Epoch of the store when the journal was written. A journal of another epoch may lack later decisions. */
  epoch: z.number().int().nonnegative()
})
export type UsageJournal = z.infer<typeof usageJournalSchema>

/** Next action of the holder of the duty. */
export type UsageStep =
  /** Report the decided counts. */
  | { readonly kind: 'report', readonly journal: UsageJournal }
  /** Sum the counts of a window and write them to the journal. */
  | { readonly kind: 'decide', readonly window: number }
  /** Start a new journal in which this window and all earlier ones are closed, whether or not they were reported. */
  | { readonly kind: 'close', readonly window: number }
  /** Nothing to do until another window is complete. */
  | { readonly kind: 'wait' }

/**
 * Determines what the holder of the duty does next.
 *
 * @param journal the journal in the store, undefined if it is missing or unreadable
 * @param epoch current epoch of the store
 * @param lastComplete latest window for which all nodes have had time to write their counts
 * @example
 * nextUsageStep(undefined, 1, 41) // { kind: 'close', window: 41 }: it may have been reported already
 */
export function nextUsageStep (journal: UsageJournal | undefined, epoch: number, lastComplete: number): UsageStep {
  if (journal === undefined) return { kind: 'close', window: lastComplete }
  if (journal.epoch !== epoch) return { kind: 'close', window: Math.max(journal.window, lastComplete) }
  if (!journal.acknowledged) return { kind: 'report', journal }
  if (journal.window >= lastComplete) return { kind: 'wait' }
  return { kind: 'decide', window: Math.max(journal.window + 1, lastComplete - MAX_WINDOWS_BEHIND) }
}

/**
 * Maximum number of past windows that are reported after an outage. Reports of older windows arrive too late to be
 * useful.
 */
const MAX_WINDOWS_BEHIND = 4
