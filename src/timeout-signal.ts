/** Abort signals with a timeout. */
import type { Milliseconds } from './clock.js'

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
  const controller = new AbortController()
  if (parent?.aborted) {
    controller.abort(parent.reason)
    return controller.signal
  }
  const timer = setTimeout(() => {
    parent?.removeEventListener('abort', abortWithParent)
    controller.abort(new DOMException(`no answer within ${timeout} ms`, 'TimeoutError'))
  }, timeout)
  timer.unref()
  parent?.addEventListener('abort', abortWithParent, { once: true })
  return controller.signal

  function abortWithParent (): void {
    clearTimeout(timer)
    controller.abort(parent?.reason)
  }
}
