/** The key-value service as functions of this process: latency and faults without a network. */
import type { Clock, Milliseconds } from '../src/clock.js'
import { prefixEnd } from '../src/platform/key-value.js'
import type { KeyValue } from '../src/platform/key-value.js'
import { ServingError } from '../src/verdict.js'
import type { FaultSwitch } from './faults.js'
import type { KeyValueStore } from './key-value-store.js'

/** Bound on one call, as the system's client has it. */
const CALL_TIMEOUT: Milliseconds = 2_000

/**
 * One node's connection to a store; several may share it.
 *
 * @param faultSwitch its latency is spent half before and half after a call takes effect
 * @example
 * const keyValue = createInProcessKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, random), clock)
 */
export function createInProcessKeyValue (store: KeyValueStore, faultSwitch: FaultSwitch, clock: Clock): KeyValue {
  async function call<T> (operation: () => T): Promise<T> {
    const { latency } = faultSwitch.faults
    const fate = faultSwitch.next()
    if (fate === 'refuse' || fate === 'over-rate') throw new ServingError('the store refuses', { code: 'upstream-refused', verdict: 'not-run' })
    if (fate === 'silence') await lose()
    if (latency / 2 > CALL_TIMEOUT) return outlast(operation, latency / 2)
    if (latency > 0) await clock.sleep(latency / 2)
    else await Promise.resolve()
    const result = operation()
    if (fate === 'lose-reply') await lose()
    if (latency > 0) await clock.sleep(latency / 2)
    return result
  }

  /** The call is given up before it takes effect, and takes effect all the same. */
  async function outlast (operation: () => unknown, delay: Milliseconds): Promise<never> {
    clock.sleep(delay).then(operation).catch(() => {})
    return lose()
  }

  async function lose (): Promise<never> {
    await clock.sleep(CALL_TIMEOUT)
    throw new ServingError('the store went silent', { code: 'timeout', verdict: 'may-have-run' })
  }

  return {
    get: (key) => call(() => store.get(key)),
    list: (prefix) => call(() => store.list(prefix, prefixEnd(prefix))),
    put: (key, value, options = {}) => call(() => { store.put(key, value, options.lease) }),
    compareAndSwap: (key, expected, value, options = {}) => call(() => store.compareAndSwap(key, expected, value, options.lease)),
    compareAndDelete: (key, expected) => call(() => store.compareAndDelete(key, expected)),
    grantLease: (timeToLive) => call(() => store.grantLease(timeToLive)),
    keepAlive: (lease) => call(() => store.keepAlive(lease)),
    revokeLease: (lease) => call(() => store.revokeLease(lease)),
    watch: () => { throw new ServingError('no watches in process', { code: 'internal', verdict: 'not-run' }) }
  }
}
