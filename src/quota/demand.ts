/** Recent use of each organisation at one node, as a decaying rate. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Units a second by organisation. */
export interface DemandRates {
  add (organisation: string, units: number, now: Milliseconds): void
  rates (now: Milliseconds): Record<string, number>
}

/**
 * @param halfLife half of a unit's weight is gone after this time
 * @example
 * const demand = createDemandRates(2 * SECOND)
 * demand.add('hillside', 1_200, clock.now())
 */
export function createDemandRates (halfLife: Milliseconds): DemandRates {
  const decay = Math.LN2 / halfLife
  const known = new Map<string, { rate: number, at: Milliseconds }>()
  return {
    add: (organisation, units, now) => {
      const last = known.get(organisation)
      const rate = (last === undefined ? 0 : last.rate * Math.exp(-decay * (now - last.at))) + units * decay * SECOND
      known.set(organisation, { rate, at: now })
    },
    rates: (now) => {
      const rates: Record<string, number> = {}
      for (const [organisation, { rate, at }] of known) {
        const present = Math.round(rate * Math.exp(-decay * (now - at)))
        if (present > 0) rates[organisation] = present
      }
      return rates
    }
  }
}
