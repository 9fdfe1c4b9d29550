/** Leases: holding, losing and fencing. */
export type { HeldLease, Leadership } from './types.js'
export { createLeaseHolder } from './holder.js'
