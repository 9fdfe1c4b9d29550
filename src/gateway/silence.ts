/** Watches one exchange for silence. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Route } from '../routing/index.js'

/** A watch over one exchange. */
export interface SilenceWatch {
  /** Something came; the next piece is due within `bound`. */
  heard (bound: Milliseconds): void
  stop (): void
}

/** Part of the target after which an answer that isn't a stream is late enough to ask another upstream: 95 in 100 have come by then. */
const PLAIN_PART = 0.6

/** Part of the target that a stream's first event may take in any case. */
const FIRST_EVENT_PART = 0.3

/**
 * Part of the target, less the time that a second send needs, for which the first one is waited for. The rest is for
 * prompts that wait at the second upstream. Sent again after three tenths of the target, streams whose prompts only
 * waited behind others were begun twice when engines were few, and made the others wait: mean worth of four days 0.511
 * with three tenths, 0.523 with this (processor time not counted).
 */
const WAITED_PART = 0.7

/** An upstream may take this many times as long as its known reading before it counts as silent. */
const READING_FACTOR = 2.5

/**
 * Part of the longest pause of a route after which a stream counts as silent. What is left is for another upstream to
 * go on within that pause; shorter, and streams would be moved that only wait for the prompts of others, which are
 * read in between.
 */
const PAUSE_PART = 0.75

/** It may take this many times as long as the time that each first event takes whatever its prompt. */
const BASE_FACTOR = 2.5

/**
 * Time that an upstream has for the beginning of its answer, before another one is asked as well.
 *
 * Failure guarded against: an upstream has run a request and its answer is lost, or it hangs; the caller
 * would wait until its deadline. What may run again is sent to another upstream while the answer can
 * still be on time.
 *
 * @param reading that the upstream has before it and for this request
 * @param base time that a first event takes there whatever the prompt
 * @example
 * firstAnswerBound(route, 40, 30) // 511 for a stream with a target of 800
 */
export function firstAnswerBound (route: Route, reading: Milliseconds, base: Milliseconds): Milliseconds {
  if (route.kind !== 'stream') return route.target * PLAIN_PART
  const usual = Math.max(route.target * FIRST_EVENT_PART, base * BASE_FACTOR) + reading * READING_FACTOR
  return Math.max(usual, (route.target - base - reading) * WAITED_PART)
}

/**
 * Time that an upstream has for each further event.
 *
 * @example
 * eventBound(route) // 375 where pauses of 500 are on time
 */
export function eventBound (route: Route): Milliseconds {
  return route.longestPause * PAUSE_PART
}

/**
 * Calls `silent` once, when nothing was heard for the bound.
 *
 * @example
 * const watch = watchSilence(clock, firstAnswerBound(route, reading, base), () => attempt.abort('silent'))
 */
export function watchSilence (clock: Clock, first: Milliseconds, silent: () => void): SilenceWatch {
  const owner = new AbortController()
  let due = clock.now() + first

  async function run (): Promise<void> {
    while (clock.now() < due) await clock.sleep(due - clock.now(), owner.signal)
    silent()
  }

  run().catch(() => {})
  return {
    heard: (bound) => { due = clock.now() + bound },
    stop: () => owner.abort()
  }
}
