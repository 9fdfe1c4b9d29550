/** Rate over the recent past with exponential decay, in constant memory. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Measures the rate of amounts that are added over time. */
export interface DecayedRate {
  add (amount: number, now: Milliseconds): void
  /** Amount per millisecond. */
  perMillisecond (now: Milliseconds): number
}

/** Time constant of the decay. */
const TIME_CONSTANT: Milliseconds = 5 * SECOND

/**
 * Creates a rate of 0.
 *
 * @example
 * const demand = createDecayedRate()
 * demand.add(work, now)
 * demand.perMillisecond(now)
 */
export function createDecayedRate (): DecayedRate {
  let sum = 0
  let at: Milliseconds = 0

  function decay (now: Milliseconds): void {
    sum *= Math.exp((at - now) / TIME_CONSTANT)
    at = now
  }

  return {
    add: (amount, now) => {
      decay(now)
      sum += amount
    },
    perMillisecond: (now) => {
      decay(now)
      return sum / TIME_CONSTANT
    }
  }
}
