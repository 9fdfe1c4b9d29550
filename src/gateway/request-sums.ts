/**
 * Numbers of requests by outcome. Log lines of single requests are dropped under load, but these sums are always
 * logged, so the course of a day can be reconstructed from them.
 */
import type { Milliseconds } from '../clock.js'
import type { DayOutcome, EventLog } from '../events/index.js'

/** Numbers of requests by outcome since the last flush. */
export interface RequestSums {
  add (outcome: DayOutcome): void
  /** Logs and resets the sums. Logs nothing if there were no requests. */
  flush (log: EventLog, now: Milliseconds): void
}

/**
 * Creates empty sums.
 *
 * @example
 * const sums = createRequestSums(clock.now())
 * sums.add('served')
 */
export function createRequestSums (start: Milliseconds): RequestSums {
  let counts = noRequests()
  let since = start
  return {
    add: (outcome) => { counts[outcome] += 1 },
    flush: (log, now) => {
      if (Object.values(counts).some((count) => count > 0)) log.info('requests-summed', { ...counts, span: Math.round(now - since) })
      counts = noRequests()
      since = now
    }
  }
}

function noRequests (): Record<DayOutcome, number> {
  return { served: 0, late: 0, refused: 0, lost: 0, left: 0 }
}
