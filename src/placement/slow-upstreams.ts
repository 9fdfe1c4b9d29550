/** Tells when an upstream becomes slow and when it has recovered, so that each change is logged once. */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation, UpstreamRecord } from './types.js'

/** What a request would see at an upstream now. */
export interface UpstreamState {
  readonly upstream: UpstreamRecord
  /** Expected time until the upstream begins a request. */
  readonly waiting: Milliseconds
  /** Factor by which it is lastingly slower than the median of its service. */
  readonly slowness: number
}

/** A change of state of one upstream. */
export interface SlownessChange extends UpstreamState {
  readonly isSlow: boolean
}

/** Knows which upstreams are slow. */
export interface SlowUpstreams {
  /**
   * Takes the states of all upstreams. Upstreams that are missing are forgotten.
   *
   * @param target smallest target of the routes to a service; undefined where there is none
   * @returns the upstreams that have become slow or have recovered
   */
  observe (states: readonly UpstreamState[], target: (service: string) => Milliseconds | undefined): SlownessChange[]
}

/** Fraction of the target from which a wait makes an upstream slow: the other half is left for the request itself. */
const SLOW_WAIT_FRACTION = 0.5

/** Factor from which an upstream is slow whatever waits there. */
const SLOW_RATIO = 2

/** Fraction of both limits below which an upstream has recovered, so that a value near a limit does not cause a series of lines. */
const RECOVERY_FRACTION = 0.5

/**
 * Creates the state in which no upstream is slow.
 *
 * @example
 * for (const change of slowUpstreams.observe(upstreams.states(hasEngines, clock.now()), smallestTarget)) logChange(change)
 */
export function createSlowUpstreams (): SlowUpstreams {
  let slow = new Set<UpstreamIncarnation>()

  return {
    observe: (states, target) => {
      const changes: SlownessChange[] = []
      const slowNow = new Set<UpstreamIncarnation>()
      for (const state of states) {
        const { upstream, waiting, slowness } = state
        const wasSlow = slow.has(upstream.incarnation)
        const excess = Math.max(waiting / ((target(upstream.service) ?? Infinity) * SLOW_WAIT_FRACTION), (slowness - 1) / (SLOW_RATIO - 1))
        const isSlow = excess > (wasSlow ? RECOVERY_FRACTION : 1)
        if (isSlow) slowNow.add(upstream.incarnation)
        if (isSlow !== wasSlow) changes.push({ ...state, isSlow })
      }
      slow = slowNow
      return changes
    }
  }
}
