/** Reclaims of upstreams: who leaves, who is told, and what becomes of open streams. */
export * from './types.js'
export * from './leaving.js'
export * from './spread.js'
export * from './export-order.js'
export * from './link.js'
export * from './link-turns.js'
export { domainsInWave } from './targets.js'
export { planReclaim, planWithOrders, timeToUse } from './plan.js'
