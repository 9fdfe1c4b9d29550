/** Capacity at lowest cost: demand, mix, replacement, orders to engines, loads of weights. */
export * from './types.js'
