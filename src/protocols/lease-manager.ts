/**
 * Acquires, renews and releases a lease in the key-value service. The lease's key exists while a process holds the lease.
 * The revision at which the key was written is the fencing number, which therefore rises with every new holder.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { createLeaseHolder } from '../lease/index.js'
import type { Leadership } from '../lease/index.js'
import type { Log } from '../log.js'
import { ABSENT } from './key-value.js'
import type { KeyValue, LeaseId } from './key-value.js'
import type { Random } from '../random.js'

/** Key of the lease that the active planner holds. */
export const PLANNER_LEASE_KEY = 'hornbeamgap/planner/lease'

/** One process's access to a lease that several processes compete for. */
export interface LeaseManager extends Leadership {
  /** Renews the lease if it is held, otherwise tries to acquire it. */
  refresh (): Promise<void>
  /** Releases the lease at a planned stop, so that another process need not wait until it expires. */
  release (): Promise<void>
}

/** Options of {@link createLeaseManager}. */
export interface LeaseManagerOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly signal: AbortSignal
  /** Incarnation of this process, written as the value of the key. */
  readonly holder: Incarnation
  /** Whether this process may acquire the lease, always if omitted. A process that holds the lease renews it in any case. */
  readonly isCandidate?: () => boolean
  /** Key and times of the lease. Defaults to those of the planners' lease. */
  readonly terms?: LeaseTerms
}

/** Name, key and times of a lease. */
export interface LeaseTerms {
  /** Prefix of the names of log events. */
  readonly name: string
  readonly key: string
  /** Time after which the lease expires unless it is renewed. */
  readonly time: Milliseconds
  /** Maximum interval between two renewals by the holder. */
  readonly renewalInterval: Milliseconds
  /** Maximum interval between two reads of the key by a process without the lease. */
  readonly waiting: Milliseconds
}

/** Time after which the planners' lease expires unless it is renewed. */
export const PLANNER_LEASE_TIME: Milliseconds = 15 * SECOND

/** Waiting planners read the key only once per lease time, to limit the load of a large fleet on the service. */
const PLANNER_LEASE: LeaseTerms = { name: 'planner-lease', key: PLANNER_LEASE_KEY, time: PLANNER_LEASE_TIME, renewalInterval: 5 * SECOND, waiting: 15 * SECOND }

/** Maximum fraction by which an interval is shortened at random. */
const JITTER = 0.4

/**
 * Starts to compete for a lease until the signal aborts.
 *
 * @example
 * const lease = createLeaseManager({ keyValue, clock, random, log, signal, holder })
 * const held = lease.held(2 * SECOND)
 */
export function createLeaseManager (options: LeaseManagerOptions): LeaseManager {
  const { keyValue, clock, random, log, signal, terms = PLANNER_LEASE } = options
  const holder = createLeaseHolder()
  let lease: { readonly id: LeaseId } | undefined
  let holding = false
  let sleepController: AbortController | undefined
  let lastRefresh: Promise<void> = Promise.resolve()

  /**
   * Runs the calls one at a time. Failure guarded against: two concurrent calls grant two leases. The lease that the key
   * is not attached to is renewed, so the key expires while this process still considers itself the holder.
   */
  function refresh (): Promise<void> {
    const nextRefresh = lastRefresh.then(refreshOnce, refreshOnce)
    lastRefresh = nextRefresh
    return nextRefresh
  }

  async function refreshOnce (): Promise<void> {
    if (lease !== undefined && isHeld()) await renew(lease.id)
    if (!isHeld() && mayAcquire()) await acquire()
    logChange()
  }

  function isHeld (): boolean {
    return holder.held(clock.now(), 0) !== undefined
  }

  async function renew (id: LeaseId): Promise<void> {
    const sentAt = clock.now()
    const remaining = await keyValue.keepAlive(id, signal)
    if (remaining > 0) return holder.renewed(sentAt, remaining)
    holder.lost()
    lease = undefined
  }

  function mayAcquire (): boolean {
    return options.isCandidate?.() ?? true
  }

  async function acquire (): Promise<void> {
    const current = await keyValue.get(terms.key, signal)
    // The answer may have revealed a change after which this process may not acquire the lease, such as a new epoch.
    if (!mayAcquire()) return
    if (current !== undefined && !current.value.startsWith(keyValueOf(undefined))) return
    if (current !== undefined && current.value === keyValueOf(lease?.id) && await resumeOwnLease(current.revision)) return
    // A key of this process whose lease no longer exists was restored with a backup of the service. It is overwritten.
    const sentAt = clock.now()
    const id = await keyValue.grantLease(terms.time, signal)
    lease = { id }
    const result = await keyValue.compareAndSwap(terms.key, current?.revision ?? ABSENT, keyValueOf(id), { lease: id, signal })
    if (result.kind === 'swapped') holder.taken(result.revision, sentAt, terms.time)
  }

  /**
   * Takes over a lease that this process already holds without knowing. Failure guarded against: the reply to the swap that
   * acquired the lease is lost, and the process waits until its own lease expires. The key contains the id of the lease that
   * this process was granted, so the key is its own. Only a renewal shows the remaining time.
   *
   * @returns whether the lease is still valid
   */
  async function resumeOwnLease (fencing: number): Promise<boolean> {
    if (lease === undefined) return false
    const sentAt = clock.now()
    const remaining = await keyValue.keepAlive(lease.id, signal)
    if (remaining > 0) holder.taken(fencing, sentAt, remaining)
    return remaining > 0
  }

  /** Value of the key. It differs between incarnations, and between leases of one incarnation. */
  function keyValueOf (id: LeaseId | undefined): string {
    return `${options.holder}/${id ?? ''}`
  }

  function logChange (): void {
    const held = holder.held(clock.now(), 0)
    if (held !== undefined && !holding) {
      log.info(`${terms.name}-taken`, { fencing: held.fencing })
      sleepController?.abort()
    }
    if (held === undefined && holding) log.warn(`${terms.name}-lost`)
    holding = held !== undefined
  }

  async function run (): Promise<void> {
    while (!signal.aborted) {
      const failed = await refresh().then(() => false, () => true)
      logChange()
      // After a failure, this process may hold a lease without knowing. It checks again before that lease expires.
      const renewsSoon = holding || (failed && lease !== undefined)
      const period = renewsSoon ? terms.renewalInterval : terms.waiting
      // Failure guarded against: `refresh` is called when the key is seen to be deleted, and acquires the lease during this
      // sleep. The lease expires before the next renewal, and the holder changes again and again. Acquiring it ends the sleep.
      sleepController = new AbortController()
      await clock.sleep(period * (1 - JITTER * random.fraction()), AbortSignal.any([signal, sleepController.signal])).catch(() => {})
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
