/** Reports: counters, facts and their folding. */
export * from './types.js'
