/** Leases: holding, losing and fencing. */
export * from './types.js'
