/** Choice of upstreams for forwarded requests. */
export { lifeOf, upstreamLifeSchema } from './types.js'
export type { InFlight, NodeLoad, PromptPart, UpstreamLife, UpstreamRecord, Work } from './types.js'
export { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from './choose.js'
export type { Candidate, Choice, PlacementCosts, PlacingNode } from './choose.js'
export { readingTime, sharedTokens } from './reading.js'
export { createUpstreamHealth } from './health.js'
export type { UpstreamHealth } from './health.js'
