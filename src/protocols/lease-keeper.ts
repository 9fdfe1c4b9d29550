/**
 * A lease on a task, kept in the key-value service. The key exists while a process holds it; the revision
 * at which it was written is the fencing number, which the service only ever raises.
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

/** Key of the planners' lease. */
export const PLANNER_KEY = 'hornbeamgap/planner/lease'

/** A lease as one of those who may hold it sees it. */
export interface LeaseKeeper extends Leadership {
  /** Takes or renews the lease now. */
  refresh (): Promise<void>
  /** Gives the lease up at a planned stop, so that another needn't wait for it to lapse. */
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
  /** This process may take the lease; always, unless said otherwise. One that holds it keeps it. */
  readonly isCandidate?: () => boolean
  /** The planners' lease unless said otherwise. */
  readonly terms?: LeaseTerms
}

/** Which lease, and its times. */
export interface LeaseTerms {
  /** Name in log lines. */
  readonly name: string
  readonly key: string
  /** Time after which the service gives the lease to another. */
  readonly time: Milliseconds
  /** Longest pause of a holder between two renewals. */
  readonly renewal: Milliseconds
  /** Longest pause of those who wait between two looks at the key. */
  readonly waiting: Milliseconds
}

/** Time after which the service gives the lease to another planner. */
export const LEASE_TIME: Milliseconds = 15 * SECOND

/** At size, planners that wait look at the key as rarely as the lease lapses. */
const PLANNER_LEASE: LeaseTerms = { name: 'planner-lease', key: PLANNER_KEY, time: LEASE_TIME, renewal: 5 * SECOND, waiting: 15 * SECOND }

const VARIATION = 0.4

/**
 * @example
 * const lease = createLeaseKeeper({ keyValue, clock, random, log, signal, holder })
 * const held = lease.held(2 * SECOND)
 */
export function createLeaseKeeper (options: LeaseKeeperOptions): LeaseKeeper {
  const { keyValue, clock, random, log, signal, terms = PLANNER_LEASE } = options
  const holder = createLeaseHolder()
  let lease: { readonly id: LeaseId } | undefined
  let holding = false
  let nap: AbortController | undefined
  let last: Promise<void> = Promise.resolve()

  /**
   * Failure guarded against: two calls at once grant two leases, and the one that isn't on the key is
   * renewed while the key lapses under a process that takes itself for the holder. One call at a time.
   */
  function refresh (): Promise<void> {
    const turn = last.then(refreshOnce, refreshOnce)
    last = turn
    return turn
  }

  async function refreshOnce (): Promise<void> {
    if (lease !== undefined && isHeld()) await renew(lease.id)
    if (!isHeld() && mayTake()) await take()
    tell()
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

  function mayTake (): boolean {
    return options.isCandidate?.() ?? true
  }

  async function take (): Promise<void> {
    const present = await keyValue.get(terms.key, signal)
    // The answer may have told of something that changes it.
    if (!mayTake()) return
    if (present !== undefined && !present.value.startsWith(valueOf(undefined))) return
    if (present !== undefined && present.value === valueOf(lease?.id) && await takeBack(present.revision)) return
    // Its own key under a lease that is gone is of before the service came back from a backup.
    const sentAt = clock.now()
    const id = await keyValue.grantLease(terms.time, signal)
    lease = { id }
    const result = await keyValue.compareAndSwap(terms.key, present?.revision ?? ABSENT, valueOf(id), { lease: id, signal })
    if (result.kind === 'swapped') holder.taken(result.revision, sentAt, terms.time)
  }

  /**
   * Failure guarded against: the reply of the swap that took the lease is lost, and the planner would
   * wait for its own lease to lapse. The key names the lease that this process granted itself, so it
   * is its own; how long it still has is known only by a renewal.
   */
  async function takeBack (fencing: number): Promise<boolean> {
    if (lease === undefined) return false
    const sentAt = clock.now()
    const remaining = await keyValue.keepAlive(lease.id, signal)
    if (remaining > 0) holder.taken(fencing, sentAt, remaining)
    return remaining > 0
  }

  /** Two lives of one process, or two leases of one life, never write the same value. */
  function valueOf (id: LeaseId | undefined): string {
    return `${options.holder}/${id ?? ''}`
  }

  function tell (): void {
    const held = holder.held(clock.now(), 0)
    if (held !== undefined && !holding) {
      log.info(`${terms.name}-taken`, { fencing: held.fencing })
      nap?.abort()
    }
    if (held === undefined && holding) log.warn(`${terms.name}-lost`)
    holding = held !== undefined
  }

  async function run (): Promise<void> {
    while (!signal.aborted) {
      const failed = await refresh().then(() => false, () => true)
      tell()
      // A lease that may be this planner's without its knowing is looked for before it lapses.
      const soon = holding || (failed && lease !== undefined)
      const period = soon ? terms.renewal : terms.waiting
      // Failure guarded against: a lease that is taken between two looks, when its key is seen to vanish, lapses before the
      // next look renews it, and the duty goes from hand to hand. Taking it ends the pause.
      nap = new AbortController()
      await clock.sleep(period * (1 - VARIATION * random.fraction()), AbortSignal.any([signal, nap.signal])).catch(() => {})
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
