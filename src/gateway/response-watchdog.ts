/** Timeouts for upstreams that stop sending, and the watchdog that applies them to one exchange. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Route } from '../routing/index.js'

/** Watchdog of one exchange. */
export interface Watchdog {
  /** Restarts the watchdog: data has arrived, and the next data is due within `timeout`. */
  heard (timeout: Milliseconds): void
  stop (): void
}

/**
 * Fraction of the target after which another upstream is tried, if the answer is not a stream. Of all answers, 95 %
 * arrive earlier.
 */
const PLAIN_ANSWER_FRACTION = 0.6

/** Minimum timeout for the first event of a stream, as a fraction of the target. */
const MIN_FIRST_EVENT_FRACTION = 0.3

/**
 * Share of the target, after the duration of a second attempt has been deducted, that the first attempt may take. The
 * remainder covers prompts that wait at the second upstream. With few engines, a timeout of 0.3 of the target duplicates
 * streams that are only queued behind other prompts, and the duplicates delay the others. Over four simulated days this lowers
 * the mean score from 0.523 to 0.511 (processor costs not included).
 */
const RETRY_FRACTION = 0.7

/** Multiple of the predicted prefill time that an upstream may take before it counts as unresponsive. */
const PREFILL_FACTOR = 2.5

/**
 * Fraction of the route's maximum pause after which a stream counts as unresponsive. The remainder lets another
 * upstream continue the stream within that pause. A smaller fraction would move streams that only wait while their
 * engine prefills other prompts.
 */
const PAUSE_FRACTION = 0.75

/** Multiple of the base time, which each first event takes regardless of its prompt, that an upstream may take. */
const BASE_FACTOR = 2.5

/**
 * Returns the time within which an upstream must begin its answer before another one is tried as well.
 *
 * Failure guarded against: an upstream hangs, or has run a request and its answer is lost, and the caller waits until
 * its deadline. Requests that may be repeated are sent to another upstream while the answer can still arrive on time.
 *
 * @param prefill predicted prefill time of the queued prompts and of this request
 * @param base time to a first event regardless of the prompt
 * @example
 * firstAnswerTimeout(route, 40, 30) // 511 for a stream with a target of 800
 */
export function firstAnswerTimeout (route: Route, prefill: Milliseconds, base: Milliseconds): Milliseconds {
  if (route.kind !== 'stream') return route.target * PLAIN_ANSWER_FRACTION
  const usualTimeout = Math.max(route.target * MIN_FIRST_EVENT_FRACTION, base * BASE_FACTOR) + prefill * PREFILL_FACTOR
  return Math.max(usualTimeout, (route.target - base - prefill) * RETRY_FRACTION)
}

/**
 * Returns the time within which an upstream must send each further event.
 *
 * @example
 * eventTimeout(route) // 375 for a maximum pause of 500
 */
export function eventTimeout (route: Route): Milliseconds {
  return route.maxPause * PAUSE_FRACTION
}

/**
 * Calls `onTimeout` once when no data has arrived within the timeout.
 *
 * @param first timeout for the first data
 * @example
 * const watchdog = startWatchdog(clock, firstAnswerTimeout(route, prefill, base), () => controller.abort())
 */
export function startWatchdog (clock: Clock, first: Milliseconds, onTimeout: () => void): Watchdog {
  let due = clock.now() + first
  let fires = due
  let cancel = clock.schedule(first, check)

  function schedule (): void {
    fires = due
    cancel = clock.schedule(due - clock.now(), check)
  }

  function check (): void {
    if (due > clock.now()) schedule()
    else onTimeout()
  }

  return {
    // Data only moves `due`, so that an event of a stream starts no timer unless the present one fires too late.
    heard: (timeout) => {
      due = clock.now() + timeout
      if (due >= fires) return
      cancel()
      schedule()
    },
    stop: () => cancel()
  }
}
