/**
 * One node's estimate of the token bucket that all nodes share for an organisation, and of the units that all nodes granted
 * in the window of the operators' bound.
 *
 * Load pattern: hundreds of nodes and prompts of 50,000 tokens. If each node had its own share of the rate, the share would
 * be less than one prompt. A long prompt would block an organisation at its node for seconds while it uses half of its
 * quota (196 of 245 refusals in a minute of normal load at 18 nodes). If each of 195 nodes let its share go into debt by
 * one prompt, the sum would be several times the quota. Therefore each node keeps the level of the shared bucket, which is
 * refilled at the full rate and reduced by what this node grants and by what the other nodes report as granted. While the
 * level lasts, all requests of the organisation are admitted at any node. If they arrive faster than the rate, each is
 * admitted at random, with the same probability at all nodes and for all sizes, so that large requests are not starved.
 *
 * Load pattern: an organisation's demand rises sixfold, and for two seconds the nodes grant it without knowing of each
 * other. A level that went into debt by all of it would refuse every request for seconds. Therefore grants of other nodes
 * put the level into debt by at most {@link MAX_DEBT_TIME}, and the bound on the window is kept separately: the rate at
 * which requests are admitted never exceeds the rate that can go on until the excess has left the window.
 *
 * Grants of other nodes are counted by their reports, at the time {@link REPORT_LAG} before these arrive. Those of the time
 * since are assumed to be what callers request of other nodes now, reduced by this node's own probability of that time.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { createAssumedGrants } from './assumed-grants.js'
import type { OthersDemand } from './assumed-grants.js'
import { BUCKET } from './grant-window.js'
import type { GrantWindow } from './grant-window.js'

/** Rates of an organisation over all nodes, in units per second. */
export interface ObservedRates extends OthersDemand {
  /** Units that callers request. */
  readonly offered: number
  /** Units that the other nodes grant. */
  readonly grantedByOthers: number
}

/** Bound on the units that all nodes grant in any window. */
export interface WindowBound {
  readonly length: Milliseconds
  /** Units that may be planned. */
  readonly allowance: number
  /** Units beyond the allowance that may be used so that {@link MIN_FRACTION} of the rate goes on being granted. */
  readonly reserve: number
  /** Grants counted so far. */
  readonly grants: GrantWindow
}

/** What limits the admission of requests. */
export type LevelLimit = 'rate' | 'window'

/** Level of one organisation's bucket. */
export interface QuotaLevel {
  /** Counts the grants of other nodes since the last call. Called before their rates change. */
  advance (rates: ObservedRates, now: Milliseconds): void
  /**
   * Applies the refill and the grants of other nodes since the last call.
   *
   * @returns the probability with which a request is to be admitted now
   */
  admitProbability (rates: ObservedRates, now: Milliseconds): number
  /**
   * Deducts the cost of a request admitted at the time of the last call; the level may become negative. `fleetCost` includes
   * what nodes without reports are assumed to have granted meanwhile.
   */
  take (cost: number, fleetCost?: number): void
  /** Returns the cost of a request that was admitted at `grantedAt`, now by default, and did not run. */
  refund (cost: number, grantedAt?: Milliseconds): void
  /** Sets a new rate, size and allowance; a positive level keeps its fraction of the size. */
  resize (rate: number, size: number, window?: Pick<WindowBound, 'allowance' | 'reserve'>): void
  /** Time until the level is expected to be positive again, with a refill of at least half of the rate. */
  wait (rates: ObservedRates): Milliseconds
  /** The probability at the last call. */
  lastProbability (): number
  /** What limited the last probability. */
  limit (): LevelLimit
  /** Fraction of the window's allowance that was granted, as of the last call. */
  windowFraction (): number
}

/**
 * Time over which the remaining level is spent under overload that arrives entirely at other nodes. A shorter time makes the
 * level oscillate. A longer time refuses requests while much of the burst is left.
 */
const SPEND_DOWN_TIME: Milliseconds = 1 * SECOND

/**
 * Mean time from a grant at another node until it is seen in the reports: their age of 0.8 to 2 s, and the mean lag of the
 * reported rate.
 */
export const REPORT_LAG: Milliseconds = 8 * BUCKET

/** Grants of other nodes put the level into debt by at most what the rate refills in this time. */
const MAX_DEBT_TIME: Milliseconds = 250

