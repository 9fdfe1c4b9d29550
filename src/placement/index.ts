/** Choice of upstreams for forwarded requests. */
export type { InFlight, PromptPart, UpstreamRecord, Work } from './types.js'
export { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from './choose.js'
export type { Candidate, PlacementCosts, PlacingNode } from './choose.js'
export { createUpstreamHealth } from './health.js'
export type { UpstreamHealth } from './health.js'
