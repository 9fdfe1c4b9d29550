/**
 * Epochs of a key-value service. A new epoch begins when the service is restored from a backup: everything written since
 * the backup is lost, and the service assigns the same revisions again.
 */

/** The service was restored from a backup. */
export interface RestoreEvent {
  /** Epoch before the restore. */
  readonly before: number
  /** Epoch since the restore. */
  readonly epoch: number
}

/** Read access to the epochs that the service's answers carried. */
export interface Epochs {
  /** Latest known epoch. Undefined before the first answer. */
  current (): number | undefined
  /** Registers a listener. It is called once for each new epoch except the first one, before the answer that carried the epoch is used. */
  onRestore (listener: (restore: RestoreEvent) => void): void
  /** Signal that is aborted when the current epoch ends. */
  ended (): AbortSignal
}

/** Epochs that are updated from the service's answers. */
export interface EpochTracker extends Epochs {
  /** Records the epoch of an answer. A delayed answer may carry an earlier epoch, which is ignored. */
  observe (epoch: number): void
}

/** Epoch of a service whose answers carry none. */
export const DEFAULT_EPOCH = 0

/**
 * Creates a tracker that knows no epoch yet.
 *
 * @example
 * const epochs = createEpochTracker()
 * epochs.onRestore(({ epoch }) => log.warn('store-restored', { epoch }))
 * epochs.observe(2)
 */
export function createEpochTracker (): EpochTracker {
  const listeners: ((restore: RestoreEvent) => void)[] = []
  let current: number | undefined
  let epochController = new AbortController()

  return {
    current: () => current,
    onRestore: (listener) => { listeners.push(listener) },
    ended: () => epochController.signal,
    observe: (epoch) => {
      const before = current
      if (before !== undefined && epoch <= before) return
      current = epoch
      if (before === undefined) return
      const previousController = epochController
      epochController = new AbortController()
      previousController.abort()
      for (const listener of listeners) listener({ before, epoch })
    }
  }
}
