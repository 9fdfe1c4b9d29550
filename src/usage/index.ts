/** Usage by organisation and window, decided once and reported by one node. */
export { createUsageWindows, sumCounts, windowOf } from './windows.js'
export type { UsageCounts, UsageWindows } from './windows.js'
export { nextStep, usageJournalSchema } from './journal.js'
export type { UsageJournal, UsageStep } from './journal.js'
