/** Time that the upstreams of a service need for the work that waits at one node. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { createServiceRate } from '../queueing/index.js'

/** Estimates how fast waiting work is dispatched. */
export interface Drain {
  /** Advances the time. To be called before each change of the queue. */
  measure (isWaiting: boolean, now: Milliseconds): void
  /** A request that has waited is dispatched. */
  dispatched (work: Milliseconds): void
  /** Time until this work has been dispatched. */
  timeFor (work: Milliseconds): Milliseconds
}

/** Waiting time over which the rate is measured. Bursts last 3 to 6 s. */
const INTERVAL: Milliseconds = SECOND / 2

/** Time without waiting requests after which a measured rate is outdated. */
const LIFETIME: Milliseconds = 10 * SECOND

/**
 * Until a rate has been measured, each upstream is assumed to do a millisecond of work in a millisecond for this node
 * alone, so that no request is refused because of a low assumption.
 *
 * @param upstreams number of upstreams of the service
 * @example
 * const drain = createDrain(() => 12)
 * drain.timeFor(600) // 50
 */
export function createDrain (upstreams: () => number): Drain {
  let rate = createServiceRate(INTERVAL)
  let waitedAt: Milliseconds = -Infinity

  return {
    measure: (isWaiting, now) => {
      if (!isWaiting && now - waitedAt > LIFETIME) rate = createServiceRate(INTERVAL)
      if (isWaiting || now - waitedAt > LIFETIME) waitedAt = now
      rate.update(isWaiting, now)
    },
    dispatched: (work) => rate.dispatched(work),
    timeFor: (work) => work === 0 ? 0 : work / rate.value(Math.max(1, upstreams()))
  }
}
