/**
 * Slots at each upstream that are reserved for urgent attempts. A slot is occupied for a whole answer, so an urgent
 * attempt would otherwise wait for the end of one of the long answers that fill the batch.
 *
 * The number of slots needed depends on the engine, the mix of requests and the other nodes. It is therefore set by
 * feedback: each urgent answer that misses its target adds a fraction of a slot, and each one within its target
 * subtracts a smaller fraction. The two balance at the quantile of the target.
 */
import type { ServiceFleet } from '../upstream/index.js'

/** Reserved slots of one service. */
export interface ReservedSlots {
  /** Records the dispatch of an attempt. */
  sent (urgent: boolean): void
  /** Records the end of a dispatched attempt. */
  ended (urgent: boolean): void
  /**
   * Records the outcome of an urgent attempt.
   *
   * @param inTarget false also for a refused attempt
   * @param quantile share of the attempts that must meet the target
   */
  answered (inTarget: boolean, quantile: number): void
  /** Number of slots per upstream that attempts without urgency leave free. */
  perUpstream (fleet: ServiceFleet): number
}

/** Slots added for an answer that misses its target, approximately. */
const STEP = 0.4

/** Share of the misses allowed by the quantile that the control aims at. It is below 1 because the control reacts late. */
const TARGET_SHARE = 0.2

/** Maximum share of an upstream's slots that is reserved. */
const MAX_RESERVED_SHARE = 0.5

/** Weight of one observation in the mean number of urgent attempts that run. */
const MEAN_STEP = 0.02

/** Mean number of running urgent attempts below which no slots are reserved. */
const MIN_MEAN_RUNNING = 0.02

/**
 * Creates the control, initially without reserved slots.
 *
 * @example
 * const reservedSlots = createReservedSlots()
 * fleet.choose(demand, reservedSlots.perUpstream(fleet), now)
 */
export function createReservedSlots (): ReservedSlots {
  let running = 0
  let meanRunning = 0
  let extra = 0

  return {
    sent: (urgent) => {
      meanRunning += MEAN_STEP * (running - meanRunning)
      if (urgent) running += 1
    },
    ended: (urgent) => { if (urgent) running -= 1 },
    answered: (inTarget, quantile) => {
      const allowed = TARGET_SHARE * (1 - quantile)
      extra = Math.max(0, extra + (inTarget ? -STEP * allowed : STEP * (1 - allowed)))
    },
    perUpstream: (fleet) => {
      if (meanRunning < MIN_MEAN_RUNNING) return 0
      const max = MAX_RESERVED_SHARE * fleet.slots()
      extra = Math.min(extra, max)
      return Math.min(max, 1 + extra)
    }
  }
}
