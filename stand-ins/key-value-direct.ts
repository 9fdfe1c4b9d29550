/** In-process face of the key-value stand-in: the same store and faults without a network. */
import type { Clock, Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { prefixEnd } from '../src/protocols/key-value.js'
import { createRestorableKeyValue } from '../src/protocols/restorable-key-value.js'
import type { WithEpoch } from '../src/protocols/restorable-key-value.js'
import type { KeyValue, KeyValueChange } from '../src/protocols/key-value.js'
import { ServingError } from '../src/verdict.js'
import type { FaultSwitch } from './faults.js'
import type { KeyValueStore } from './key-value-store.js'

/** Calls by kind since the start. */
export interface KeyValueCalls {
  reads: number
  writes: number
  watches: number
}

/** Faults that only the in-process face has. */
export interface DirectFaults {
  /** Some writes take effect only this long after their caller has given up; none when 0. */
  lateBy: Milliseconds
  /** One write in so many is late. */
  lateEvery: number
}

/** The stand-in as a {@link KeyValue}. */
export interface DirectKeyValue extends KeyValue {
  readonly calls: KeyValueCalls
  readonly direct: DirectFaults
}

const PROGRESS_PERIOD: Milliseconds = 5 * SECOND

/** Time after which a caller gives up, as the client over HTTP does. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * @param direct faults of its own, which several nodes may share
 * @example
 * const keyValue = createDirectKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, random), clock)
 */
export function createDirectKeyValue (store: KeyValueStore, faultSwitch: FaultSwitch, clock: Clock, direct: DirectFaults = { lateBy: 0, lateEvery: 1 }): DirectKeyValue {
  const calls: KeyValueCalls = { reads: 0, writes: 0, watches: 0 }

  async function answer<T> (operation: () => T, signal: AbortSignal | undefined): Promise<WithEpoch<T>> {
    const fate = faultSwitch.next()
    if (faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency, signal)
    signal?.throwIfAborted()
    switch (fate) {
      case 'answer': return { value: operation(), epoch: store.epoch() }
      case 'lose-reply':
        operation()
        throw failure('the reply was lost')
      case 'silence':
        await clock.sleep(CALL_TIMEOUT, signal)
        throw failure('no answer in time')
      case 'refuse': throw failure('the service is down')
      case 'over-rate': throw failure('too many calls')
    }
  }

  function read<T> (operation: () => T, signal?: AbortSignal): Promise<WithEpoch<T>> {
    calls.reads += 1
    return answer(operation, signal)
  }

  function write<T> (operation: () => T, signal?: AbortSignal): Promise<WithEpoch<T>> {
    calls.writes += 1
    if (direct.lateBy === 0 || calls.writes % direct.lateEvery !== 0) return answer(operation, signal)
    clock.sleep(direct.lateBy).then(operation).catch(() => {})
    return Promise.reject(failure('no answer in time'))
  }

  async function * watch (prefix: string, fromRevision: number, signal: AbortSignal): AsyncIterable<WithEpoch<readonly KeyValueChange[]>> {
    calls.watches += 1
    await answer(() => {}, signal)
    if (fromRevision > store.revision() + 1) throw new ServingError('the store has no such revision', { code: 'gone', verdict: 'not-run' })
    const queue: KeyValueChange[][] = [[]]
    const epoch = store.epoch()
    let wake = (): void => {}
    let isCut = false
    const unsubscribe = store.subscribe(prefix, prefixEnd(prefix), fromRevision, (changes) => {
      queue.push([...changes])
      wake()
    }, () => {
      isCut = true
      wake()
    })
    try {
      while (!signal.aborted) {
        if (faultSwitch.faults.down) throw failure('the service is down')
        for (const changes of queue.splice(0)) {
          if (changes.length > 0 && faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency, signal)
          yield { epoch, value: changes }
        }
        if (isCut) throw failure('the connection was cut')
        if (queue.length > 0) continue
        const changed = new Promise<void>((resolve) => { wake = resolve })
        const waiting = new AbortController()
        await Promise.race([changed, clock.sleep(PROGRESS_PERIOD, AbortSignal.any([signal, waiting.signal])).catch(() => {})])
        waiting.abort()
        if (isCut) throw failure('the connection was cut')
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
  return { ...keyValue, calls, direct }
}

function failure (message: string): ServingError {
  return new ServingError(message, { code: 'connection-lost', verdict: 'may-have-run' })
}
