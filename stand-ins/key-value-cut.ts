/** Key-value client that simulates a network partition between one process and the service. */
import type { KeyValue } from '../src/protocols/key-value.js'

/**
 * Wraps a key-value client so that calls fail at once while the service is unreachable. Watches are not affected.
 *
 * @example
 * const store = failWhileUnreachable(keyValue, () => partitionedNodes.has(node))
 */
export function failWhileUnreachable (keyValue: KeyValue, isUnreachable: () => boolean): KeyValue {
  const guard = <Call extends unknown[], Result>(method: (...call: Call) => Promise<Result>) => async (...call: Call): Promise<Result> => {
    if (isUnreachable()) throw new Error('the key-value service is unreachable from this process')
    return method(...call)
  }
  return {
    ...keyValue,
    get: guard(keyValue.get),
    list: guard(keyValue.list),
    put: guard(keyValue.put),
    compareAndSwap: guard(keyValue.compareAndSwap),
    compareAndDelete: guard(keyValue.compareAndDelete),
    grantLease: guard(keyValue.grantLease),
    keepAlive: guard(keyValue.keepAlive),
    revokeLease: guard(keyValue.revokeLease)
  }
}
