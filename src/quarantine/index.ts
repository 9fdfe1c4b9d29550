/** Detection and refusal of requests that crash upstreams. */
export { ANSWERED, createQuarantine, MAX_BROKEN_RUNS } from './quarantine.js'
export type { BrokenRuns, Quarantine } from './quarantine.js'
