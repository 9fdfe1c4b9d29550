/**
 * Selects the requests of a node that try a new version.
 *
 * Failure guarded against: a bad version gets more traffic than operators allow, because each node decides by its own
 * knowledge. Therefore each node sends the fraction given by the stage, of its own requests only, to the tried version,
 * independently of the other nodes. The sum keeps to the bound without communication: right after the order, while nodes
 * join and leave, and while no node holds the roll-out duty.
 */
import type { Random } from '../random.js'
import type { RolloutBounds } from './types.js'

/** A node's share of the requests that try the version. */
export interface ExposureShare {
  /** Whether the next request tries the new version, if this fraction of the requests does. */
  take (fraction: number): boolean
}

/**
 * Fraction of the bound that a canary uses. The rest is for the probe, and for requests that only one of the compared sums
 * includes.
 */
const CANARY_FRACTION = 0.8

/**
 * Fraction of the extra requests that are sent first, to get early evidence. Restarted nodes send theirs again. If all
 * nodes restart once during an order, a fifth of the extra requests is still left.
 */
const UPFRONT_EXTRA_FRACTION = 0.4

/** Largest fraction of the requests in a probe. A few upstreams then get as many requests each as after the cutover. */
const MAX_PROBE_FRACTION = 0.35

/**
 * Fraction of the headroom under the bound that a probe may use, because the headroom is computed from sums that are
 * seconds old.
 */
const PROBE_HEADROOM_FRACTION = 0.5

/**
 * Smallest useful fraction of the requests in a probe. A probe not larger than the canary by some margin gives no new
 * evidence.
 */
const MIN_PROBE_FRACTION = 0.15

/**
 * Creates a node's share.
 *
 * @param bounds for all nodes together
 * @param nodes number of nodes among which the extra requests are divided
 * @param random gives the starting phase
 * @example
 * const share = createExposureShare(bounds, 82, random)
 * share.take(canaryFraction(bounds))
 */
export function createExposureShare (bounds: RolloutBounds, nodes: number, random: Random): ExposureShare {
  // Without a random phase all nodes would send, or hold back, their first requests at the same time.
  let credit = random.fraction() + bounds.exposedExtra * UPFRONT_EXTRA_FRACTION / Math.max(1, nodes)
  return {
    take: (fraction) => {
      credit += fraction
      if (credit < 1) return false
      credit -= 1
      return true
    }
  }
}

/**
 * Computes the fraction of the requests that a canary sends to the tried version.
 *
 * @example
 * canaryFraction({ exposedPart: 0.1, exposedExtra: 50 }) // 0.08
 */
export function canaryFraction ({ exposedPart }: RolloutBounds): number {
  return exposedPart * CANARY_FRACTION
}

/** Sums over all nodes from which a probe is computed. */
export interface ProbeInput {
  /** Number of attempts since the order. */
  readonly sent: number
  /** Number of attempts at the tried version. */
  readonly exposed: number
  /** Requests per second. */
  readonly rate: number
  /** Duration of the probe. */
  readonly durationSeconds: number
}

/**
 * Computes the fraction of the requests that a probe may send to the tried version.
 *
 * @returns undefined where the headroom is too small for a useful probe
 * @example
 * probeFraction({ exposedPart: 0.1, exposedExtra: 50 }, { sent: 2_000, exposed: 120, rate: 200, durationSeconds: 1.5 }) // 0.22
 */
export function probeFraction (bounds: RolloutBounds, { sent, exposed, rate, durationSeconds }: ProbeInput): number | undefined {
  const headroom = (bounds.exposedPart * sent + bounds.exposedExtra - exposed) * PROBE_HEADROOM_FRACTION
  const fraction = Math.min(MAX_PROBE_FRACTION, headroom / Math.max(1, rate * durationSeconds))
  return fraction < MIN_PROBE_FRACTION ? undefined : fraction
}
