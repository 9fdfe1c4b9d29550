/** State of the upstreams, and the choice of an upstream for each attempt. */
export { instanceSchema, loadReportSchema, usageSchema } from './types.js'
export type { Instance, LoadReport, UpstreamView, Usage } from './types.js'
export { createQuantileEstimate } from './quantile.js'
export { createEngineEstimate } from './estimate.js'
export type { ExpectedAnswer } from './estimate.js'
export { createServiceFleet } from './fleet.js'
export type { AttemptDemand, Placement, ServiceFleet } from './fleet-types.js'
export { partialView, nodesPerUpstream, usedUpstreams, viewSize } from './partial-view.js'
