/** Recent use by each organisation at one node, as an exponentially decaying rate. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Decaying rates in units per second, by organisation. */
export interface DemandRates {
  /** Counts units used at `now`. */
  add (organisation: string, units: number, now: Milliseconds): void
  /** Rates at `now`, rounded; organisations with a rate of 0 are left out. */
  rates (now: Milliseconds): Record<string, number>
}

/**
 * Creates rates without any use.
 *
 * @param halfLife time after which the weight of a unit has halved
 * @example
 * const demand = createDemandRates(2 * SECOND)
 * demand.add('hillside', 1_200, clock.now())
 */
export function createDemandRates (halfLife: Milliseconds): DemandRates {
  const decay = Math.LN2 / halfLife
  const ratesByOrganisation = new Map<string, { rate: number, at: Milliseconds }>()
  return {
    add: (organisation, units, now) => {
      const previous = ratesByOrganisation.get(organisation)
      const rate = (previous === undefined ? 0 : previous.rate * Math.exp(-decay * (now - previous.at))) + units * decay * SECOND
      ratesByOrganisation.set(organisation, { rate, at: now })
    },
    rates: (now) => {
      const rates: Record<string, number> = {}
      for (const [organisation, { rate, at }] of ratesByOrganisation) {
        const present = Math.round(rate * Math.exp(-decay * (now - at)))
        if (present > 0) rates[organisation] = present
      }
      return rates
    }
  }
}
