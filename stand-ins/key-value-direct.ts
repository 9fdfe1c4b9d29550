/** In-process client of the key-value stand-in: the same store and faults as over HTTP, without a network. */
import type { Clock, Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { prefixEnd } from '../src/protocols/key-value.js'
import { createRestorableKeyValue } from '../src/protocols/restorable-key-value.js'
import type { WithEpoch } from '../src/protocols/restorable-key-value.js'
import type { KeyValueChange, TransactionalKeyValue } from '../src/protocols/key-value.js'
import { ServingError } from '../src/verdict.js'
import type { FaultSwitch } from './faults.js'
import type { KeyValueStore } from './key-value-store.js'

/** Number of calls by kind since the client was created. */
export interface KeyValueCalls {
  reads: number
  writes: number
  watches: number
}

/** Faults that only the in-process client has. */
export interface DirectFaults {
  /** Delay after which a late write takes effect. Its caller gets a timeout at once. No write is late when 0. */
  lateBy: Milliseconds
  /** Every n-th write is late. */
  lateEvery: number
}

/** In-process client of the stand-in, with its call counts and faults. */
export interface DirectKeyValue extends TransactionalKeyValue {
  readonly calls: KeyValueCalls
  readonly direct: DirectFaults
}

/** Interval of the empty updates that a watch yields while nothing changes. */
const PROGRESS_PERIOD: Milliseconds = 5 * SECOND

/** Timeout of a call, the same as that of the HTTP client. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * Creates an in-process client of a store.
 *
 * @param direct faults of the in-process client; several clients may share the object
 * @example
 * const keyValue = createDirectKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, random), clock)
 */
export function createDirectKeyValue (store: KeyValueStore, faultSwitch: FaultSwitch, clock: Clock, direct: DirectFaults = { lateBy: 0, lateEvery: 1 }): DirectKeyValue {
  const calls: KeyValueCalls = { reads: 0, writes: 0, watches: 0 }

  async function call<T> (operation: () => T, signal: AbortSignal | undefined): Promise<WithEpoch<T>> {
    const decision = faultSwitch.next()
    if (faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency, signal)
    signal?.throwIfAborted()
    switch (decision) {
      case 'answer': return { value: operation(), epoch: store.epoch() }
      case 'lose-reply':
        operation()
        throw failure('the reply of the key-value service was lost')
      case 'silence':
        await clock.sleep(CALL_TIMEOUT, signal)
        throw failure('the key-value service did not answer within the timeout')
      case 'refuse': throw failure('the key-value service is down')
      case 'over-rate': throw failure('the rate limit of the key-value service is exceeded')
    }
  }

  function read<T> (operation: () => T, signal?: AbortSignal): Promise<WithEpoch<T>> {
    calls.reads += 1
    return call(operation, signal)
  }

  function write<T> (operation: () => T, signal?: AbortSignal): Promise<WithEpoch<T>> {
    calls.writes += 1
    if (direct.lateBy === 0 || calls.writes % direct.lateEvery !== 0) return call(operation, signal)
    clock.sleep(direct.lateBy).then(operation).catch(() => {})
    return Promise.reject(failure('the key-value service did not answer within the timeout'))
  }

  async function * watch (prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<WithEpoch<readonly KeyValueChange[]>> {
    calls.watches += 1
    await call(() => {}, signal)
    if (fromRevision > store.revision() + 1) throw new ServingError('the requested revision is newer than the store', { code: 'gone', verdict: 'not-run' })
    const queue: KeyValueChange[][] = [[]]
    const epoch = store.epoch()
    let notify = (): void => {}
    let isDisconnected = false
    const unsubscribe = store.subscribe(prefix, prefixEnd(prefix), fromRevision, (changes) => {
      queue.push([...changes])
      notify()
    }, () => {
      isDisconnected = true
      notify()
    })
    try {
      while (!signal.aborted) {
        if (faultSwitch.faults.down) throw failure('the key-value service is down')
        for (const changes of queue.splice(0)) {
          if (changes.length > 0 && faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency, signal)
          yield { epoch, value: changes }
        }
        if (isDisconnected) throw failure('the watch was disconnected by a restore of the key-value service')
        if (queue.length > 0) continue
        const changed = new Promise<void>((resolve) => { notify = resolve })
        const timer = new AbortController()
        await Promise.race([changed, clock.sleep(PROGRESS_PERIOD, AbortSignal.any([signal, timer.signal])).catch(() => {})])
        timer.abort()
        if (isDisconnected) throw failure('the watch was disconnected by a restore of the key-value service')
        if (queue.length === 0) queue.push([])
      }
    } finally {
      unsubscribe()
    }
  }

  const keyValue = createRestorableKeyValue({
    watch,
    get: (key, signal) => read(() => store.get(key), signal),
    list: (prefix, signal) => read(() => store.list(prefix, prefixEnd(prefix)), signal),
    put: (key, value, options = {}) => write(() => { store.put(key, value, options.lease) }, options.signal),
    compareAndSwap: (key, expected, value, options = {}) => write(() => store.compareAndSwap(key, expected, value, options.lease), options.signal),
    compareAndDelete: (key, expected, signal) => write(() => store.compareAndDelete(key, expected), signal),
    grantLease: (time, signal) => write(() => store.grantLease(time), signal),
    keepAlive: (lease, signal) => write(() => store.keepAlive(lease), signal),
    revokeLease: (lease, signal) => write(() => store.revokeLease(lease), signal)
  })
  return {
    ...keyValue,
    // Its revisions are those of the first epoch, since no process that uses it meets a restored service.
    compareAndSwapAll: async (swaps, signal) => (await write(() => store.compareAndSwapAll(swaps), signal)).value,
    calls,
    direct
  }
}

function failure (message: string): ServingError {
  return new ServingError(message, { code: 'connection-lost', verdict: 'may-have-run' })
}
