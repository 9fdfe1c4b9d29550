/** Upstreams that ask for less work, or for none. */
export type { UpstreamSignals } from './types.js'
export { createDepartures, toldDeparturesSchema } from './departures.js'
export type { Departures, ToldDepartures } from './departures.js'
export { createRequestedPauses } from './pauses.js'
export type { RequestedPauses } from './pauses.js'
export { createRateLimits, mergeLimits, toldLimitsSchema } from './rate-limits.js'
export type { Pace, PaceChange, RateLimits, ToldLimits } from './rate-limits.js'
