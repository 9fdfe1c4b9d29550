/** Recent use of each organisation at one node, as a decaying rate. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Units a second by organisation. */
export interface DemandRates {
  add (organisation: string, units: number, now: Milliseconds): void
  rates (now: Milliseconds): Record<string, number>
}

/** Half of a unit's weight is gone after this time: long enough to smooth requests of 10,000 tokens at one a second. */
const HALF_LIFE: Milliseconds = 2 * SECOND

const DECAY = Math.LN2 / HALF_LIFE

/**
 * @example
 * const demand = createDemandRates()
 * demand.add('hillside', 1_200, clock.now())
 */
export function createDemandRates (): DemandRates {
  const known = new Map<string, { rate: number, at: Milliseconds }>()
  return {
    add: (organisation, units, now) => {
      const last = known.get(organisation)
      const rate = (last === undefined ? 0 : last.rate * Math.exp(-DECAY * (now - last.at))) + units * DECAY * SECOND
      known.set(organisation, { rate, at: now })
    },
    rates: (now) => {
      const rates: Record<string, number> = {}
      for (const [organisation, { rate, at }] of known) {
        const present = Math.round(rate * Math.exp(-DECAY * (now - at)))
        if (present > 0) rates[organisation] = present
      }
      return rates
    }
  }
}
