/** Retry delay that is returned to refused callers. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'

/** Bounds of a retry delay before its random extension. */
export interface RetryBounds {
  readonly min: Milliseconds
  /** Takes precedence over `min`. */
  readonly max: Milliseconds
}

const DEFAULT_BOUNDS: RetryBounds = { min: 500, max: 30 * SECOND }

/** Maximum random extension of the delay, as a share of it. */
export const RETRY_JITTER = 0.5

/**
 * Time after which a refused caller should retry, with random jitter.
 *
 * Failure guarded against: callers that are refused together and get the same delay retry together and are refused
 * together again. The jitter spreads their retries.
 *
 * @param backlog time that the waiting work will take
 * @param bounds bounds of the delay before its random extension
 * @example
 * retryAfter(4 * SECOND, random) // 4 to 6 s
 */
export function retryAfter (backlog: Milliseconds, random: Random, { min, max }: RetryBounds = DEFAULT_BOUNDS): Milliseconds {
  const earliest = Math.min(max, Math.max(min, backlog))
  return Math.round(earliest * (1 + RETRY_JITTER * random.fraction()))
}
