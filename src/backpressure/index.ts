/** Backpressure from upstreams: announced departures, requested pauses and rate limits. */
export type { UpstreamSignals } from './types.js'
export { createDepartures, reportedDeparturesSchema } from './departures.js'
export type { Departures, ReportedDepartures } from './departures.js'
export { createRequestedPauses } from './pauses.js'
export type { RequestedPauses } from './pauses.js'
export { createRateLimits, mergeLimits, reportedLimitsSchema } from './rate-limits.js'
export type { NodeRateLimit, RateLimitChange, RateLimits, ReportedLimits } from './rate-limits.js'
