/** Sleep of clocks whose timers are their own. */
import { onAbort } from '../src/abort-listeners.js'
import type { Clock } from '../src/clock.js'

/**
 * Creates the `sleep` of a clock from its `schedule`.
 *
 * @example
 * const sleep = createSleep(schedule)
 * await sleep(50, signal)
 */
export function createSleep (schedule: Clock['schedule']): Clock['sleep'] {
  return (delay, signal) => new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason)
    const cancel = schedule(delay, () => {
      stopListening?.()
      resolve()
    })
    const stopListening = signal && onAbort(signal, () => {
      cancel()
      reject(signal.reason)
    })
  })
}
