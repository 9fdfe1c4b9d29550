/**
 * When a holder may act. Times are of the holder's own monotonic clock, and every bound counts from
 * before the call was sent: the service's lease can't have begun earlier, so it lapses later than
 * the holder stops, whatever the replies took.
 */
import type { Milliseconds } from '../clock.js'
import type { HeldLease } from './types.js'

/** One process's knowledge of a lease. */
export interface LeaseHolder {
  /** The lease was taken by a call sent at `sentAt` for `time`. */
  taken (fencing: number, sentAt: Milliseconds, time: Milliseconds): void
  /** The service confirmed a renewal that was sent at `sentAt`; `remaining` from when it answered. */
  renewed (sentAt: Milliseconds, remaining: Milliseconds): void
  /** The service says that the lease is not this process's. */
  lost (): void
  /** The lease if it is held for at least `margin` after `now`. */
  held (now: Milliseconds, margin: Milliseconds): HeldLease | undefined
}

/** Share of the lease's time that is given up against clocks that run at different speeds. */
const DRIFT = 0.05

/**
 * @example
 * const holder = createLeaseHolder()
 * holder.taken(entry.revision, sentAt, 15_000)
 * holder.held(clock.now(), 2_000)?.fencing
 */
export function createLeaseHolder (): LeaseHolder {
  let lease: HeldLease | undefined

  return {
    taken: (fencing, sentAt, time) => {
      if (lease !== undefined && fencing < lease.fencing) return
      lease = { fencing, until: safeUntil(sentAt, time) }
    },
    renewed: (sentAt, remaining) => {
      if (lease === undefined) return
      // A lease that lapsed here may have been another's meanwhile; it has to be taken anew.
      if (sentAt >= lease.until) {
        lease = undefined
        return
      }
      lease = { ...lease, until: Math.max(lease.until, safeUntil(sentAt, remaining)) }
    },
    lost: () => { lease = undefined },
    held: (now, margin) => lease !== undefined && now + margin < lease.until ? lease : undefined
  }
}

/**
 * Time at which a holder stops: before the service can let the lease lapse.
 *
 * @param sentAt when the call that began or renewed the lease was sent
 * @param time the lease's time, in milliseconds
 * @example
 * safeUntil(0, 15_000) // 14_250
 */
export function safeUntil (sentAt: Milliseconds, time: Milliseconds): Milliseconds {
  return sentAt + time * (1 - DRIFT)
}
