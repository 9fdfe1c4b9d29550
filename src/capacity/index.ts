/** Capacity at lowest cost: demand, mix, replacement, orders to engines, loads of weights. */
export * from './types.js'
export * from './demand.js'
export * from './reclaim-history.js'
export * from './mix.js'
export * from './mix-search.js'
export * from './targets.js'
