/** Upstreams that ask for less work, or for none. */
export type { UpstreamSignals } from './types.js'
export { createRateLimits, mergeLimits, toldLimitsSchema } from './rate-limits.js'
export type { Pace, PaceChange, RateLimits, ToldLimits } from './rate-limits.js'
