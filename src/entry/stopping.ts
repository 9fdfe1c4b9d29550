/** The end of a node: planned, announced by the platform, or at once. */
import type { Server } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { handOverAll } from './hand-over.js'
import type { HandOverOptions } from './hand-over.js'
import type { MembershipKeeper } from './membership-keeper.js'
import type { Notes } from './note-keeper.js'
import type { Permits } from './permits.js'

/** What a stop needs besides the hand-over. */
export interface StopOptions extends HandOverOptions {
  readonly membership: MembershipKeeper
  readonly permits: Permits
  readonly notes: Notes
  readonly server: Server
  /** Longest time for which a caller may keep an address answer, in milliseconds. */
  readonly addressLifetime: Milliseconds
  /** Called when the node takes nothing from other leaving nodes any more. */
  readonly onLeaving: () => void
}

/** Until every node has heard that this one leaves, some still give its address to callers. */
const PROPAGATION: Milliseconds = 3 * SECOND

/** Open requests are left this long to end by themselves before they are handed over. */
const PATIENCE: Milliseconds = 30 * SECOND

/** Time for callers to take what has been written for them. */
const FLUSH: Milliseconds = 2 * SECOND

const POLL: Milliseconds = 50

/**
 * Planned stop: not given to callers any more, but still serving them, until no address answer with this
 * node is valid and every request has ended or been handed over. Cuts off nothing.
 *
 * @example
 * await stopGracefully(options)
 */
export async function stopGracefully (options: StopOptions): Promise<void> {
  const { clock, signal, membership, home, executions } = options
  options.onLeaving()
  await leave(options)
  await clock.sleep(options.addressLifetime + PROPAGATION, signal).catch(() => {})
  home.close()
  const patience = clock.now() + PATIENCE
  while (!signal.aborted && executions.open().length > 0 && clock.now() < patience) await clock.sleep(POLL, signal).catch(() => {})
  await handOverAll(options, undefined)
  await Promise.all([options.permits.giveAway(), options.notes.flush()])
  await flush(options, Infinity)
  await membership.withdraw().catch(() => {})
}

/**
 * Announced reclaim: hands over at once and tells the callers. Resolves when nothing is left to be done,
 * at the latest at the deadline.
 *
 * @param deadline time of the clock when the platform takes the instance back
 * @example
 * await stopBefore(options, clock.now() + 10 * SECOND)
 */
export async function stopBefore (options: StopOptions, deadline: Milliseconds): Promise<void> {
  options.onLeaving()
  leave(options).catch(() => {})
  await handOverAll(options, deadline)
  await Promise.all([options.permits.giveAway(), options.notes.flush()])
  await flush(options, deadline)
  await options.membership.withdraw().catch(() => {})
}

async function leave (options: StopOptions): Promise<void> {
  options.log.info('leaving', { open: options.executions.open().length })
  await options.membership.leave().catch((error) => options.log.warn('leave-not-announced', { error: String(error) }))
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
