/**
 * Time for the whole system: one monotonic clock in milliseconds.
 *
 * Decisions receive `now` as a number and never read a clock. Only the processes around them hold a
 * {@link Clock}; tests and experiments pass a manual one.
 */

/** A duration or a point in time, in milliseconds. Points are monotonic unless named `wall`. */
export type Milliseconds = number

/** Source of time and of timers. */
export interface Clock {
  /** Monotonic time; its origin is arbitrary and differs between processes. */
  now (): Milliseconds
  /** Wall time since the Unix epoch, for reports and logs only; it may jump. */
  wall (): Milliseconds
  /** Resolves after `delay`; rejects with the signal's reason when it aborts first. */
  sleep (delay: Milliseconds, signal?: AbortSignal): Promise<void>
}

/** Milliseconds in a second. */
export const SECOND: Milliseconds = 1_000

/** Milliseconds in a minute. */
export const MINUTE: Milliseconds = 60 * SECOND

/** Milliseconds in an hour. */
export const HOUR: Milliseconds = 60 * MINUTE

/**
 * Clock of the running process.
 *
 * @returns a clock backed by `performance.now` and `setTimeout`
 * @example
 * const clock = createSystemClock()
 * await clock.sleep(5 * SECOND, signal)
 */
export function createSystemClock (): Clock {
  return {
    now: () => performance.now(),
    wall: () => Date.now(),
    sleep: systemSleep
  }
}

/**
 * Runs `task` every `period` until the signal aborts. One run ends before the next begins, so a slow
 * task never overlaps itself.
 *
 * @param period pause between two runs, in milliseconds
 * @param onError receives what a run throws; the loop goes on
 * @example
 * every(clock, 2 * SECOND, signal, refreshInstances, (error) => log.warn(error))
 */
export async function every (clock: Clock, period: Milliseconds, signal: AbortSignal, task: () => Promise<void> | void, onError: (error: unknown) => void): Promise<void> {
  while (!signal.aborted) {
    try {
      await task()
    } catch (error) {
      if (!signal.aborted) onError(error)
    }
    await clock.sleep(period, signal).catch(() => {})
  }
}

function systemSleep (delay: Milliseconds, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason)
    const timer = setTimeout(finish, delay)
    signal?.addEventListener('abort', abort, { once: true })

    function finish (): void {
      signal?.removeEventListener('abort', abort)
      resolve()
    }

    function abort (): void {
      clearTimeout(timer)
      reject(signal?.reason)
    }
  })
}
