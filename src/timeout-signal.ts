/** Abort signals with a timeout. */
import { onAbort } from './abort-listeners.js'
import { startTimeout } from './clock.js'
import type { Milliseconds } from './clock.js'

/** Time limit of one call. */
export interface CallTimeout {
  /** Aborts after the timeout, or together with its parent. */
  readonly signal: AbortSignal
  /** The call has ended. Removes the timer and the callback at the parent. */
  end (): void
}

/**
 * Creates a signal that aborts after `timeout`, or together with its parent signal.
 *
 * Failure guarded against: `AbortSignal.any` holds its source signals weakly. In Node.js 20, an
 * `AbortSignal.timeout` signal without other references is garbage-collected together with its timer. The combined
 * signal then never aborts, and a call to an unresponsive peer or the final report of a stopping node waits
 * indefinitely. Here the pending timer references the controller, so the controller cannot be collected before the
 * timeout.
 *
 * @param timeout milliseconds. The timer does not keep the process running.
 * @param parent signal whose abort and reason are passed on
 * @returns a signal that aborts with a `TimeoutError`, or with the reason of the parent
 * @example
 * await store.get(key, createTimeoutSignal(2 * SECOND, signal))
 */
export function createTimeoutSignal (timeout: Milliseconds, parent?: AbortSignal): AbortSignal {
  return startCallTimeout(timeout, parent).signal
}

/**
 * Starts the time limit of a call whose end is known. Otherwise as {@link createTimeoutSignal}.
 *
 * Failure guarded against: a long poll that is answered at once leaves its timer and its callback at the parent for the
 * seconds of its timeout. During a burst of changes hundreds of them accumulate.
 *
 * @example
 * const callTimeout = startCallTimeout(2 * SECOND, signal)
 * try {
 *   return await store.get(key, callTimeout.signal)
 * } finally {
 *   callTimeout.end()
 * }
 */
export function startCallTimeout (timeout: Milliseconds, parent?: AbortSignal): CallTimeout {
  const controller = new AbortController()
  if (parent?.aborted) {
    controller.abort(parent.reason)
    return { signal: controller.signal, end: () => {} }
  }
  const cancel = startTimeout(timeout, () => {
    stopListening?.()
    controller.abort(new DOMException(`no answer within ${timeout} ms`, 'TimeoutError'))
  }, false)
  const stopListening = parent && onAbort(parent, () => {
    cancel()
    controller.abort(parent.reason)
  })
  return {
    signal: controller.signal,
    end: () => {
      cancel()
      stopListening?.()
    }
  }
}
