/**
 * Sums of what became of requests. Lines of single requests are left out under load; these are not, so a day
 * can be drawn from them.
 */
import type { Milliseconds } from '../clock.js'
import type { DayOutcome, EventLog } from '../events/index.js'

/** Requests by what became of them. */
export interface RequestSums {
  add (sum: DayOutcome): void
  /** Writes the sums since the last time, if there are any. */
  tell (log: EventLog, now: Milliseconds): void
}

/**
 * @example
 * const sums = createRequestSums(clock.now())
 * sums.add('served')
 */
export function createRequestSums (start: Milliseconds): RequestSums {
  let counts = noRequests()
  let since = start
  return {
    add: (sum) => { counts[sum] += 1 },
    tell: (log, now) => {
      if (Object.values(counts).some((count) => count > 0)) log.info('requests-summed', { ...counts, span: Math.round(now - since) })
      counts = noRequests()
      since = now
    }
  }
}

function noRequests (): Record<DayOutcome, number> {
  return { served: 0, late: 0, refused: 0, lost: 0, left: 0 }
}
