/**
 * What was decided about usage reports, kept in the store so that a later holder of the duty repeats it
 * exactly instead of deciding again.
 *
 * Failure guarded against: a holder sends a report, its answer is lost, the holder dies, and its
 * successor counts again and sends other figures for the same window. The counts are written here under
 * compare-and-swap before the first report; whoever sends a window sends what stands here.
 */
import * as z from 'zod'

const countsSchema = z.record(z.string(), z.number().int().nonnegative())

/** The journal's value in the store. */
export const usageJournalSchema = z.object({
  /** Latest window whose counts are decided. */
  window: z.number().int(),
  counts: countsSchema,
  /** The platform has acknowledged it. */
  acknowledged: z.boolean()
})
export type UsageJournal = z.infer<typeof usageJournalSchema>

/** What the holder does next. */
export type UsageStep =
  /** Send what was decided. */
  | { readonly kind: 'report', readonly journal: UsageJournal }
  /** Count a window and write the decision. */
  | { readonly kind: 'decide', readonly window: number }
  | { readonly kind: 'wait' }

/**
 * @param journal what stands in the store, if anything does
 * @param lastComplete latest window that all nodes have had time to write their counts of
 * @example
 * nextStep(undefined, 41) // decide 41: a system that starts has no older windows
 */
export function nextStep (journal: UsageJournal | undefined, lastComplete: number): UsageStep {
  if (journal === undefined) return { kind: 'decide', window: lastComplete }
  if (!journal.acknowledged) return { kind: 'report', journal }
  if (journal.window >= lastComplete) return { kind: 'wait' }
  return { kind: 'decide', window: Math.max(journal.window + 1, lastComplete - MOST_BEHIND) }
}

/** Windows made up for after an outage; older reports come too late to be worth their calls. */
const MOST_BEHIND = 4
