/** Reports: counters, facts and their folding. */
export * from './types.js'
export { factSchema, outcomeSchema, requestFactsSchema } from './fact.js'
export type { Fact } from './fact.js'
export { createFactStore } from './fact-store.js'
export { createLedger } from './ledger.js'
export type { CountingLedger, EpochCounts, OpenCount, Spend } from './ledger.js'
export { PERIOD, periodOf } from './tally.js'
