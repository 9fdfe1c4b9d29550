/** A clock that moves only when told to, for tests and experiments. */
import type { Clock, Milliseconds } from '../src/clock.js'

/** Clock under the test's control. */
export interface ManualClock extends Clock {
  /** Lets time pass; sleepers wake in order of their due time, each before time moves on. */
  advance (duration: Milliseconds): Promise<void>
}

interface Sleeper {
  readonly due: Milliseconds
  readonly wake: () => void
}

/**
 * @param start first value of `now` and `wall`
 * @example
 * const clock = createManualClock()
 * await clock.advance(5_000)
 */
export function createManualClock (start: Milliseconds = 0): ManualClock {
  let time = start
  let sleepers: Sleeper[] = []

  function sleep (delay: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason)
      const sleeper = { due: time + delay, wake: resolve }
      sleepers.push(sleeper)
      signal?.addEventListener('abort', () => {
        sleepers = sleepers.filter((other) => other !== sleeper)
        reject(signal.reason)
      }, { once: true })
    })
  }

  function takeDue (until: Milliseconds): Sleeper | undefined {
    const due = sleepers.filter((sleeper) => sleeper.due <= until).sort((left, right) => left.due - right.due)[0]
    sleepers = sleepers.filter((sleeper) => sleeper !== due)
    return due
  }

  return {
    now: () => time,
    wall: () => time,
    sleep,
    advance: async (duration) => {
      const until = time + duration
      for (let due = takeDue(until); due !== undefined; due = takeDue(until)) {
        time = Math.max(time, due.due)
        due.wake()
        await settle()
      }
      time = until
      await settle()
    }
  }
}

/**
 * Lets promises that are ready run.
 *
 * @example
 * await settle()
 */
export function settle (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
