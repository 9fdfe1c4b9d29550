/** Requests that crash upstreams, found and refused. */
export { ANSWERED, createQuarantine, MOST_BROKEN_RUNS } from './quarantine.js'
export type { BrokenRuns, Quarantine } from './quarantine.js'
