/**
 * Computes `Retry-After` for refused requests, so that their retries arrive one after the other.
 *
 * Load pattern: an organisation requests several times its rate, and half of the refused callers are told to retry within
 * 100 ms. They are refused again, since nothing has become available. Therefore a node books the units of each announced
 * retry against its share of the organisation's rate, and announces the next one after these.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'
import { MAX_RETRY_AFTER, MIN_RETRY_AFTER } from './level.js'

/** Announced retries of one organisation at one node. */
export interface AnnouncedRetries {
  /**
   * Announces a retry.
   *
   * @param cost units that the retry needs
   * @param rate this node's share of the organisation's rate, in units per second
   * @param earliest time until any request can be admitted
   * @returns the time to retry after
   */
  announce (cost: number, rate: number, earliest: Milliseconds, now: Milliseconds): Milliseconds
}

/** The announced time is extended at random by up to this fraction, so that callers do not retry together. */
const JITTER = 0.25

/** Weight of a request in the mean cost. */
const COST_WEIGHT = 0.1

/**
 * Creates announced retries without any.
 *
 * @example
 * const retries = createAnnouncedRetries(random)
 * retries.announce(1_540, 5_000, 0, clock.now()) // 100 to 125 ms
 * retries.announce(1_540, 5_000, 0, clock.now()) // 462 to 578 ms
 */
export function createAnnouncedRetries (random: Random): AnnouncedRetries {
  /** Time until which the share is booked. */
  let bookedUntil = 0
  let meanCost: number | undefined

  return {
    announce: (cost, rate, earliest, now) => {
      const start = Math.max(bookedUntil, now)
      const latest = MAX_RETRY_AFTER / (1 + JITTER)
      const perUnit = SECOND / Math.max(1, rate)
      // A retry whose time would be beyond the latest one is not booked: nothing is known of that time.
      bookedUntil = Math.max(bookedUntil, Math.min(start + cost * perUnit, now + latest))
      // The cost of earlier requests instead of this one's, so that the time does not depend on its size.
      const wait = Math.max(earliest, start - now + (meanCost ?? 0) * perUnit / 2, MIN_RETRY_AFTER)
      meanCost = meanCost === undefined ? cost : meanCost + COST_WEIGHT * (cost - meanCost)
      return Math.min(wait, latest) * (1 + JITTER * random.fraction())
    }
  }
}
