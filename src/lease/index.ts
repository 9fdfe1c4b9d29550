/** Leases with fencing numbers: when a process may act as the holder. */
export type { HeldLease, Leadership } from './types.js'
export { createLeaseHolder } from './holder.js'
