/**
 * What was decided about usage reports, kept in the store so that a later holder of the duty repeats it
 * exactly instead of deciding again.
 *
 * Failure guarded against: a holder sends a report, its answer is lost, the holder dies, and its
 * successor counts again and sends other figures for the same window. The counts are written here under
 * compare-and-swap before the first report; whoever sends a window sends what stands here.
 *
 * Failure guarded against: the journal is missing, or older than what was reported, since the store came back from a
 * copy or something else wrote there. Nobody knows then which windows were sent with which counts; all that have ended are
 * closed, and reports go on with the next one.
 */
import * as z from 'zod'

const countsSchema = z.record(z.string(), z.number().int().nonnegative())

/** The journal's value in the store. */
export const usageJournalSchema = z.object({
  /** Latest window whose counts are decided. */
  window: z.number().int(),
  counts: countsSchema,
  /** The platform has acknowledged it, or it is closed without a report. */
  acknowledged: z.boolean(),
  /** Epoch of the store as its writer knew it. A journal of another epoch may lack what was decided after it. */
  epoch: z.number().int().nonnegative()
})
export type UsageJournal = z.infer<typeof usageJournalSchema>

/** What the holder does next. */
export type UsageStep =
  /** Send what was decided. */
  | { readonly kind: 'report', readonly journal: UsageJournal }
  /** Count a window and write the decision. */
  | { readonly kind: 'decide', readonly window: number }
  /** Begin a journal in which this window and all before it are over, reported or not. */
  | { readonly kind: 'close', readonly window: number }
  | { readonly kind: 'wait' }

/**
 * @param journal what stands in the store, if anything legible does
 * @param epoch of the store
 * @param lastComplete latest window that all nodes have had time to write their counts of
 * @example
 * nextStep(undefined, 1, 41) // close 41: it may have been reported
 */
export function nextStep (journal: UsageJournal | undefined, epoch: number, lastComplete: number): UsageStep {
  if (journal === undefined) return { kind: 'close', window: lastComplete }
  if (journal.epoch !== epoch) return { kind: 'close', window: Math.max(journal.window, lastComplete) }
  if (!journal.acknowledged) return { kind: 'report', journal }
  if (journal.window >= lastComplete) return { kind: 'wait' }
  return { kind: 'decide', window: Math.max(journal.window + 1, lastComplete - MOST_BEHIND) }
}

/** Windows made up for after an outage; older reports come too late to be worth their calls. */
const MOST_BEHIND = 4
