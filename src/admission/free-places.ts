/**
 * Places at each upstream that attempts with time to wait leave free for urgent ones. An engine's
 * place is taken for a whole answer, so a short question would otherwise wait for the end of one of
 * the long answers that fill the batch.
 */
import type { ServiceFleet } from '../upstream/index.js'

/** Free places of one service. */
export interface FreePlaces {
  sent (urgent: boolean): void
  ended (urgent: boolean): void
  /** Called at a steady pace. */
  observe (): void
  /** Places per upstream that others leave free. */
  kept (fleet: ServiceFleet): number
}

/** Weight of one observation in the mean number of urgent attempts that run. */
const STEP = 0.02

/** Below this mean no place is kept. */
const LEAST_MEAN = 0.02

const MOST_KEPT = 4

/**
 * @example
 * const places = createFreePlaces()
 * fleet.choose(demand, places.kept(fleet), now)
 */
export function createFreePlaces (): FreePlaces {
  let urgentRunning = 0
  let mean = 0

  return {
    sent: (urgent) => { if (urgent) urgentRunning += 1 },
    ended: (urgent) => { if (urgent) urgentRunning -= 1 },
    observe: () => { mean += STEP * (urgentRunning - mean) },
    kept: (fleet) => {
      if (mean < LEAST_MEAN || fleet.size() === 0) return 0
      const perUpstream = mean / fleet.share() / fleet.size()
      return Math.min(MOST_KEPT, 1 + Math.sqrt(perUpstream))
    }
  }
}
