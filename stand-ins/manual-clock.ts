/** Clock that advances only on request, for tests and simulations. */
import type { Clock, Milliseconds } from '../src/clock.js'
import { createSleep } from './scheduled-sleep.js'

/** Clock that is advanced by its owner. */
export interface ManualClock extends Clock {
  /** Advances the time. Sleepers resolve in order of their due times, each at its own time. */
  advance (duration: Milliseconds): Promise<void>
}

interface Sleeper {
  readonly due: Milliseconds
  readonly wake: () => void
}

/**
 * Creates a clock.
 *
 * @param start first value of `now` and `wall`
 * @example
 * const clock = createManualClock()
 * await clock.advance(5_000)
 */
export function createManualClock (start: Milliseconds = 0): ManualClock {
  let time = start
  let sleepers: Sleeper[] = []

  function schedule (delay: Milliseconds, callback: () => void): () => void {
    const sleeper = { due: time + delay, wake: callback }
    sleepers.push(sleeper)
    return () => { sleepers = sleepers.filter((other) => other !== sleeper) }
  }

  function removeNextDue (until: Milliseconds): Sleeper | undefined {
    const due = sleepers.filter((sleeper) => sleeper.due <= until).sort((left, right) => left.due - right.due)[0]
    sleepers = sleepers.filter((sleeper) => sleeper !== due)
    return due
  }

  return {
    now: () => time,
    wall: () => time,
    sleep: createSleep(schedule),
    schedule,
    advance: async (duration) => {
      const until = time + duration
      for (let due = removeNextDue(until); due !== undefined; due = removeNextDue(until)) {
        time = Math.max(time, due.due)
        due.wake()
        await flushPromises()
      }
      time = until
      await flushPromises()
    }
  }
}

/**
 * Waits until the continuations of promises that are already resolved have run.
 *
 * @example
 * await flushPromises()
 */
export function flushPromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
