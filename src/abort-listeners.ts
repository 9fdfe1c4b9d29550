/**
 * Callbacks for the abort of a signal, of which any number share one listener.
 *
 * Failure guarded against: many concurrent calls and sleeps depend on one signal, such as the shutdown of a node. Each
 * adds its own listener, Node.js warns of a leak at the eleventh (`MaxListenersExceededWarning`), and adding and
 * removing an event listener costs several times the processor time of an entry in a set.
 */

const callbacksBySignal = new WeakMap<AbortSignal, Set<() => void>>()

/**
 * Calls back once when the signal aborts, or at once if it has aborted already. The callback must not throw.
 *
 * @returns function that removes the callback
 * @example
 * const remove = onAbort(signal, () => socket.destroy())
 */
export function onAbort (signal: AbortSignal, callback: () => void): () => void {
  if (signal.aborted) {
    callback()
    return () => {}
  }
  const callbacks = callbacksBySignal.get(signal) ?? listenTo(signal)
  callbacks.add(callback)
  return () => {
    // A signal made by `AbortSignal.any` is kept in memory for as long as it has a listener.
    if (callbacks.delete(callback) && callbacks.size === 0) stopListening(signal, callbacks)
  }
}

/** Set of callbacks with the listener that calls them. */
interface CallbackSet extends Set<() => void> {
  listener?: () => void
}

function listenTo (signal: AbortSignal): Set<() => void> {
  const callbacks: CallbackSet = new Set<() => void>()
  callbacks.listener = () => {
    callbacksBySignal.delete(signal)
    for (const callback of callbacks) callback()
  }
  callbacksBySignal.set(signal, callbacks)
  signal.addEventListener('abort', callbacks.listener, { once: true })
  return callbacks
}

function stopListening (signal: AbortSignal, callbacks: CallbackSet): void {
  if (callbacks.listener !== undefined) signal.removeEventListener('abort', callbacks.listener)
  if (callbacksBySignal.get(signal) === callbacks) callbacksBySignal.delete(signal)
}
