/** Network faults of a stand-in. They can be changed while it runs. */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { Random } from '../src/random.js'

/** Active network faults. */
export interface Faults {
  /** Delay added to each answer. */
  latency: Milliseconds
  /** Every call fails before it takes effect. */
  down: boolean
  /** Probability in [0, 1] that a call takes effect and its reply is lost. */
  lostReplies: number
  /** Maximum number of calls per second; the service answers further ones with 429. No limit when undefined. */
  rate: number | undefined
  /** Connections stay open, and no call is answered. */
  silent: boolean
}

/** Faults of a stand-in, with the number of its calls. */
export interface FaultSwitch {
  readonly faults: Faults
  /** Number of calls so far. */
  calls (): number
  /** Counts a call and decides how it is handled. */
  next (): CallDecision
}

/** How a call is handled. */
export type CallDecision = 'answer' | 'refuse' | 'lose-reply' | 'over-rate' | 'silence'

/**
 * Creates a switch with all faults off.
 *
 * @example
 * const faultSwitch = createFaultSwitch(clock, createRandom(1))
 * faultSwitch.faults.down = true
 */
export function createFaultSwitch (clock: Clock, random: Random): FaultSwitch {
  const faults: Faults = { latency: 0, down: false, lostReplies: 0, rate: undefined, silent: false }
  let calls = 0
  let windowStart = clock.now()
  let windowCalls = 0

  function countAndCheckRate (): boolean {
    if (clock.now() - windowStart >= 1_000) {
      windowStart = clock.now()
      windowCalls = 0
    }
    windowCalls += 1
    return faults.rate !== undefined && windowCalls > faults.rate
  }

  return {
    faults,
    calls: () => calls,
    next: () => {
      calls += 1
      const isOverRate = countAndCheckRate()
      if (faults.silent) return 'silence'
      if (faults.down) return 'refuse'
      if (isOverRate) return 'over-rate'
      if (faults.lostReplies > 0 && random.fraction() < faults.lostReplies) return 'lose-reply'
      return 'answer'
    }
  }
}
