/**
 * Planned stop of a node. The node stops advertising its address and reports that it is not ready. It serves callers
 * that still hold the address until they have refreshed it. Then it closes: it takes no further request, and lets those finish that
 * it has taken and that can end within the grace period.
 */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { OpenAnswers } from '../caller/open-answers.js'

/** Options of {@link stopNode}. */
export interface StopOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly answers: OpenAnswers
  /** Time at which requests in progress are cut off. */
  readonly cutOff: Milliseconds
  /** Time from the cut-off to the kill. */
  readonly margin: Milliseconds
  /** Number of connections that the node relays for others. */
  readonly relayed: () => number
  /** From the return of this function on the node takes no request. */
  readonly close: () => void
  /** Removes the node's records from the store. */
  readonly withdraw: () => Promise<void>
}

/** Time before the kill at which requests in progress are cut off, so that the process can exit by itself. */
const MAX_STOP_MARGIN: Milliseconds = 400

/** Part of the grace period that this time may take. */
const STOP_MARGIN_FRACTION = 1 / 8

/**
 * Time during which callers with an outdated address list are served. An address list is valid for 2 s, and some callers keep
 * it for three times that long.
 */
const STALE_ADDRESS_PERIOD: Milliseconds = 6_000

const POLL_PERIOD: Milliseconds = 50

/**
 * Part of the time between the cut-off and the kill in which requests that end at the cut-off are answered. The rest is left for the
 * last writes.
 */
const ANSWERING_FRACTION = 1 / 4

/**
 * Time between the cut-off of requests and the kill.
 *
 * @param grace time from the request to stop to the kill
 * @example
 * stopMarginOf(8_000) // 400
 */
export function stopMarginOf (grace: Milliseconds): Milliseconds {
  return Math.min(MAX_STOP_MARGIN, grace * STOP_MARGIN_FRACTION)
}

/**
 * Waits until callers have left and requests have finished, but little longer than until the cut-off. None is taken after that.
 *
 * Failure guarded against: the store is unreachable and the withdrawal never completes. The stop does not wait for it.
 *
 * Failure guarded against: a request comes after none was found in progress, and is cut off with the connections of the node. So the
 * node closes before it looks for requests in progress.
 *
 * @example
 * await stopNode({ clock, log, answers, cutOff, margin, relayed, close, withdraw })
 */
export async function stopNode (options: StopOptions): Promise<void> {
  const { clock, log, answers, cutOff, margin, relayed, close, withdraw } = options
  const since = clock.now()
  const acceptUntil = Math.min(cutOff, since + STALE_ADDRESS_PERIOD)
  log.info('node-stopping', { inFlight: answers.count(), grace: Math.round(cutOff - clock.now()) })
  withdraw().catch((error) => log.warn('withdrawal-failed', { error: String(error) }))
  while (clock.now() < acceptUntil) {
    answers.closeIdleConnections()
    await clock.sleep(POLL_PERIOD)
  }
  close()
  log.info('node-closed', { inFlight: answers.count(), relayed: relayed(), since: Math.round(clock.now() - since) })
  const end = cutOff + margin * ANSWERING_FRACTION
  while (clock.now() < end && answers.count() + relayed() > 0) {
    answers.closeIdleConnections()
    await clock.sleep(Math.min(POLL_PERIOD, end - clock.now()))
  }
  log.info('requests-awaited', { inFlight: answers.count(), relayed: relayed(), since: Math.round(clock.now() - since) })
}
