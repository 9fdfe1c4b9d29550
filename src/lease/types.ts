/** A lease on a task that only one process at a time may perform. */
import type { Milliseconds } from '../clock.js'

/** A lease that this process holds. */
export interface HeldLease {
  /** Fencing number. Increases with every change of the holder and is sent with every order. */
  readonly fencing: number
  /** Time of the holder's monotonic clock at which it stops, before the lease can expire. */
  readonly until: Milliseconds
}

/** Access to the lease for code that may only run while it is held. */
export interface Leadership {
  /** The lease, or undefined unless it is held for at least `margin` from now. */
  held (margin: Milliseconds): HeldLease | undefined
}
