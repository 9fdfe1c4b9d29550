/**
 * The planners' lease in the key-value service. The key exists while a planner holds it; the revision
 * at which it was written is the fencing number, which the service only ever raises.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { createLeaseHolder } from '../lease/index.js'
import type { Leadership } from '../lease/index.js'
import type { Log } from '../log.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue, LeaseId } from '../protocols/key-value.js'
import type { Random } from '../random.js'

/** Key of the planners' lease. */
export const PLANNER_KEY = 'hornbeamgap/planner/lease'

/** The planners' lease as one of them sees it. */
export interface LeaseKeeper extends Leadership {
  /** Takes or renews the lease now. */
  refresh (): Promise<void>
  /** Gives the lease up at a planned stop, so that another planner needn't wait for it to lapse. */
  release (): Promise<void>
}

/** What a keeper needs. */
export interface LeaseKeeperOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly signal: AbortSignal
  /** Name of this process's life, written into the key. */
  readonly holder: Incarnation
}

/** Time after which the service gives the lease to another planner. */
export const LEASE_TIME: Milliseconds = 15 * SECOND

const RENEWAL_PERIOD: Milliseconds = 5 * SECOND

/** At size, planners that wait look at the key this often; at the least, as often as they'd renew. */
const WAITING_PERIOD: Milliseconds = 15 * SECOND

const VARIATION = 0.4

/**
 * @example
 * const lease = createLeaseKeeper({ keyValue, clock, random, log, signal, holder })
 * const held = lease.held(2 * SECOND)
 */
export function createLeaseKeeper (options: LeaseKeeperOptions): LeaseKeeper {
  const { keyValue, clock, random, log, signal } = options
  const holder = createLeaseHolder()
  let lease: { readonly id: LeaseId } | undefined
  let holding = false

  async function refresh (): Promise<void> {
    if (lease !== undefined && holder.held(clock.now(), 0) !== undefined) await renew(lease.id)
    else await take()
    tell()
  }

  async function renew (id: LeaseId): Promise<void> {
    const sentAt = clock.now()
    const remaining = await keyValue.keepAlive(id, signal)
    if (remaining > 0) return holder.renewed(sentAt, remaining)
    holder.lost()
    lease = undefined
  }

  async function take (): Promise<void> {
    const present = await keyValue.get(PLANNER_KEY, signal)
    if (present !== undefined && present.value !== valueOf(lease?.id)) return
    if (present !== undefined) return takeBack(present.revision)
    const sentAt = clock.now()
    const id = await keyValue.grantLease(LEASE_TIME, signal)
    lease = { id }
    const result = await keyValue.compareAndSwap(PLANNER_KEY, ABSENT, valueOf(id), { lease: id, signal })
    if (result.kind === 'swapped') holder.taken(result.revision, sentAt, LEASE_TIME)
  }

  /**
   * Failure guarded against: the reply of the swap that took the lease is lost, and the planner would
   * wait for its own lease to lapse. The key names the lease that this process granted itself, so it
   * is its own; how long it still has is known only by a renewal.
   */
  async function takeBack (fencing: number): Promise<void> {
    if (lease === undefined) return
    const sentAt = clock.now()
    const remaining = await keyValue.keepAlive(lease.id, signal)
    if (remaining > 0) holder.taken(fencing, sentAt, remaining)
  }

  /** Two lives of one process, or two leases of one life, never write the same value. */
  function valueOf (id: LeaseId | undefined): string {
    return `${options.holder}/${id ?? ''}`
  }

  function tell (): void {
    const held = holder.held(clock.now(), 0)
    if (held !== undefined && !holding) log.info('planner-lease-taken', { fencing: held.fencing })
    if (held === undefined && holding) log.warn('planner-lease-lost')
    holding = held !== undefined
  }

  async function run (): Promise<void> {
    while (!signal.aborted) {
      const failed = await refresh().then(() => false, () => true)
      tell()
      // A lease that may be this planner's without its knowing is looked for before it lapses.
      const soon = holding || (failed && lease !== undefined)
      const period = soon ? RENEWAL_PERIOD : WAITING_PERIOD
      await clock.sleep(period * (1 - VARIATION * random.fraction()), signal).catch(() => {})
    }
  }

  run().catch(() => {})

  return {
    refresh,
    held: (margin) => holder.held(clock.now(), margin),
    release: async () => {
      holder.lost()
      if (lease !== undefined) await keyValue.revokeLease(lease.id)
    }
  }
}
