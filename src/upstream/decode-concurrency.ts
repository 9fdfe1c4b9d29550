/**
 * Limits the answers that an upstream decodes concurrently, so that the time between tokens meets its target.
 *
 * Failure guarded against: an engine decodes as many answers in one batch as its memory allows, and each answer slows
 * down all others. A full engine may have no queue and still miss the time between tokens for every answer. Therefore
 * each answer that misses the target lowers the limit, and each answer that meets it raises the limit slightly. The
 * steps balance when the share of misses is the one that the quantile allows.
 */

/** Limit on the answers decoded concurrently at one upstream of a service. */
export interface ConcurrencyLimit {
  /**
   * Records whether an answer met the target of the time between tokens.
   *
   * @param inTarget whether the target was met
   * @param quantile share of answers that must meet the target
   * @param running mean number of running answers per upstream
   */
  answerObserved (inTarget: boolean, quantile: number, running: number): void
  /** Maximum number of answers per upstream. Infinite before the first miss. */
  limit (): number
}

/** Relative decrease of the limit after an answer that misses its target. */
const DECREASE_STEP = 0.02

/**
 * Share of the misses allowed by the quantile at which the controller aims. It is below 1 because the limit reacts
 * with a delay.
 */
const MISS_BUDGET_SHARE = 0.7

const MIN_LIMIT = 4

/** The limit is not raised above this multiple of the running answers, because a higher limit has no effect. */
const MAX_HEADROOM_FACTOR = 1.5

/**
 * Creates a limit that is infinite until an answer misses its target.
 *
 * @example
 * const concurrencyLimit = createConcurrencyLimit()
 * concurrencyLimit.answerObserved(false, 0.95, 40)
 * concurrencyLimit.limit() // slightly below 40
 */
export function createConcurrencyLimit (): ConcurrencyLimit {
  let limit = Number.POSITIVE_INFINITY

  return {
    answerObserved: (inTarget, quantile, running) => {
      const targetMissShare = MISS_BUDGET_SHARE * (1 - quantile)
      if (!inTarget) limit = Math.max(MIN_LIMIT, Math.min(limit, Math.max(running, MIN_LIMIT)) * (1 - DECREASE_STEP * (1 - targetMissShare)))
      else if (limit < running * MAX_HEADROOM_FACTOR) limit *= 1 + DECREASE_STEP * targetMissShare
    },
    limit: () => limit
  }
}
