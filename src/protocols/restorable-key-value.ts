/**
 * Implements {@link KeyValue} on top of a key-value service that may be restored from a backup.
 *
 * Failure guarded against: after a restore, the service assigns the same revisions and lease ids again. A condition on a
 * revision would then hold for another value, a renewal would extend the lease of another process, and a watch would skip
 * the changes before the revision that it waits for. Revisions and leases are therefore bound to the epoch in which they
 * were assigned, and are invalid in later epochs.
 */
import type { Milliseconds } from '../clock.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { createEpochTracker } from './epochs.js'
import { ABSENT } from './key-value.js'
import type { KeyValue, KeyValueChange, KeyValueEntry, KeyValueListing, LeaseId, SwapResult, WriteOptions } from './key-value.js'
import { epochOf, revisionOfEpoch, revisionWithinEpoch } from '../revision.js'

/** A value that the service returned, with the epoch in which it did. */
export interface WithEpoch<T> {
  readonly epoch: number
  readonly value: T
}

/** Calls of the service. Revisions and lease ids are those of the service, which are unique only within an epoch. */
export interface RestorableService {
  get (key: string, signal?: AbortSignal): Promise<WithEpoch<KeyValueEntry | undefined>>
  list (prefix: string, signal?: AbortSignal, mayBeStale?: boolean): Promise<WithEpoch<KeyValueListing>>
  put (key: string, value: string, options?: WriteOptions): Promise<WithEpoch<void>>
  compareAndSwap (key: string, expectedRevision: number, value: string, options?: WriteOptions): Promise<WithEpoch<SwapResult>>
  compareAndDelete (key: string, expectedRevision: number, signal?: AbortSignal): Promise<WithEpoch<SwapResult>>
  grantLease (timeToLive: Milliseconds, signal?: AbortSignal): Promise<WithEpoch<LeaseId>>
  keepAlive (lease: LeaseId, signal?: AbortSignal): Promise<WithEpoch<Milliseconds>>
  revokeLease (lease: LeaseId, signal?: AbortSignal): Promise<WithEpoch<void>>
  watch (prefix: string, fromRevision: number, signal: AbortSignal, idleTimeout?: Milliseconds): AsyncIterable<WithEpoch<readonly KeyValueChange[]>>
}

/** A lease with the epoch in which it was granted. */
interface GrantedLease {
  readonly epoch: number
  /** Id that the service gave the lease. */
  readonly id: LeaseId
}

/** Separates the epoch from the service's id in a {@link LeaseId}. */
const LEASE_SEPARATOR = '/'

/**
 * Creates a key-value store whose revisions and leases stay unique when the service is restored from a backup.
 *
 * @example
 * const store = createRestorableKeyValue(service)
 * store.epochs.onRestore(({ epoch }) => log.warn('store-restored', { epoch }))
 */
