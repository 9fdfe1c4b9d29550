/** Faults of a stand-in's network face, switched while it runs. */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { Random } from '../src/random.js'

/** What goes wrong. Shares are probabilities in [0, 1]. */
export interface Faults {
  /** Added to each answer. */
  latency: Milliseconds
  /** Every call fails before it takes effect. */
  down: boolean
  /** Share of calls that take effect but whose reply is lost. */
  lostReplies: number
  /** Calls a second beyond which the service answers 429; none when undefined. */
  rate: number | undefined
  /** Connections stay open and nothing is ever answered. */
  silent: boolean
}

/** Faults and what was seen of them. */
export interface FaultSwitch {
  readonly faults: Faults
  /** Calls since the start. */
  calls (): number
  /** Decides the fate of one call and counts it. */
  next (): Fate
}

/** Fate of one call. */
export type Fate = 'answer' | 'refuse' | 'lose-reply' | 'over-rate' | 'silence'

/**
 * @example
 * const faultSwitch = createFaultSwitch(clock, createRandom(1))
 * faultSwitch.faults.down = true
 */
export function createFaultSwitch (clock: Clock, random: Random): FaultSwitch {
  const faults: Faults = { latency: 0, down: false, lostReplies: 0, rate: undefined, silent: false }
  let calls = 0
  let windowStart = clock.now()
  let windowCalls = 0

  function overRate (): boolean {
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
      const over = overRate()
      if (faults.silent) return 'silence'
      if (faults.down) return 'refuse'
      if (over) return 'over-rate'
      if (faults.lostReplies > 0 && random.fraction() < faults.lostReplies) return 'lose-reply'
      return 'answer'
    }
  }
}
