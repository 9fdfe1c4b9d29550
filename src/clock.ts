/**
 * Clocks, timers and units of time. All times are in milliseconds.
 *
 * Functions that make decisions receive the current time as a number and never read a clock, so that they are
 * deterministic. Only the long-running parts of a process hold a {@link Clock}. Tests pass a manually advanced one.
 */

import { onAbort } from './abort-listeners.js'

/** A duration or a point in time, in milliseconds. Points in time are monotonic unless named `wall`. */
export type Milliseconds = number

/** Source of the current time and of timers. */
export interface Clock {
  /** Monotonic time. Its origin is arbitrary and differs between processes. */
  now (): Milliseconds
  /** Wall time since the Unix epoch, for reports and logs only, as it may jump. */
  wall (): Milliseconds
  /** Resolves after `delay`. Rejects with the reason of the signal if the signal aborts first. */
  sleep (delay: Milliseconds, signal?: AbortSignal): Promise<void>
  /** Calls back after `delay` and after input that is pending then, unless the returned function has been called before. */
  schedule (delay: Milliseconds, callback: () => void): () => void
}

/** Milliseconds in a second. */
export const SECOND: Milliseconds = 1_000

/** Milliseconds in a minute. */
export const MINUTE: Milliseconds = 60 * SECOND

/** Milliseconds in an hour. */
export const HOUR: Milliseconds = 60 * MINUTE

/**
 * Longest delay of a timer of Node.js, 24 days.
 *
 * Failure guarded against: a time limit in the configuration or a time in a record is larger. Such a timer would fire after a millisecond,
 * and end at once what has almost any time.
 */
const MAX_DELAY: Milliseconds = 2 ** 31 - 1

/**
 * Creates the clock of the running process.
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
    sleep: systemSleep,
    schedule: startTimeout
  }
}

/**
 * Calls back after `delay` and after input that is pending then.
 *
 * Failure guarded against: a busy process runs its timers before it reads what has arrived meanwhile, so that an answer that came in
 * time counts as overdue. Input that is pending when the timer is due is handled first, and may cancel it.
 *
 * @param keepsProcess whether the process stays alive for it
 * @returns function that cancels it
 * @example
 * const cancel = startTimeout(2 * SECOND, () => socket.destroy())
 */
export function startTimeout (delay: Milliseconds, callback: () => void, keepsProcess = true): () => void {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(callback) }, Math.min(delay, MAX_DELAY))
  if (!keepsProcess) timer.unref()
  return () => {
    clearTimeout(timer)
    clearImmediate(immediate)
  }
}

/**
 * Resolves once the input that is pending now has been read, such as the end of a connection after its last request.
 *
 * Two turns of the event loop: a connection's data and its end are read in different ones.
 *
 * @example
 * await afterPendingInput()
 * if (signal.aborted) return
 */
export function afterPendingInput (): Promise<void> {
  return new Promise((resolve) => { setImmediate(() => setImmediate(resolve)) })
}

/**
 * Runs `task` repeatedly until the signal aborts. Each run ends before the next one starts, so a slow task never
 * overlaps itself. The first run starts immediately.
 *
 * @param period pause between the end of a run and the start of the next, in milliseconds
 * @param onError called with the error of a failed run. The loop continues.
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
    if (signal === undefined) {
      setTimeout(resolve, Math.min(delay, MAX_DELAY))
      return
    }
    if (signal.aborted) return reject(signal.reason)
    const timer = setTimeout(() => {
      stopListening()
      resolve()
    }, Math.min(delay, MAX_DELAY))
    const stopListening = onAbort(signal, () => {
      clearTimeout(timer)
      reject(signal.reason)
    })
  })
}
