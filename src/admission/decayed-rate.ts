/** A rate over the recent past, forgotten exponentially, in constant memory. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** A rate of something that is added in amounts. */
export interface DecayedRate {
  add (amount: number, now: Milliseconds): void
  perMillisecond (now: Milliseconds): number
}

const MEMORY: Milliseconds = 5 * SECOND

/**
 * @example
 * const demand = createDecayedRate()
 * demand.add(work, now)
 * demand.perMillisecond(now)
 */
export function createDecayedRate (): DecayedRate {
  let sum = 0
  let at: Milliseconds = 0

  function decay (now: Milliseconds): void {
    sum *= Math.exp((at - now) / MEMORY)
    at = now
  }

  return {
    add: (amount, now) => {
      decay(now)
      sum += amount
    },
    perMillisecond: (now) => {
      decay(now)
      return sum / MEMORY
    }
  }
}
