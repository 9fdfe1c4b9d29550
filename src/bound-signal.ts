/** Signals that abort after a time. */
import type { Milliseconds } from './clock.js'

/**
 * A signal that aborts after `bound`, or with its parent.
 *
 * Failure guarded against: `AbortSignal.any` holds its sources weakly, and a signal of
 * `AbortSignal.timeout` that nothing else holds is collected together with its timer (Node.js 20). The
 * joint signal then never aborts: a call to a silent peer, or the last report of a stopping node, waits for
 * ever. Here the timer holds the controller.
 *
 * @param bound milliseconds; the timer doesn't keep the process running
 * @example
 * await store.get(key, boundSignal(2 * SECOND, signal))
 */
export function boundSignal (bound: Milliseconds, parent?: AbortSignal): AbortSignal {
  const controller = new AbortController()
  if (parent?.aborted) {
    controller.abort(parent.reason)
    return controller.signal
  }
  const timer = setTimeout(() => {
    parent?.removeEventListener('abort', abortWithParent)
    controller.abort(new DOMException(`no answer within ${bound} ms`, 'TimeoutError'))
  }, bound)
  timer.unref()
  parent?.addEventListener('abort', abortWithParent, { once: true })
  return controller.signal

  function abortWithParent (): void {
    clearTimeout(timer)
    controller.abort(parent?.reason)
  }
}