/** Time over which a debt caused by other nodes is paid back, by admitting less than the rate. */
const PAY_BACK_TIME: Milliseconds = 1 * SECOND

/** Fraction of the rate that must remain available for as long as the present grants are in the window. */
const SUSTAINED_FRACTION = 0.7

/** Fraction of the rate that is granted while the reserve of the window lasts. */
const MIN_FRACTION = 0.4

/**
 * Fraction by which grants that are not reported yet are overestimated in the window. Demand that rises is known late, so
 * that they are underestimated just when the window fills up.
 */
const UNREPORTED_EXCESS = 0.4

/** Shortest time after which a refused caller is asked to retry. */
export const MIN_RETRY_AFTER: Milliseconds = 100

/** Longest time after which a refused caller is asked to retry. */
export const MAX_RETRY_AFTER: Milliseconds = 5 * SECOND

interface OwnGrant {
  readonly at: Milliseconds
  cost: number
}

/**
 * Creates the level of an organisation's bucket.
 *
 * @param rate refill in units per second, for all nodes together
 * @param size maximum level in units
 * @param initialFill fraction of the size that is available at the start
 * @param now time of the start; other nodes' grants before it are known
 * @param bound bound on the window; none if left out
 * @param admitted fraction of requests that other nodes admitted lately
 * @example
 * const level = createQuotaLevel(20_000, 20_000, 0.5, clock.now())
 * if (random.fraction() < level.admitProbability(rates, clock.now())) level.take(1_540)
 */
