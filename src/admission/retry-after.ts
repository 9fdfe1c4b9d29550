/** When a refused caller is told to come again. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'

const SHORTEST: Milliseconds = 500
const LONGEST: Milliseconds = 30 * SECOND

/** Refused callers come back spread over this share of the time they were told. */
const SPREAD = 0.5

/**
 * Failure guarded against: callers refused together and told the same time come back together and
 * are refused together again. The spread breaks them up.
 *
 * @param backlog time that what waits will take
 * @example
 * retryAfter(4 * SECOND, random) // 4 to 6 s
 */
export function retryAfter (backlog: Milliseconds, random: Random): Milliseconds {
  const earliest = Math.min(LONGEST, Math.max(SHORTEST, backlog))
  return Math.round(earliest * (1 + SPREAD * random.fraction()))
}
