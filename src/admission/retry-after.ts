/** Retry delay that is returned to refused callers. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'

const MIN_RETRY_AFTER: Milliseconds = 500
const MAX_RETRY_AFTER: Milliseconds = 30 * SECOND

/** Maximum random extension of the delay, as a share of it. */
const JITTER = 0.5

/**
 * Time after which a refused caller should retry, with random jitter.
 *
 * Failure guarded against: callers that are refused together and get the same delay retry together and are refused
 * together again. The jitter spreads their retries.
 *
 * @param backlog time that the waiting work will take
 * @example
 * retryAfter(4 * SECOND, random) // 4 to 6 s
 */
export function retryAfter (backlog: Milliseconds, random: Random): Milliseconds {
  const earliest = Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, backlog))
  return Math.round(earliest * (1 + JITTER * random.fraction()))
}
