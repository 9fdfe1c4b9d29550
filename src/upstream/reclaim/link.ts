/** How fast engines export caches, learnt from the exports this node has ordered. */
import type { Milliseconds } from '../../clock.js'
import type { ExportLink } from './types.js'

/** The learnt link. */
export interface LinkEstimate {
  /** One export that had the link to itself. */
  observe (tokens: number, duration: Milliseconds): void
  link (): ExportLink
  /** Learnt rate; undefined before the first export. */
  rate (): number | undefined
}

/** Before anything was seen: 128 KB a token on ten gigabits a second. */
const PRIOR_RATE = 10

/** Time of an export's calls. */
const SETUP: Milliseconds = 30

/** Weight of a new observation. */
const STEP = 0.3

/** Smaller exports show the setup rather than the rate. */
const FEWEST_TOKENS = 256

/**
 * @example
 * const estimate = createLinkEstimate()
 * estimate.observe(8_200, 850)
 * estimate.link().rate // tokens per millisecond
 */
export function createLinkEstimate (): LinkEstimate {
  let rate: number | undefined

  return {
    observe: (tokens, duration) => {
      if (tokens < FEWEST_TOKENS) return
      const seen = tokens / Math.max(1, duration - SETUP)
      rate = rate === undefined ? seen : rate + STEP * (seen - rate)
    },
    link: () => ({ rate: rate ?? PRIOR_RATE, setup: SETUP, busyFor: 0 }),
    rate: () => rate
  }
}