export function createRestorableKeyValue (service: RestorableService): KeyValue {
  const epochs = createEpochTracker()

  function isPastEpoch (epoch: number): boolean {
    return epoch < (epochs.current() ?? epoch)
  }

  /** Converts options for the service. Throws if they contain a lease of a past epoch, which no longer exists. */
  function toServiceOptions (options: WriteOptions | undefined): WriteOptions | undefined {
    if (options?.lease === undefined) return options
    const { epoch, id } = parseLease(options.lease)
    if (isPastEpoch(epoch)) throw pastEpochError('the lease', 'not-run')
    return { ...options, lease: id }
  }

  /**
   * Carries out a write. Throws if the epoch has changed between the call and the service's answer: the write may then rest
   * on a state that the caller has never read, or be attached to the lease of another process. Only a read can find out.
   */
  async function write<T> (call: () => Promise<WithEpoch<T>>): Promise<WithEpoch<T>> {
    const epochAtCall = epochs.current()
    const answer = await call()
    epochs.observe(answer.epoch)
    if (epochAtCall !== undefined && answer.epoch !== epochAtCall) throw pastEpochError('the call', 'may-have-run')
    return answer
  }

  async function get (key: string, signal?: AbortSignal): Promise<KeyValueEntry | undefined> {
    const { epoch, value } = await service.get(key, signal)
    epochs.observe(epoch)
    return value && entryIn(epoch, value)
  }

  async function swap (key: string, expectedRevision: number, signal: AbortSignal | undefined, call: (expected: number) => Promise<WithEpoch<SwapResult>>): Promise<SwapResult> {
    if (expectedRevision !== ABSENT && isPastEpoch(epochOf(expectedRevision))) return { kind: 'conflict', current: await get(key, signal) }
    const { epoch, value } = await write(() => call(revisionWithinEpoch(expectedRevision)))
    switch (value.kind) {
      case 'swapped': return { kind: 'swapped', revision: revisionOfEpoch(epoch, value.revision) }
      case 'conflict': return { kind: 'conflict', current: value.current && entryIn(epoch, value.current) }
    }
  }

  return {
    epochs,
    get,
    list: async (...call) => {
      const { epoch, value } = await service.list(...call)
      epochs.observe(epoch)
      return { entries: value.entries.map((entry) => entryIn(epoch, entry)), revision: revisionOfEpoch(epoch, value.revision) }
    },
    put: async (key, value, options) => {
      const serviceOptions = toServiceOptions(options)
      await write(() => service.put(key, value, serviceOptions))
    },
    compareAndSwap: async (key, expectedRevision, value, options) => {
      const serviceOptions = toServiceOptions(options)
      return swap(key, expectedRevision, options?.signal, (expected) => service.compareAndSwap(key, expected, value, serviceOptions))
    },
    compareAndDelete: (key, expectedRevision, signal) => swap(key, expectedRevision, signal, (expected) => service.compareAndDelete(key, expected, signal)),
    grantLease: async (...call) => {
      const { epoch, value } = await write(() => service.grantLease(...call))
      return formatLease({ epoch, id: value })
    },
    keepAlive: async (lease, signal) => {
      const granted = parseLease(lease)
      if (isPastEpoch(granted.epoch)) return 0
      const { epoch, value } = await service.keepAlive(granted.id, signal)
      epochs.observe(epoch)
      return epoch === granted.epoch ? value : 0
    },
    revokeLease: async (lease, signal) => {
      const granted = parseLease(lease)
      if (isPastEpoch(granted.epoch)) return
      await write(() => service.revokeLease(granted.id, signal))
    },
    watch: async function * (prefix, fromRevision, signal, idleTimeout) {
      const watchEpoch = epochOf(fromRevision)
      if (isPastEpoch(watchEpoch)) throw pastEpochError('the watch', 'not-run')
      const ended = AbortSignal.any([signal, epochs.ended()])
      for await (const { epoch, value } of service.watch(prefix, revisionWithinEpoch(fromRevision), ended, idleTimeout)) {
        epochs.observe(epoch)
        if (epoch !== watchEpoch) throw pastEpochError('the watch', 'not-run')
        yield value.map((change) => changeIn(epoch, change))
      }
      if (!signal.aborted) throw pastEpochError('the watch', 'not-run')
    }
  }
}

function entryIn (epoch: number, entry: KeyValueEntry): KeyValueEntry {
  return { ...entry, revision: revisionOfEpoch(epoch, entry.revision) }
}

function changeIn (epoch: number, change: KeyValueChange): KeyValueChange {
  switch (change.kind) {
    case 'put': return { kind: 'put', entry: entryIn(epoch, change.entry) }
    case 'delete': return { ...change, revision: revisionOfEpoch(epoch, change.revision) }
  }
}

function formatLease ({ epoch, id }: GrantedLease): LeaseId {
  return `${epoch}${LEASE_SEPARATOR}${id}`
}

function parseLease (lease: LeaseId): GrantedLease {
  const [epoch = '', id = ''] = lease.split(LEASE_SEPARATOR)
  return { epoch: Number(epoch), id }
}

function pastEpochError (what: string, verdict: Verdict): ServingError {
  return new ServingError(`store: ${what} belongs to an earlier epoch: the store was restored from a backup`, { code: 'gone', verdict })
}
