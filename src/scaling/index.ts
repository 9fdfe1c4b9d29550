/** Automatic scaling of services: number of upstreams per failure domain, reclaimable and on-demand. */
export type { OfferedWork, Pool, PoolSize, PresentUpstream, ScalingInput } from './types.js'
export { offeredLoad, expectedLoad, createLoadEstimator, sumWork } from './load.js'
export type { LoadEstimator } from './load.js'
export { addOtherVersions, planPools } from './plan.js'
export { createOrderTracker } from './orders.js'
export type { OrderAnswer, OrderTracker } from './orders.js'
export { createWorkMeter } from './work-meter.js'
export type { WorkMeter } from './work-meter.js'
