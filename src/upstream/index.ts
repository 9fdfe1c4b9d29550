/** Upstreams: what is known of them and which one a request goes to. */
export { instanceSchema, loadReportSchema, usageSchema } from './types.js'
export type { Instance, LoadReport, UpstreamView, Usage } from './types.js'
export { createQuantileEstimate } from './quantile.js'
export { createEngineEstimate } from './estimate.js'
export type { ExpectedAnswer } from './estimate.js'
export { createServiceFleet } from './fleet.js'
export type { Demand, Placement, ServiceFleet } from './fleet-types.js'
export { partialView, sharingNodes, usedUpstreams, viewSize } from './partial-view.js'
