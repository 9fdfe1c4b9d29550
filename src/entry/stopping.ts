/** The end of a node that is not a sudden one: planned, or announced by the platform with a deadline. */
import { createTimeoutSignal } from '../bound-signal.js'
import type { Server } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { handOverAll } from './hand-over.js'
import type { HandOverOptions } from './hand-over.js'
import type { MembershipKeeper } from './membership-keeper.js'
import type { Notes } from './note-keeper.js'
import type { Permits } from './permits.js'
import type { ReportKeeper } from './report-keeper.js'

/** What a stop needs besides the hand-over. */
export interface StopOptions extends Omit<HandOverOptions, 'deadline'> {
  readonly membership: MembershipKeeper
  readonly permits: Permits
  readonly notes: Notes
  readonly reports: ReportKeeper
  readonly server: Server
  /** Longest time for which a caller may keep an address answer, in milliseconds. */
  readonly addressLifetime: Milliseconds
  /** Called when the node takes nothing from other leaving nodes any more. */
  readonly onLeaving: () => void
}

/** A stop, which may become urgent while it is under way. */
export interface Stop {
  /**
   * Begins the stop, or makes it urgent. Resolves when the node has nothing left to do.
   *
   * @param deadline time of the clock when the platform takes the instance back; none: a planned stop
   */
  begin (deadline: Milliseconds | undefined): Promise<void>
}

/** Until every node has heard that this one leaves, some still give its address to callers. */
const PROPAGATION: Milliseconds = 3 * SECOND

/** Open requests are left this long to end by themselves before they are handed over. */
const PATIENCE: Milliseconds = 30 * SECOND

/** Time for callers to take what has been written for them. */
const FLUSH: Milliseconds = 2 * SECOND

/** Time for the last report when the platform's service is slow. */
const REPORT_TIME: Milliseconds = 5 * SECOND

const POLL: Milliseconds = 50

/**
 * A planned stop: not given to callers any more, but serving them, until no address answer with this
 * node is valid and every request has ended or been handed over. With a deadline the requests are handed
 * over at once and their callers told. Neither cuts anything off.
 *
 * @example
 * await createStop(options).begin(undefined)
 */
export function createStop (options: StopOptions): Stop {
  const hurry = new AbortController()
  let deadline: Milliseconds | undefined
  let ending: Promise<void> | undefined

  const end = async (): Promise<void> => {
    const { clock, log, executions, membership, permits, notes, reports, signal } = options
    log.info('leaving', { open: executions.open().length, ...(deadline === undefined ? {} : { within: Math.round(deadline - clock.now()) }) })
    options.onLeaving()
    const announced = membership.leave().catch((error) => log.warn('leave-not-announced', { error: String(error) }))
    if (deadline === undefined) await serveOn(options, announced, hurry.signal)
    await handOverAll({ ...options, deadline: () => deadline })
    await Promise.all([permits.giveAway(), notes.flush()])
    await flush(options, deadline ?? Infinity)
    await reports.finish(createTimeoutSignal(timeLeft(deadline, clock.now()), signal)).catch(() => false)
    await membership.withdraw().catch(() => {})
  }

  return {
    begin: (announced) => {
      if (announced !== undefined) {
        deadline = Math.min(deadline ?? Infinity, announced)
        hurry.abort()
      }
      ending ??= end()
      return ending
    }
  }
}

/** Serves on until cached addresses have lapsed and the open requests have ended, or until it gets urgent. */
async function serveOn (options: StopOptions, announced: Promise<void>, hurry: AbortSignal): Promise<void> {
  const { clock, home, executions } = options
  const signal = AbortSignal.any([options.signal, hurry])
  await announced
  await clock.sleep(options.addressLifetime + PROPAGATION, signal).catch(() => {})
  home.close()
  const patience = clock.now() + PATIENCE
  while (!signal.aborted && executions.open().length > 0 && clock.now() < patience) await clock.sleep(POLL, signal).catch(() => {})
}

/** Connections end when their responses have; idle ones at once. */
async function flush (options: StopOptions, deadline: Milliseconds): Promise<void> {
  const { clock, server, executions, signal } = options
  server.close()
  const longest = Math.min(deadline, clock.now() + FLUSH)
  while (!signal.aborted && await connectionsOf(server) > 0) {
    if (clock.now() >= deadline || (clock.now() >= longest && executions.beingRead() === 0)) return
    server.closeIdleConnections()
    await clock.sleep(POLL, signal).catch(() => {})
  }
}

function connectionsOf (server: Server): Promise<number> {
  return new Promise((resolve) => server.getConnections((_error, count) => resolve(count ?? 0)))
}

function timeLeft (deadline: Milliseconds | undefined, now: Milliseconds): Milliseconds {
  return Math.max(POLL, Math.ceil(Math.min(REPORT_TIME, (deadline ?? Infinity) - now)))
}
