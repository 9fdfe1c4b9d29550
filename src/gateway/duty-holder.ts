/**
 * Decides which node performs the duties: a lease in the store, with a fencing number that each call carries.
 *
 * Failure guarded against: a node loses the lease, a second node makes calls, and the first node acquires the lease again
 * while calls of both may still be on the way, so that their calls alternate. A node that acquires the lease therefore
 * makes no call until one lease time after its own last call, or after its own start if an earlier incarnation may have
 * held the lease. The same wait applies after the store is restored from a backup that lacks the lease, since the
 * previous holder may not know yet that it has lost the lease.
 */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { createLeaseManager } from '../protocols/lease-manager.js'
import { epochOf } from '../revision.js'
import type { StoreContext } from './follow.js'
import type { DutyProof } from './ports.js'

/** This node's hold on the duties. */
export interface DutyHolder {
  /** Proof to send with a call made now; undefined while this node may not make calls. */
  proof (): DutyProof | undefined
  /** Reports that the platform has seen a higher fencing number. No further call is made under this proof. */
  superseded (proof: DutyProof): void
  /** Records that a call is made now. */
  recordCall (): void
  /** Tries to acquire the lease soon. To be called when the key of the lease has been deleted or may never have existed. */
  onLeaseDeleted (): void
  /** Gives up the lease, so that another node need not wait until it expires. */
  release (): Promise<void>
}

/** Dependencies of {@link createDutyHolder}. */
export interface DutyHolderOptions {
  readonly context: StoreContext
  /** Name of this node, which the proof carries. */
  readonly node: string
  readonly incarnation: string
  readonly leaseTime: Milliseconds
  /** Whether no incarnation of any node has made a call before this node started. */
  readonly firstStart: boolean
  /** Whether this node may acquire the lease. */
  readonly isCandidate: () => boolean
}

/** Store key of the lease. */
export const DUTY_KEY = 'hornbeamgap/fleet/duty'

/** Minimum remaining time of the lease at which a call is made: the time that a call takes to arrive. */
const CALL_MARGIN: Milliseconds = 300

/** Maximum random delay before acquiring a lease that has ended, so that not all nodes call the store at once. */
const ACQUIRE_JITTER: Milliseconds = 250

/** Fraction of the lease time after a restore of the store during which only former holders acquire the lease. */
const FORMER_HOLDER_FRACTION = 0.5

/** Time between two reads of the key by a node without the lease, in case the watch has missed its deletion. */
const KEY_CHECK_PERIOD: Milliseconds = 15_000

/**
 * Creates this node's hold on the duties and starts trying to acquire the lease while this node is a candidate.
 *
 * @example
 * const duty = createDutyHolder({ context, node, incarnation, leaseTime: 3 * SECOND, firstStart: false, isCandidate: () => true })
 * const proof = duty.proof()
 */
export function createDutyHolder (options: DutyHolderOptions): DutyHolder {
  const { context, node, incarnation, leaseTime } = options
  const { clock, random, log, signal, store } = context
  let lastCallAt = options.firstStart ? -Infinity : clock.now()
  let fencing = 0
  let callsAllowedFrom: Milliseconds = 0
  let highestSuperseded = 0
  let restoredAt: Milliseconds = -Infinity
  const lease = createLeaseManager({
    keyValue: store,
    clock,
    random,
    log,
    signal,
    holder: incarnation as Incarnation,
    isCandidate: () => options.isCandidate() && acquireDelay() === 0,
    terms: { name: 'duty', key: DUTY_KEY, time: leaseTime, renewalInterval: leaseTime / 3, waiting: KEY_CHECK_PERIOD }
  })

  /**
   * Remaining delay before this node may acquire the lease. After the store is restored from a backup, former holders go
   * first, since they know about calls that the store may have lost. This delays no call, because no node makes a call
   * within one lease time of the restore.
   */
  function acquireDelay (): Milliseconds {
    return fencing === 0 ? Math.max(0, restoredAt + leaseTime * FORMER_HOLDER_FRACTION - clock.now()) : 0
  }

  /** Tries to acquire the free lease after a random delay, so that the nodes do not call at the same time. */
  function acquireAfterDelay (): void {
    clock.sleep(acquireDelay() + random.fraction() * ACQUIRE_JITTER, signal).then(lease.refresh).catch(() => {})
  }

  store.epochs.onRestore(() => {
    restoredAt = clock.now()
    acquireAfterDelay()
  })

  return {
    proof: () => {
      const held = lease.held(CALL_MARGIN)
      if (held === undefined || held.fencing <= highestSuperseded) return undefined
      if (epochOf(held.fencing) !== store.epochs.current()) return undefined
      if (held.fencing !== fencing) {
        fencing = held.fencing
        callsAllowedFrom = Math.max(lastCallAt, restoredAt) + leaseTime
      }
      return clock.now() < callsAllowedFrom ? undefined : { holder: node, fencing }
    },
    superseded: (proof) => {
      highestSuperseded = Math.max(highestSuperseded, proof.fencing)
      log.warn('duty-superseded', { fencing: proof.fencing })
      lease.release().catch((error) => log.info('duty-release-failed', { error: String(error) }))
    },
    recordCall: () => { lastCallAt = clock.now() },
    onLeaseDeleted: acquireAfterDelay,
    release: lease.release
  }
}
