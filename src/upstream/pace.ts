/**
 * How many answers an upstream may run at a time for the time between tokens to meet its target.
 *
 * Failure guarded against: an engine decodes as many answers together as its memory allows, and each
 * makes all of them slower. Filled to the brim it may have no queue at all and still miss the time
 * between tokens for everybody. So answers that miss it lower the number, answers that keep it raise
 * it slowly, such that the two balance at the quantile.
 */

/** Cap on the answers that run at one upstream of a service. */
export interface Pace {
  /** @param running mean number of answers at an upstream */
  observed (inTarget: boolean, quantile: number, running: number): void
  cap (): number
}

/** Relative step down for an answer that misses its time between tokens. */
const STEP = 0.02

/** The control aims at a part of what the quantile allows, since it reacts late. */
const ALLOWED_SHARE = 0.7

const SMALLEST_CAP = 4

/** A cap this far above what runs limits nothing and rises no further. */
const SLACK_FACTOR = 1.5

/**
 * @example
 * const pace = createPace()
 * pace.observed(false, 0.95, 40)
 * pace.cap() // a little below 40
 */
export function createPace (): Pace {
  let cap = Number.POSITIVE_INFINITY

  return {
    observed: (inTarget, quantile, running) => {
      const allowed = ALLOWED_SHARE * (1 - quantile)
      if (!inTarget) cap = Math.max(SMALLEST_CAP, Math.min(cap, Math.max(running, SMALLEST_CAP)) * (1 - STEP * (1 - allowed)))
      else if (cap < running * SLACK_FACTOR) cap *= 1 + STEP * allowed
    },
    cap: () => cap
  }
}