export function createQuotaLevel (rate: number, size: number, initialFill: number, now: Milliseconds, bound?: WindowBound, admitted = 1): QuotaLevel {
  const window = bound?.grants
  /** Level at `settledAt`, which is {@link REPORT_LAG} ago. The grants of all nodes until then are known. */
  let settled = size * initialFill
  let settledAt = now
  /** Level now, with assumed grants of other nodes since `settledAt`. */
  let remaining = settled
  /** Level of a bucket that only this node's grants are deducted from. */
  let ownLevel = settled
  let updatedAt = now
  const ownGrants: OwnGrant[] = []
  const assumed = createAssumedGrants(REPORT_LAG, admitted, now)
  let probability = admitted
  let limit: LevelLimit = 'rate'
  let { allowance, reserve } = bound ?? { allowance: Infinity, reserve: 0 }
  /** Rate and allowance before the latest change. */
  let previous = { rate, allowance, until: -Infinity }
  let unreported = 0
  let unreportedWithoutSurge = 0

  function refill (level: number, from: Milliseconds, until: Milliseconds, granted: number): number {
    const refillRate = from < previous.until ? previous.rate : rate
    const next = Math.min(size, level + (refillRate - granted) * (until - from) / SECOND)
    const floor = -refillRate * MAX_DEBT_TIME / SECOND
    return next < floor && granted > refillRate ? Math.max(next, Math.min(level, floor)) : next
  }

  /**
   * Failure guarded against: after a rate is lowered, an organisation that keeps to the new rate is refused for as long as what
   * it was granted under the old one is in the window.
   */
  function presentAllowance (): number {
    return updatedAt - previous.until < (bound?.length ?? 0) ? Math.max(allowance, previous.allowance) : allowance
  }

  /** Applies the own grants until `until` and a constant rate of other grants to a level. @returns it, and the next own grant */
  function applyGrants (level: number, from: Milliseconds, until: Milliseconds, granted: number, first: number): { level: number, next: number } {
    let next = first
    for (; next < ownGrants.length && ownGrants[next]!.at <= until; next += 1) {
      const { at, cost } = ownGrants[next]!
      level = refill(level, from, at, granted) - cost
      from = at
    }
    return { level: refill(level, from, until, granted), next }
  }

  function settle (granted: number, now: Milliseconds): void {
    const until = now - REPORT_LAG
    if (until <= settledAt) return
    const { level, next } = applyGrants(settled, settledAt, until, granted, 0)
    ownGrants.splice(0, next)
    window?.addRate(granted, settledAt, until)
    settled = level
    settledAt = until
  }

  /** Estimates the level from what is known until `settledAt` and what is assumed since. */
  function estimate (demand: OthersDemand, now: Milliseconds): void {
    let level = settled
    let next = 0
    unreported = 0
    unreportedWithoutSurge = 0
    for (let from = settledAt; from < now;) {
      const until = Math.min(now, (Math.floor(from / BUCKET) + 1) * BUCKET)
      const granted = assumed.ratesAt(demand, from)
      const applied = applyGrants(level, from, until, granted.assumed, next)
      level = applied.level
      next = applied.next
      unreported += granted.assumed * (until - from) / SECOND
      unreportedWithoutSurge += granted.withoutSurge * (until - from) / SECOND
      from = until
    }
    for (; next < ownGrants.length; next += 1) level -= ownGrants[next]!.cost
    remaining = level
  }

  function usableRate (spendingTime: Milliseconds): number {
    if (remaining > 0) return rate + remaining / spendingTime * SECOND
    return ownLevel <= 0 ? 0 : Math.max(0, rate + remaining / PAY_BACK_TIME * SECOND)
  }

  function usableWindowRate (spendingTime: Milliseconds): number {
    if (window === undefined) return Infinity
    const horizon = bound!.length - REPORT_LAG
    const cautious = Math.max(unreported, unreportedWithoutSurge * (1 + UNREPORTED_EXCESS))
    const { sustainable, spare } = window.headroom(presentAllowance(), rate * SUSTAINED_FRACTION, cautious, horizon, updatedAt)
    if (spare >= 0) return rate * SUSTAINED_FRACTION + spare / spendingTime * SECOND
    const least = rate * MIN_FRACTION
    if (sustainable >= least) return sustainable
    return Math.max(sustainable, Math.min(least, window.headroom(presentAllowance() + reserve, rate, unreported, horizon, updatedAt).sustainable))
  }

  function update (rates: ObservedRates, now: Milliseconds): void {
    ownLevel = Math.min(size, ownLevel + rate * Math.max(0, now - updatedAt) / SECOND)
    updatedAt = Math.max(updatedAt, now)
    settle(rates.grantedByOthers, updatedAt)
    assumed.advance(rates, updatedAt)
    estimate(rates, updatedAt)
    const offeredToOthers = Math.max(rates.offeredToOthers, rates.risen ?? 0)
    const spendingTime = Math.max(1, SPEND_DOWN_TIME * offeredToOthers / Math.max(1, rates.offered))
    const usable = usableRate(spendingTime)
    const windowRate = usableWindowRate(spendingTime)
    limit = windowRate < usable ? 'window' : 'rate'
    const least = Math.min(usable, windowRate)
    probability = least <= 0 ? 0 : rates.offered <= least ? 1 : least / rates.offered
    assumed.setProbability(probability)
  }

  return {
    advance: update,
    admitProbability: (rates, now) => {
      update(rates, now)
      return probability
    },
    take: (cost, fleetCost = cost) => {
      remaining -= fleetCost
      ownLevel -= cost
      ownGrants.push({ at: updatedAt, cost: fleetCost })
      window?.add(fleetCost, updatedAt)
    },
    refund: (cost, grantedAt = updatedAt) => {
      remaining = Math.min(size, remaining + cost)
      ownLevel = Math.min(size, ownLevel + cost)
      // A grant that has left the window is not part of its sum any more.
      if (updatedAt - grantedAt < (bound?.length ?? Infinity)) window?.remove(cost)
      for (let index = ownGrants.length - 1; index >= 0 && cost > 0; index -= 1) {
        const returned = Math.min(cost, ownGrants[index]!.cost)
        ownGrants[index]!.cost -= returned
        cost -= returned
      }
      settled = Math.min(size, settled + cost)
    },
    resize: (newRate, newSize, newBound) => {
      previous = { rate, allowance, until: updatedAt }
      const resized = (level: number): number => level > 0 && size > 0 ? level * newSize / size : Math.min(level, newSize)
      settled = resized(settled)
      remaining = resized(remaining)
      ownLevel = resized(ownLevel)
      rate = newRate
      size = newSize
      if (newBound !== undefined) ({ allowance, reserve } = newBound)
    },
    wait: ({ grantedByOthers }) => {
      const refill = Math.max(rate / 2, rate - grantedByOthers)
      return Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, (1 - remaining) / refill * SECOND))
    },
    lastProbability: () => probability,
    limit: () => limit,
    windowFraction: () => window === undefined ? 0 : (window.sum(updatedAt) + unreported) / presentAllowance()
  }
}
