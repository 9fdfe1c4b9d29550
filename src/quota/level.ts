/**
 * What an organisation may still use over all nodes together, as one node reckons it.
 *
 * Load pattern answered: hundreds of nodes and prompts of 50,000 tokens. A node's own part of the rate is less than one
 * prompt, so that one long prompt shut an organisation out at its node for seconds while it used half of its quota
 * (196 of 245 refusals of a calm minute at 18 nodes), and a part that may go into debt by one prompt at each of 195 nodes
 * lets through several times what all may use. Here each node keeps the level of the one bucket of all nodes: refilled at
 * the whole rate, less what it lets through itself and what the others tell that they do. While that lasts, all of an
 * organisation's requests pass at any node; where they come faster than the rate, each passes by chance, with the
 * same chance at all nodes and for all sizes, so that the largest aren't starved.
 *
 * Why the sum holds: what the others let through is told within a second or two and taken off the level then; what is
 * taken too much before is held back afterwards, since the chance falls to nothing as the level does.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Rates of an organisation over all nodes, in units a second. */
export interface ObservedRates {
  /** What callers ask for. */
  readonly offered: number
  /** The part of it that other nodes are asked for. */
  readonly offeredToOthers: number
  /** What the other nodes let through. */
  readonly grantedByOthers: number
}

/** The level of one organisation's bucket. */
export interface QuotaLevel {
  /** Takes the refill and what others let through since the last time. @returns the chance with which a request passes now */
  chance (rates: ObservedRates, now: Milliseconds): number
  take (cost: number): void
  /** A request that was let through did not run. */
  giveBack (cost: number): void
  resize (rate: number, size: number): void
  /** Time until requests pass with at least half of the chance that the rates allow. */
  wait (rates: ObservedRates): Milliseconds
}

/**
 * Time in which what is left of the level is used up where more comes than the rate, all of it to other nodes. Twice the time after which nodes
 * know of each other's: with less, the level swings; with more, what callers may use at once reaches them late.
 */
const SPENDING_TIME: Milliseconds = 2 * SECOND

/** What others are asked for beyond the rate, for this time, may have been let through without being told yet; it is kept back. */
const HEARD_AFTER: Milliseconds = 1.2 * SECOND

/** Shortest time after which a refused caller is asked to come back. */
const SHORTEST_WAIT: Milliseconds = 100

/** Longest such time. */
export const LONGEST_WAIT: Milliseconds = 5 * SECOND

/**
 * @param rate units a second, of all nodes together
 * @param size most units that may be used at once
 * @param first part of the size that is there at the start
 * @example
 * const level = createQuotaLevel(20_000, 20_000, 0.5, clock.now())
 * if (random.fraction() < level.chance(rates, clock.now())) level.take(1_540)
 */
export function createQuotaLevel (rate: number, size: number, first: number, now: Milliseconds): QuotaLevel {
  let left = size * first
  let at = now

  return {
    chance: ({ offered, offeredToOthers, grantedByOthers }, now) => {
      left = Math.min(size, left + (rate - grantedByOthers) * Math.max(0, now - at) / SECOND)
      at = Math.max(at, now)
      if (left <= 0) return 0
      const unseen = Math.max(0, offeredToOthers - rate) * HEARD_AFTER / SECOND
      const spendingTime = SPENDING_TIME * offeredToOthers / Math.max(1, offered)
      const usable = rate + Math.max(0, left - unseen) / Math.max(1, spendingTime) * SECOND
      return offered <= usable ? 1 : usable / offered
    },
    take: (cost) => { left -= cost },
    giveBack: (cost) => { left = Math.min(size, left + cost) },
    resize: (newRate, newSize) => {
      left = left > 0 && size > 0 ? left * newSize / size : Math.min(left, newSize)
      rate = newRate
      size = newSize
    },
    wait: ({ grantedByOthers }) => {
      const refill = Math.max(rate / 2, rate - grantedByOthers)
      return Math.min(LONGEST_WAIT, Math.max(SHORTEST_WAIT, (1 - left) / refill * SECOND))
    }
  }
}
