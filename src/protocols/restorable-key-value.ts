/**
 * A key-value service that may come back from a backup, behind the interface that the system uses.
 *
 * Failure guarded against: such a service gives revisions and leases out again. A condition on a revision would hold over
 * another value, a renewal would keep another's lease, and a watch would pass over what was written before its number came
 * round. Revisions and leases are bound to the epoch in which they were given, and end with it.
 */
import type { Milliseconds } from '../clock.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { createEpochTracker } from './epochs.js'
import { ABSENT } from './key-value.js'
import type { KeyValue, KeyValueChange, KeyValueEntry, KeyValueListing, LeaseId, SwapResult, WriteOptions } from './key-value.js'
import { epochOf, revisionIn, withinEpoch } from '../revision.js'

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

/** A lease with the epoch that it was granted in. */
interface GrantedLease {
  readonly epoch: number
  /** The service's own name for it. */
  readonly id: LeaseId
}

/** Between the epoch and the service's own name in the name of a lease. */
const SEPARATOR = '/'

/**
 * @example
 * const store = createRestorableKeyValue(service)
 * store.epochs.onRestore(({ epoch }) => log.warn('store-restored', { epoch }))
 */
export function createRestorableKeyValue (service: RestorableService): KeyValue {
  const epochs = createEpochTracker()

  function isPast (epoch: number): boolean {
    return epoch < (epochs.current() ?? epoch)
  }

  /** The service's own options; a lease of a past epoch is gone. */
  function ownOptions (options: WriteOptions | undefined): WriteOptions | undefined {
    if (options?.lease === undefined) return options
    const { epoch, id } = readLease(options.lease)
    if (isPast(epoch)) throw pastEpoch('the lease', 'not-run')
    return { ...options, lease: id }
  }

  /**
   * A write that was asked for in one epoch and carried out in another may stand beside what its caller never saw, or
   * under another's lease; only reading back can settle it.
   */
  async function write<T> (call: () => Promise<Answered<T>>): Promise<Answered<T>> {
    const asked = epochs.current()
    const answer = await call()
    epochs.observe(answer.epoch)
    if (asked !== undefined && answer.epoch !== asked) throw pastEpoch('the call', 'may-have-run')
    return answer
  }

  async function get (key: string, signal?: AbortSignal): Promise<KeyValueEntry | undefined> {
    const { epoch, value } = await service.get(key, signal)
    epochs.observe(epoch)
    return value && entryIn(epoch, value)
  }

  async function swap (key: string, expectedRevision: number, signal: AbortSignal | undefined, call: (expected: number) => Promise<Answered<SwapResult>>): Promise<SwapResult> {
    if (expectedRevision !== ABSENT && isPast(epochOf(expectedRevision))) return { kind: 'conflict', current: await get(key, signal) }
    const { epoch, value } = await write(() => call(withinEpoch(expectedRevision)))
    switch (value.kind) {
      case 'swapped': return { kind: 'swapped', revision: revisionIn(epoch, value.revision) }
      case 'conflict': return { kind: 'conflict', current: value.current && entryIn(epoch, value.current) }
    }
  }

  return {
    epochs,
    get,
    list: async (...call) => {
      const { epoch, value } = await service.list(...call)
      epochs.observe(epoch)
      return { entries: value.entries.map((entry) => entryIn(epoch, entry)), revision: revisionIn(epoch, value.revision) }
    },
    put: async (key, value, options) => {
      const own = ownOptions(options)
      await write(() => service.put(key, value, own))
    },
    compareAndSwap: async (key, expectedRevision, value, options) => {
      const own = ownOptions(options)
      return swap(key, expectedRevision, options?.signal, (expected) => service.compareAndSwap(key, expected, value, own))
    },
    compareAndDelete: (key, expectedRevision, signal) => swap(key, expectedRevision, signal, (expected) => service.compareAndDelete(key, expected, signal)),
    grantLease: async (...call) => {
      const { epoch, value } = await write(() => service.grantLease(...call))
      return writeLease({ epoch, id: value })
    },
    keepAlive: async (lease, signal) => {
      const granted = readLease(lease)
      if (isPast(granted.epoch)) return 0
      const { epoch, value } = await service.keepAlive(granted.id, signal)
      epochs.observe(epoch)
      return epoch === granted.epoch ? value : 0
    },
    revokeLease: async (lease, signal) => {
      const granted = readLease(lease)
      if (isPast(granted.epoch)) return
      await write(() => service.revokeLease(granted.id, signal))
    },
    watch: async function * (prefix, fromRevision, signal, silence) {
      const asked = epochOf(fromRevision)
      if (isPast(asked)) throw pastEpoch('the watch', 'not-run')
      const ended = AbortSignal.any([signal, epochs.ended()])
      for await (const { epoch, value } of service.watch(prefix, withinEpoch(fromRevision), ended, silence)) {
        epochs.observe(epoch)
        if (epoch !== asked) throw pastEpoch('the watch', 'not-run')
        yield value.map((change) => changeIn(epoch, change))
      }
      if (!signal.aborted) throw pastEpoch('the watch', 'not-run')
    }
  }
}

function entryIn (epoch: number, entry: KeyValueEntry): KeyValueEntry {
  return { ...entry, revision: revisionIn(epoch, entry.revision) }
}

function changeIn (epoch: number, change: KeyValueChange): KeyValueChange {
  switch (change.kind) {
    case 'put': return { kind: 'put', entry: entryIn(epoch, change.entry) }
    case 'delete': return { ...change, revision: revisionIn(epoch, change.revision) }
  }
}

function writeLease ({ epoch, id }: GrantedLease): LeaseId {
  return `${epoch}${SEPARATOR}${id}`
}

function readLease (lease: LeaseId): GrantedLease {
  const [epoch = '', id = ''] = lease.split(SEPARATOR)
  return { epoch: Number(epoch), id }
}

function pastEpoch (what: string, verdict: Verdict): ServingError {
  return new ServingError(`store: ${what} is of an earlier epoch: it has come back from a backup`, { code: 'gone', verdict })
}
