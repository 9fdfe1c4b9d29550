/** Retry delay of the requests that the dispatch queue refuses. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { retryAfter, RETRY_JITTER } from '../queueing/index.js'
import type { Random } from '../random.js'

const MIN_RETRY_AFTER: Milliseconds = 100

/** A longer delay would outlast most bursts, which take some seconds. */
const MAX_RETRY_AFTER: Milliseconds = 5 * SECOND

/** Part of its remaining time up to which a caller follows a retry delay. */
const FOLLOWED_FRACTION = 1 / 3

/**
 * Time until the requests before a refused one have been served, with random jitter, within what its caller follows.
 *
 * @param backlog time that the requests before it need
 * @param remaining time for which the caller will wait; Infinity if it is unknown
 * @example
 * retryDelay(400, 3_000, random) // 400 to 600
 */
export function retryDelay (backlog: Milliseconds, remaining: Milliseconds, random: Random): Milliseconds {
  const longest = Math.floor(Math.min(MAX_RETRY_AFTER, Math.max(0, remaining) * FOLLOWED_FRACTION))
  return retryAfter(backlog, random, { min: MIN_RETRY_AFTER, max: longest / (1 + RETRY_JITTER) })
}
