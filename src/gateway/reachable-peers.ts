/** Tracks which other nodes answer. Logs a peer once when it stops answering and once when it answers again. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'

/** Reachability of other nodes by address. */
export interface ReachablePeers {
  /** Records a failed call to a peer. Ignored once this node stops. */
  lost (address: string, error: unknown): void
  /** Records an answer of a peer. */
  regained (address: string): void
  /** Whether the last call to a peer failed. */
  isUnreachable (address: string): boolean
  /** Whether the last call to a peer failed, and did so within this time. */
  hasFailedWithin (address: string, time: Milliseconds): boolean
}

/** Maximum number of characters of an error in a log line. */
const ERROR_LENGTH = 200

/**
 * Creates a record of reachability in which all peers count as reachable.
 *
 * @param signal aborts when this node stops
 * @example
 * const reachable = createReachablePeers(clock, log, signal)
 */
export function createReachablePeers (clock: Clock, log: EventLog, signal: AbortSignal): ReachablePeers {
  const failedAt = new Map<string, Milliseconds>()
  return {
    lost: (address, error) => {
      if (signal.aborted) return
      const isNew = !failedAt.has(address)
      failedAt.set(address, clock.now())
      if (isNew) log.info('peer-lost', { peer: address, error: String(error).slice(0, ERROR_LENGTH) })
    },
    regained: (address) => {
      if (failedAt.delete(address)) log.info('peer-regained', { peer: address })
    },
    isUnreachable: (address) => failedAt.has(address),
    hasFailedWithin: (address, time) => clock.now() - (failedAt.get(address) ?? -Infinity) < time
  }
}
