/**
 * One node's estimate of the token bucket that all nodes share for an organisation.
 *
 * Load pattern: hundreds of nodes and prompts of 50,000 tokens. If each node had its own share of the rate, the share would
 * be less than one prompt. A long prompt would block an organisation at its node for seconds while it uses half of its
 * quota (196 of 245 refusals in a minute of normal load at 18 nodes). If each of 195 nodes let its share go into debt by
 * one prompt, the sum would be several times the quota. Therefore each node keeps the level of the shared bucket, which is
 * refilled at the full rate and reduced by what this node grants and by what the other nodes report as granted. While the
 * level lasts, all requests of the organisation are admitted at any node. If they arrive faster than the rate, each is
 * admitted at random, with the same probability at all nodes and for all sizes, so that large requests are not starved.
 *
 * Why the sum keeps to the quota: grants of the other nodes are reported and deducted within one or two seconds. An excess
 * granted before that is compensated afterwards, because the probability falls to 0 with the level.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Rates of an organisation over all nodes, in units per second. */
export interface ObservedRates {
  /** Units that callers request. */
  readonly offered: number
  /** Units thereof that are requested at other nodes. */
  readonly offeredToOthers: number
  /** Units that the other nodes grant. */
  readonly grantedByOthers: number
}

/** Level of one organisation's bucket. */
export interface QuotaLevel {
  /**
   * Applies the refill and the grants of other nodes since the last call.
   *
   * @returns the probability with which a request is to be admitted now
   */
  admitProbability (rates: ObservedRates, now: Milliseconds): number
  /** Deducts the cost of an admitted request; the level may become negative. */
  take (cost: number): void
  /** Returns the cost of an admitted request that did not run. */
  refund (cost: number): void
  /** Sets a new rate and size; a positive level keeps its fraction of the size. */
  resize (rate: number, size: number): void
  /** Time until the level is expected to be positive again, with a refill of at least half of the rate. */
  wait (rates: ObservedRates): Milliseconds
}

/**
 * Time over which the remaining level is spent under overload that arrives entirely at other nodes. It is about twice the
 * delay of reports between nodes. A shorter time makes the level oscillate. A longer time makes the burst available too
 * late.
 */
const SPEND_DOWN_TIME: Milliseconds = 2 * SECOND

/**
 * Delay of reports between nodes. Units beyond the rate that are requested at other nodes within this time may have been
 * granted without a report so far, so as many are held back.
 */
const REPORT_DELAY: Milliseconds = 1.2 * SECOND

/** Shortest time after which a refused caller is asked to retry. */
const MIN_RETRY_AFTER: Milliseconds = 100

/** Longest time after which a refused caller is asked to retry. */
export const MAX_RETRY_AFTER: Milliseconds = 5 * SECOND

/**
 * Creates the level of an organisation's bucket.
 *
 * @param rate refill in units per second, for all nodes together
 * @param size maximum level in units
 * @param initialFill fraction of the size that is available at the start
 * @param now time of the start
 * @example
 * const level = createQuotaLevel(20_000, 20_000, 0.5, clock.now())
 * if (random.fraction() < level.admitProbability(rates, clock.now())) level.take(1_540)
 */
export function createQuotaLevel (rate: number, size: number, initialFill: number, now: Milliseconds): QuotaLevel {
  let remaining = size * initialFill
  let updatedAt = now

  return {
    admitProbability: ({ offered, offeredToOthers, grantedByOthers }, now) => {
      remaining = Math.min(size, remaining + (rate - grantedByOthers) * Math.max(0, now - updatedAt) / SECOND)
      updatedAt = Math.max(updatedAt, now)
      if (remaining <= 0) return 0
      const unreported = Math.max(0, offeredToOthers - rate) * REPORT_DELAY / SECOND
      const spendingTime = SPEND_DOWN_TIME * offeredToOthers / Math.max(1, offered)
      const usableRate = rate + Math.max(0, remaining - unreported) / Math.max(1, spendingTime) * SECOND
      return offered <= usableRate ? 1 : usableRate / offered
    },
    take: (cost) => { remaining -= cost },
    refund: (cost) => { remaining = Math.min(size, remaining + cost) },
    resize: (newRate, newSize) => {
      remaining = remaining > 0 && size > 0 ? remaining * newSize / size : Math.min(remaining, newSize)
      rate = newRate
      size = newSize
    },
    wait: ({ grantedByOthers }) => {
      const refill = Math.max(rate / 2, rate - grantedByOthers)
      return Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, (1 - remaining) / refill * SECOND))
    }
  }
}
