/**
 * Tracks how long a process may act as the holder of a lease.
 *
 * All times are of the holder's own monotonic clock. The duration of the lease counts from the time before the call was
 * sent. The service cannot have started the lease earlier, so the holder always stops before the service lets the
 * lease expire, however late the reply arrives.
 */
import type { Milliseconds } from '../clock.js'
import type { HeldLease } from './types.js'

/** State of a lease as one process knows it. */
export interface LeaseHolder {
  /** Records that a call sent at `sentAt` acquired the lease for `duration`. */
  taken (fencing: number, sentAt: Milliseconds, duration: Milliseconds): void
  /**
   * Records that a call sent at `sentAt` renewed the lease.
   *
   * @param remaining time left on the lease when the service answered
   */
  renewed (sentAt: Milliseconds, remaining: Milliseconds): void
  /** Records that the service no longer assigns the lease to this process. */
  lost (): void
  /** The lease, or undefined unless it is held for at least `margin` after `now`. */
  held (now: Milliseconds, margin: Milliseconds): HeldLease | undefined
}

/** Share of the duration that is subtracted as a tolerance for clocks that run at different speeds. */
const CLOCK_DRIFT = 0.05

/**
 * Creates a holder without a lease.
 *
 * @example
 * const holder = createLeaseHolder()
 * holder.taken(entry.revision, sentAt, 15_000)
 * holder.held(clock.now(), 2_000)?.fencing
 */
export function createLeaseHolder (): LeaseHolder {
  let lease: HeldLease | undefined

  return {
    taken: (fencing, sentAt, duration) => {
      if (lease !== undefined && fencing < lease.fencing) return
      lease = { fencing, until: localExpiry(sentAt, duration) }
    },
    renewed: (sentAt, remaining) => {
      if (lease === undefined) return
      // An expired lease may have been held by another process since, so it must be acquired again.
      if (sentAt >= lease.until) {
        lease = undefined
        return
      }
      lease = { ...lease, until: Math.max(lease.until, localExpiry(sentAt, remaining)) }
    },
    lost: () => { lease = undefined },
    held: (now, margin) => lease !== undefined && now + margin < lease.until ? lease : undefined
  }
}

/**
 * Time at which the holder stops, before the service can let the lease expire.
 *
 * @param sentAt time at which the call that acquired or renewed the lease was sent
 * @param duration duration of the lease, in milliseconds
 * @example
 * localExpiry(0, 15_000) // 14_250
 */
export function localExpiry (sentAt: Milliseconds, duration: Milliseconds): Milliseconds {
  return sentAt + duration * (1 - CLOCK_DRIFT)
}
