/** Rate at which engines export their caches, estimated from the exports that this node has requested. */
import type { Milliseconds } from '../../clock.js'
import type { ExportLink } from './types.js'

/** Estimate of the link's rate. */
export interface LinkEstimate {
  /** Records an export that had the link to itself. */
  observe (tokens: number, duration: Milliseconds): void
  /** The link with the estimated rate, or with the initial rate before the first export. */
  link (): ExportLink
  /** Estimated rate in tokens per millisecond. Undefined before the first export. */
  rate (): number | undefined
}

/** Rate assumed before the first export, in tokens per millisecond: 128 KB per token at 10 Gbit/s. */
const INITIAL_RATE = 10

/** Time that the calls of an export take, whatever its size. */
const SETUP_TIME: Milliseconds = 30

/** Weight of a new observation. */
const SMOOTHING_FACTOR = 0.3

/** Exports with fewer tokens are ignored, because their duration depends more on the setup time than on the rate. */
const MIN_OBSERVED_TOKENS = 256

/**
 * Creates an estimate without observations.
 *
 * @example
 * const estimate = createLinkEstimate()
 * estimate.observe(8_200, 850)
 * estimate.link().rate // tokens per millisecond
 */
export function createLinkEstimate (): LinkEstimate {
  let rate: number | undefined

  return {
    observe: (tokens, duration) => {
      if (tokens < MIN_OBSERVED_TOKENS) return
      const observedRate = tokens / Math.max(1, duration - SETUP_TIME)
      rate = rate === undefined ? observedRate : rate + SMOOTHING_FACTOR * (observedRate - rate)
    },
    link: () => ({ rate: rate ?? INITIAL_RATE, setup: SETUP_TIME, busyFor: 0 }),
    rate: () => rate
  }
}
