/**
 * Places at each upstream that attempts with time to wait leave free for urgent ones. An engine's
 * place is taken for a whole answer, so a short question would otherwise wait for the end of one of
 * the long answers that fill the batch.
 *
 * How many places that takes depends on the engine, the mix and the other nodes. So it is controlled
 * by the outcome: each urgent answer out of target adds a part of a place, each one within target
 * takes a little back, such that the two balance at the quantile.
 */
import type { ServiceFleet } from '../upstream/index.js'

/** Free places of one service. */
export interface FreePlaces {
  sent (urgent: boolean): void
  ended (urgent: boolean): void
  /** An urgent attempt was answered, or refused: then not in target. */
  answered (inTarget: boolean, quantile: number): void
  /** Places per upstream that others leave free. */
  kept (fleet: ServiceFleet): number
}

/** Places added for an answer out of target. */
const STEP = 0.4

/** The control aims at a part of what the quantile allows, since it reacts late. */
const ALLOWED_SHARE = 0.2

/** Largest part of an upstream's places that is kept. */
const MOST_KEPT_SHARE = 0.5

/** Weight of one observation in the mean number of urgent attempts that run. */
const MEAN_STEP = 0.02

const LEAST_MEAN = 0.02

/**
 * @example
 * const places = createFreePlaces()
 * fleet.choose(demand, places.kept(fleet), now)
 */
export function createFreePlaces (): FreePlaces {
  let running = 0
  let mean = 0
  let learnt = 0

  return {
    sent: (urgent) => {
      mean += MEAN_STEP * (running - mean)
      if (urgent) running += 1
    },
    ended: (urgent) => { if (urgent) running -= 1 },
    answered: (inTarget, quantile) => {
      const allowed = ALLOWED_SHARE * (1 - quantile)
      learnt = Math.max(0, learnt + (inTarget ? -STEP * allowed : STEP * (1 - allowed)))
    },
    kept: (fleet) => {
      if (mean < LEAST_MEAN) return 0
      const most = MOST_KEPT_SHARE * fleet.slots()
      learnt = Math.min(learnt, most)
      return Math.min(most, 1 + learnt)
    }
  }
}
