/** A key-value service to which the path of one process may be cut. */
import type { KeyValue } from '../src/protocols/key-value.js'

/**
 * The service as a process reaches it: calls fail at once while it is cut off. Watches go on.
 *
 * @example
 * const store = reachedUnless(keyValue, () => cut.has(node))
 */
export function reachedUnless (keyValue: KeyValue, isCut: () => boolean): KeyValue {
  const guard = <Call extends unknown[], Result>(method: (...call: Call) => Promise<Result>) => async (...call: Call): Promise<Result> => {
    if (isCut()) throw new Error('no path')
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
