/**
 * Rates at which other nodes are assumed to grant while no reports show it: what callers request of them, reduced by this
 * node's own probability of admission at that time, since all nodes decide alike.
 */
import type { Milliseconds } from '../clock.js'
import { BUCKET } from './grant-window.js'

/** What is known of the demand at other nodes, in units per second. */
export interface OthersDemand {
  /** Units that are requested at other nodes, as reported. */
  readonly offeredToOthers: number
  /**
   * Units that are requested at other nodes after a rise that `offeredToOthers` does not show yet, without retries; 0 if left
   * out.
   */
  readonly risen?: number
  /** Factor by which the demand at other nodes is assumed to exceed `offeredToOthers`; 1 if left out. */
  readonly surge?: number
}

/** Assumed grants in buckets of time, for as long as reports lag behind. */
export interface AssumedGrants {
  /** Begins the buckets until `now`. */
  advance (demand: OthersDemand, now: Milliseconds): void
  /** Sets the probability of the present bucket. */
  setProbability (probability: number): void
  /** Rates assumed in the bucket of `at`: with the surge that this node assumes, and without it. */
  ratesAt (demand: OthersDemand, at: Milliseconds): { readonly assumed: number, readonly withoutSurge: number }
}

/** Number of buckets after its begin in which a surge is detected. */
const SURGE_DETECTION_LAG = 2

/**
 * Demand after a rise, with the retries that reports do not show yet. Callers retry a refused request once.
 *
 * @param reported demand as reported
 * @param risen demand after the rise, without retries
 * @param admitted fraction of the requests that is admitted
 * @example
 * withRetries(300_000, 1_000_000, 0.4) // 1,600,000
 */
export function withRetries (reported: number, risen: number, admitted: number): number {
  return Math.max(reported, risen * (2 - admitted))
}

/**
 * Creates the assumed grants of one organisation.
 *
 * @param span time for which they are kept
 * @param admitted fraction of requests that other nodes admitted lately
 * @example
 * const assumed = createAssumedGrants(2 * SECOND, 1, clock.now())
 */
export function createAssumedGrants (span: Milliseconds, admitted: number, now: Milliseconds): AssumedGrants {
  const count = Math.ceil(span / BUCKET) + 2
  const probabilities = new Float64Array(count).fill(admitted)
  const surges = new Float64Array(count).fill(1)
  const demands = new Float64Array(count)
  let latest = Math.floor(now / BUCKET)

  function slot (bucket: number): number {
    return ((bucket % count) + count) % count
  }

  /** Demand in a bucket: as reported meanwhile, or as assumed shortly after it, whichever is higher. */
  function demandIn (bucket: number, reported: number): number {
    let surge = 1
    let assumed = 0
    for (let later = bucket; later <= Math.min(latest, bucket + SURGE_DETECTION_LAG); later += 1) {
      surge = Math.max(surge, surges[slot(later)]!)
      assumed = Math.max(assumed, demands[slot(later)]!)
    }
    return Math.max(reported, Math.min(reported * surge, assumed))
  }

  return {
    advance: ({ offeredToOthers, risen = 0, surge = 1 }, now) => {
      const bucket = Math.floor(now / BUCKET)
      const previous = slot(latest)
      for (let started = Math.max(latest + 1, bucket - count + 1); started <= bucket; started += 1) {
        probabilities[slot(started)] = probabilities[previous]!
        surges[slot(started)] = surges[previous]!
        demands[slot(started)] = demands[previous]!
      }
      latest = Math.max(latest, bucket)
      const present = slot(latest)
      surges[present] = surge
      demands[present] = withRetries(offeredToOthers, risen, probabilities[present]!) * surge
    },
    setProbability: (probability) => { probabilities[slot(latest)] = probability },
    ratesAt: ({ offeredToOthers, risen = 0 }, at) => {
      const bucket = Math.floor(at / BUCKET)
      const probability = probabilities[slot(bucket)]!
      const reported = withRetries(offeredToOthers, risen, probability)
      return { assumed: demandIn(bucket, reported) * probability, withoutSurge: reported * probability }
    }
  }
}
