/** Leases: holding, losing and fencing. */
export * from './types.js'
export * from './holder.js'
