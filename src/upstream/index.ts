/** Upstreams: what is known of them and which one a request goes to. */
export * from './types.js'
export * from './quantile.js'
export * from './estimate.js'
export * from './fleet.js'
export type { Demand, Placement, ServiceFleet } from './fleet-types.js'
export * from './partial-view.js'
