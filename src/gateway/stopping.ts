/**
 * A planned stop: out of the address answers and not ready at once; callers that still hold the address are
 * served until they have asked anew; nothing is cut off that can end within the grace.
 */
import type { Server } from 'node:http'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'

/** What a stop needs. */
export interface StopOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly server: Server
  /** Time at which what still runs is cut off. */
  readonly cutOff: Milliseconds
  readonly inFlight: () => number
  /** Takes the node out of the store's records. */
  readonly withdraw: () => Promise<void>
}

/** Time before the kill at which what still runs is cut off, so that the process ends by itself. */
export const STOP_MARGIN: Milliseconds = 400

/** How long callers that hold an old address answer are served: its lifetime, and three times that for some. */
const SERVE_ON: Milliseconds = 6_000

const POLL: Milliseconds = 50

/**
 * Waits until callers have left and requests have ended, at the latest until shortly before the kill.
 *
 * Failure guarded against: the store is away and the withdrawal never returns; the stop doesn't wait for it.
 *
 * @example
 * await stopNode({ clock, log, server, cutOff, inFlight, withdraw })
 */
export async function stopNode (options: StopOptions): Promise<void> {
  const { clock, log, server, cutOff, inFlight, withdraw } = options
  const servedUntil = Math.min(cutOff, clock.now() + SERVE_ON)
  log.info('node-stopping', { inFlight: inFlight(), grace: Math.round(cutOff - clock.now()) })
  withdraw().catch((error) => log.warn('withdrawal-failed', { error: String(error) }))
  while (clock.now() < servedUntil) {
    server.closeIdleConnections()
    await clock.sleep(POLL)
  }
  server.close()
  while (clock.now() < cutOff && inFlight() > 0) {
    server.closeIdleConnections()
    await clock.sleep(POLL)
  }
  if (inFlight() > 0) log.warn('requests-cut-off', { inFlight: inFlight() })
}
