/** A key-value service that may come back from a backup, behind the interface that the system uses. */
import { createEpochTracker } from './epochs.js'
import type { KeyValue, KeyValueChange, KeyValueEntry, KeyValueListing, LeaseId, SwapResult, WriteOptions } from './key-value.js'
import type { Milliseconds } from '../clock.js'

/** An answer, with the epoch of the service that gave it. */
export interface Answered<T> {
  readonly epoch: number
  readonly value: T
}

/** Calls of such a service; revisions and leases are the service's own, which it gives out again in each epoch. */
export interface RestorableService {
  get (key: string, signal?: AbortSignal): Promise<Answered<KeyValueEntry | undefined>>
  list (prefix: string, signal?: AbortSignal, mayBeStale?: boolean): Promise<Answered<KeyValueListing>>
  put (key: string, value: string, options?: WriteOptions): Promise<Answered<void>>
  compareAndSwap (key: string, expectedRevision: number, value: string, options?: WriteOptions): Promise<Answered<SwapResult>>
  compareAndDelete (key: string, expectedRevision: number, signal?: AbortSignal): Promise<Answered<SwapResult>>
  grantLease (timeToLive: Milliseconds, signal?: AbortSignal): Promise<Answered<LeaseId>>
  keepAlive (lease: LeaseId, signal?: AbortSignal): Promise<Answered<Milliseconds>>
  revokeLease (lease: LeaseId, signal?: AbortSignal): Promise<Answered<void>>
  watch (prefix: string, fromRevision: number, signal: AbortSignal, silence?: Milliseconds): AsyncIterable<Answered<readonly KeyValueChange[]>>
}

/**
 * @example
 * const store = createRestorableKeyValue(service)
 * store.epochs.onRestore(({ epoch }) => log.warn('store-restored', { epoch }))
 */
export function createRestorableKeyValue (service: RestorableService): KeyValue {
  const epochs = createEpochTracker()

  function take<T> ({ epoch, value }: Answered<T>): T {
    epochs.observe(epoch)
    return value
  }

  return {
    epochs,
    get: async (...call) => take(await service.get(...call)),
    list: async (...call) => take(await service.list(...call)),
    put: async (...call) => take(await service.put(...call)),
    compareAndSwap: async (...call) => take(await service.compareAndSwap(...call)),
    compareAndDelete: async (...call) => take(await service.compareAndDelete(...call)),
    grantLease: async (...call) => take(await service.grantLease(...call)),
    keepAlive: async (...call) => take(await service.keepAlive(...call)),
    revokeLease: async (...call) => take(await service.revokeLease(...call)),
    watch: async function * (...call) {
      for await (const answer of service.watch(...call)) yield take(answer)
    }
  }
}
