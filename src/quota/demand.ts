/** Recent use by each organisation at one node, as an exponentially decaying rate. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Decaying rates in units per second, by organisation. */
export interface DemandRates {
  /** Counts units used at `now`. */
  add (organisation: string, units: number, now: Milliseconds): void
  /** Removes units that were counted at `usedAt` but not used. */
  remove (organisation: string, units: number, usedAt: Milliseconds, now: Milliseconds): void
  /** Rate of one organisation at `now`. */
  rate (organisation: string, now: Milliseconds): number
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

  function rate (organisation: string, now: Milliseconds): number {
    const known = ratesByOrganisation.get(organisation)
    return known === undefined ? 0 : known.rate * Math.exp(-decay * (now - known.at))
  }

  return {
    add: (organisation, units, now) => {
      ratesByOrganisation.set(organisation, { rate: rate(organisation, now) + units * decay * SECOND, at: now })
    },
    remove: (organisation, units, usedAt, now) => {
      const counted = units * decay * SECOND * Math.exp(-decay * (now - usedAt))
      ratesByOrganisation.set(organisation, { rate: Math.max(0, rate(organisation, now) - counted), at: now })
    },
    rate,
    rates: (now) => {
      const rates = [...ratesByOrganisation.keys()].map((organisation) => [organisation, Math.round(rate(organisation, now))] as const)
      return Object.fromEntries(rates.filter(([, present]) => present > 0))
    }
  }
}
