/** A lease on a task that one process at a time may do. */
import type { Milliseconds } from '../clock.js'

/** What the holder knows of its lease. */
export interface HeldLease {
  /** Rises with every change of holder; orders carry it. */
  readonly fencing: number
  /** The holder stops at this time of its own monotonic clock, before the lease can lapse. */
  readonly until: Milliseconds
}

/** The lease as its user sees it. */
export interface Leadership {
  /** The lease if it is held now and for at least `margin` longer. */
  held (margin: Milliseconds): HeldLease | undefined
}
