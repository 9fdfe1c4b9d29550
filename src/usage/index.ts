/** Usage per organisation and window: counted by every node, decided once and reported by one node. */
export { createUsageWindows, sumCounts, windowOf } from './windows.js'
export type { UsageCounts, UsageWindows } from './windows.js'
export { nextUsageStep, usageJournalSchema } from './journal.js'
export type { UsageJournal, UsageStep } from './journal.js'
