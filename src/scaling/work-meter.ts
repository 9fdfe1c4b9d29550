/** Offered work by service at one node, as decaying rates. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OfferedWork } from './types.js'

/** Rates of work. */
export interface WorkMeter {
  add (service: string, reading: Milliseconds, generatedTokens: number, now: Milliseconds): void
  /** Work a second by service. */
  rates (now: Milliseconds): Record<string, OfferedWork>
}

interface Meter {
  requests: number
  reading: Milliseconds
  generatedTokens: number
  at: Milliseconds
}

/** Mean age of the work in a rate: short enough to see a burst within a boot, long enough to smooth single prompts. */
const MEAN_AGE: Milliseconds = 3 * SECOND

const PER_SECOND = SECOND / MEAN_AGE

/** Rates below this are noise of a service that isn't asked any more. */
const NEGLIGIBLE = 0.01

/**
 * @example
 * const meter = createWorkMeter()
 * meter.add('plans', 120, 380, clock.now())
 */
export function createWorkMeter (): WorkMeter {
  const meters = new Map<string, Meter>()

  function aged (meter: Meter, now: Milliseconds): Meter {
    const factor = Math.exp(-(now - meter.at) / MEAN_AGE)
    return { requests: meter.requests * factor, reading: meter.reading * factor, generatedTokens: meter.generatedTokens * factor, at: now }
  }

  return {
    add: (service, reading, generatedTokens, now) => {
      const meter = aged(meters.get(service) ?? { requests: 0, reading: 0, generatedTokens: 0, at: now }, now)
      meters.set(service, {
        requests: meter.requests + PER_SECOND,
        reading: meter.reading + reading * PER_SECOND,
        generatedTokens: meter.generatedTokens + generatedTokens * PER_SECOND,
        at: now
      })
    },
    rates: (now) => {
      const rates: Record<string, OfferedWork> = {}
      for (const [service, meter] of meters) {
        const { requests, reading, generatedTokens } = aged(meter, now)
        if (requests >= NEGLIGIBLE) rates[service] = { requests: round(requests), reading: round(reading), generatedTokens: round(generatedTokens) }
      }
      return rates
    }
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
