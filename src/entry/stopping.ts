/** Stop of a node that is planned, or that the platform announces with a deadline. */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Server } from 'node:http'
import type { OpenAnswers } from '../caller/open-answers.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { stopAccepting } from '../protocols/listen.js'
import { handOverAll } from './hand-over.js'
import type { HandOverOptions } from './hand-over.js'
import type { MembershipTracker } from './membership-tracker.js'
import type { Notes } from './note-receiver.js'
import type { Permits } from './permits.js'
import type { ReportWriter } from './report-writer.js'

/** Options of {@link createStop}. */
export interface StopOptions extends Omit<HandOverOptions, 'deadline'> {
  readonly membership: MembershipTracker
  readonly permits: Permits
  readonly notes: Notes
  readonly reports: ReportWriter
  readonly server: Server
  /** Answers of that server. */
  readonly answers: OpenAnswers
  /** Maximum time for which a caller may cache an address answer. */
  readonly addressLifetime: Milliseconds
  /** Called when the stop begins. From then on the node must refuse requests that other leaving nodes hand over. */
  readonly onLeaving: () => void
}

/** Stop of one node. It can become urgent while it is in progress. */
export interface Stop {
  /**
   * Begins the stop, or makes a stop in progress urgent. Resolves when the node can exit.
   *
   * @param deadline time of the clock at which the platform reclaims the instance; undefined for a planned stop
   */
  begin (deadline: Milliseconds | undefined): Promise<void>
}

/**
 * Time until all nodes have received the announcement that this node is leaving. Until then, some of them still give
 * its address to callers.
 */
const PROPAGATION_TIME: Milliseconds = 3 * SECOND

/** Maximum time for which open requests may finish before they are handed over. */
const COMPLETION_TIMEOUT: Milliseconds = 30 * SECOND

/**
 * Maximum time for callers to receive the responses that have been written. Answers that are still being read may take
 * longer.
 */
const FLUSH_TIMEOUT: Milliseconds = 2 * SECOND

/** Maximum time for writing the last report to the platform's key-value service. */
const REPORT_TIMEOUT: Milliseconds = 5 * SECOND

const POLL_PERIOD: Milliseconds = 50

/**
 * Creates the stop of a node. The stop begins with the first call of `begin`.
 *
 * During a planned stop the node no longer gives out its address, and serves callers until no cached address answer
 * with this node is valid. Open requests finish or are handed over. With a deadline, requests are handed over
 * immediately and their callers are notified. Neither kind of stop cuts off a response.
 *
 * @example
 * await createStop(options).begin(undefined)
 */
export function createStop (options: StopOptions): Stop {
  const urgent = new AbortController()
  let deadline: Milliseconds | undefined
  let completion: Promise<void> | undefined

  const runStop = async (): Promise<void> => {
    const { clock, log, executions, membership, permits, notes, reports, signal } = options
    log.info('leaving', { open: executions.open().length, ...(deadline === undefined ? {} : { within: Math.round(deadline - clock.now()) }) })
    options.onLeaving()
    const announcement = membership.leave().catch((error) => log.warn('leave-not-announced', { error: String(error) }))
    if (deadline === undefined) await serveUntilIdle(options, announcement, urgent.signal)
    await handOverAll({ ...options, deadline: () => deadline })
    await Promise.all([permits.transferToSuccessors(), notes.flush()])
    await flushResponses(options, deadline ?? Infinity)
    await reports.finish(createTimeoutSignal(reportTimeLeft(deadline, clock.now()), signal)).catch(() => false)
    await membership.withdraw().catch(() => {})
  }

  return {
    begin: (announcedDeadline) => {
      if (announcedDeadline !== undefined) {
        deadline = Math.min(deadline ?? Infinity, announcedDeadline)
        urgent.abort()
      }
      completion ??= runStop()
      return completion
    }
  }
}

/**
 * Serves callers until cached address answers have expired and open requests have ended or reached the completion
 * timeout, or until the stop becomes urgent.
 */
async function serveUntilIdle (options: StopOptions, announcement: Promise<void>, urgent: AbortSignal): Promise<void> {
  const { clock, home, executions } = options
  const signal = AbortSignal.any([options.signal, urgent])
  await announcement
  await clock.sleep(options.addressLifetime + PROPAGATION_TIME, signal).catch(() => {})
  home.close()
  const completionDeadline = clock.now() + COMPLETION_TIMEOUT
  while (!signal.aborted && executions.open().length > 0 && clock.now() < completionDeadline) await clock.sleep(POLL_PERIOD, signal).catch(() => {})
}

/**
 * Closes the server. Idle connections are closed immediately, the others after their responses. Returns at the deadline
 * at the latest.
 */
async function flushResponses (options: StopOptions, deadline: Milliseconds): Promise<void> {
  const { clock, server, answers, executions, signal } = options
  stopAccepting(server)
  const flushDeadline = Math.min(deadline, clock.now() + FLUSH_TIMEOUT)
  while (!signal.aborted && await countConnections(server) > 0) {
    if (clock.now() >= deadline || (clock.now() >= flushDeadline && executions.countBeingRead() === 0)) return
    answers.closeIdleConnections()
    await clock.sleep(POLL_PERIOD, signal).catch(() => {})
  }
}

function countConnections (server: Server): Promise<number> {
  return new Promise((resolve) => server.getConnections((_error, count) => resolve(count ?? 0)))
}

/** Returns the time that is left for the last report. */
function reportTimeLeft (deadline: Milliseconds | undefined, now: Milliseconds): Milliseconds {
  return Math.max(POLL_PERIOD, Math.ceil(Math.min(REPORT_TIMEOUT, (deadline ?? Infinity) - now)))
}
