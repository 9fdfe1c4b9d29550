/**
 * Epochs of a key-value service. A service that comes back from a backup begins a new one: what was written since
 * the backup is gone, and its revisions are given out again.
 */
import { setMaxListeners } from 'node:events'

/** The service has come back from a backup. */
export interface Restore {
  readonly before: number
  readonly epoch: number
}

/** Epochs as the answers of the service name them. */
export interface Epochs {
  /** The latest that an answer named; undefined before the first answer. */
  current (): number | undefined
  /** Calls back once for each epoch after the first that was seen, before the answer that named it is used. */
  onRestore (listener: (restore: Restore) => void): void
  /** Aborts as the present epoch ends. */
  ended (): AbortSignal
}

/** Epochs with their source. */
export interface EpochTracker extends Epochs {
  /** An answer names its epoch; one that was long on its way may name an earlier one. */
  observe (epoch: number): void
}

/** Epoch of a service that names none. */
export const ONLY_EPOCH = 0

/**
 * @example
 * const epochs = createEpochTracker()
 * epochs.onRestore(({ epoch }) => log.warn('store-restored', { epoch }))
 * epochs.observe(2)
 */
export function createEpochTracker (): EpochTracker {
  const listeners: ((restore: Restore) => void)[] = []
  let current: number | undefined
  let ending = createEnding()

  return {
    current: () => current,
    onRestore: (listener) => { listeners.push(listener) },
    ended: () => ending.signal,
    observe: (epoch) => {
      const before = current
      if (before !== undefined && epoch <= before) return
      current = epoch
      if (before === undefined) return
      const ended = ending
      ending = createEnding()
      ended.abort()
      for (const listener of listeners) listener({ before, epoch })
    }
  }
}

/** Each watch listens to it; the default of ten listeners would be taken for a leak. */
function createEnding (): AbortController {
  const ending = new AbortController()
  setMaxListeners(0, ending.signal)
  return ending
}
