/** Measures on which the order of waiting requests and the retry delays of refused ones are based. */
export { createDecayedRate } from './decayed-rate.js'
export { createFairShare } from './fair-share.js'
export type { FairShare } from './fair-share.js'
export { retryAfter, RETRY_JITTER } from './retry-after.js'
export type { RetryBounds } from './retry-after.js'
export { createServiceRate } from './service-rate.js'
