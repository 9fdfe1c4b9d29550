/** Which other nodes answer; one line in the log for each that stops, until it answers again. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'

/** Other nodes by address. */
export interface ReachablePeers {
  lost (address: string, error: unknown): void
  regained (address: string): void
  isLost (address: string): boolean
  /** It failed within this time. */
  hasFailedWithin (address: string, time: Milliseconds): boolean
}

/** Characters of an error's text in a line of the log. */
const ERROR_LENGTH = 200

/**
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
    isLost: (address) => failedAt.has(address),
    hasFailedWithin: (address, time) => clock.now() - (failedAt.get(address) ?? -Infinity) < time
  }
}
