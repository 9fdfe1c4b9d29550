/** Offered work of one node by service, as exponentially decaying rates, and the time for which attempts hold a slot. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { NO_MEASUREMENTS } from './types.js'
import type { Measurements, OfferedWork } from './types.js'

/** Measures the rates of offered work. */
export interface WorkMeter {
  /**
   * Adds one request.
   *
   * @param prefillTime time that the prefill of its prompt takes
   * @param generatedTokens maximum number of tokens to be generated
   */
  add (service: string, prefillTime: Milliseconds, generatedTokens: number, now: Milliseconds): void
  /**
   * Adds an attempt that ended with a whole answer.
   *
   * @param generatedTokens maximum number of tokens that the request allowed to be generated
   * @param held time for which the attempt held a slot of the upstream
   */
  attemptEnded (service: string, generatedTokens: number, held: Milliseconds): void
  /** Work per second by service. Services with a negligible rate are omitted. */
  rates (now: Milliseconds): Record<string, OfferedWork>
}

interface Meter {
  /** Time of the first request. */
  readonly since: Milliseconds
  requests: number
  reading: Milliseconds
  generatedTokens: number
  at: Milliseconds
}

/** Time constant of the decay: short enough to detect a burst within a boot, long enough to smooth out single prompts. */
const TIME_CONSTANT: Milliseconds = 3 * SECOND

/**
 * Number of attempts after which the weight of an attempt has fallen to about a third. The sums decay by attempts and not
 * by time, so that a pause of the callers does not bring the assumption back.
 */
const ATTEMPT_MEMORY = 100

/** Increase of a rate, in units per second, by one unit of work. */
const RATE_WEIGHT = SECOND / TIME_CONSTANT

/** Requests per second below which a service counts as unused. */
const NEGLIGIBLE_RATE = 0.01

/**
 * Creates a meter without work.
 *
 * @example
 * const meter = createWorkMeter()
 * meter.add('plans', 120, 380, clock.now())
 */
export function createWorkMeter (): WorkMeter {
  const meters = new Map<string, Meter>()
  const measured = new Map<string, Omit<Measurements, 'span'>>()

  function decayed (meter: Meter, now: Milliseconds): Meter {
    const factor = Math.exp(-(now - meter.at) / TIME_CONSTANT)
    return { since: meter.since, requests: meter.requests * factor, reading: meter.reading * factor, generatedTokens: meter.generatedTokens * factor, at: now }
  }

  return {
    add: (service, prefillTime, generatedTokens, now) => {
      const meter = decayed(meters.get(service) ?? { since: now, requests: 0, reading: 0, generatedTokens: 0, at: now }, now)
      meters.set(service, {
        since: meter.since,
        requests: meter.requests + RATE_WEIGHT,
        reading: meter.reading + prefillTime * RATE_WEIGHT,
        generatedTokens: meter.generatedTokens + generatedTokens * RATE_WEIGHT,
        at: now
      })
    },
    attemptEnded: (service, generatedTokens, held) => {
      const sums = measured.get(service) ?? NO_MEASUREMENTS
      const kept = 1 - 1 / ATTEMPT_MEMORY
      measured.set(service, { attempts: sums.attempts * kept + 1, tokens: sums.tokens * kept + generatedTokens, held: sums.held * kept + held })
    },
    rates: (now) => {
      const rates = new Map<string, OfferedWork>()
      for (const [service, meter] of meters) {
        const { requests, reading: prefillTime, generatedTokens } = decayed(meter, now)
        if (requests < NEGLIGIBLE_RATE) continue
        const { attempts, tokens, held } = measured.get(service) ?? NO_MEASUREMENTS
        rates.set(service, {
          requests: round(requests),
          reading: round(prefillTime),
          generatedTokens: round(generatedTokens),
          measured: { span: Math.round(now - meter.since), attempts: round(attempts), tokens: Math.round(tokens), held: Math.round(held) }
        })
      }
      return Object.fromEntries(rates)
    }
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
