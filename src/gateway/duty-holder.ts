/**
 * The duties of one node at a time: a lease of the store with the fencing number that goes with each call.
 *
 * Failure guarded against: a node loses the duties, another acts, and the first takes them back within the
 * time in which both may still be acting; their calls would alternate. A node that takes the lease waits
 * until its own last call, or its own start if it may have held the lease in an earlier life, is older
 * than the lease's time. So does a node that takes it after the store came back from a copy without it: the
 * holder of before may not know yet.
 */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { createLeaseKeeper } from '../protocols/lease-keeper.js'
import { epochOf } from '../revision.js'
import type { FollowContext } from './follow.js'
import type { DutyProof } from './ports.js'

/** The duties as this node holds them. */
export interface DutyHolder {
  /** What to call with now; undefined while another node holds the duties. */
  proof (): DutyProof | undefined
  /** The platform has seen a higher number: nothing more under this one. */
  superseded (proof: DutyProof): void
  /** A call is made now. */
  acted (): void
  /** The lease's key was seen to vanish. */
  vacant (): void
  release (): Promise<void>
}

/** What the holder needs. */
export interface DutyHolderOptions {
  readonly context: FollowContext
  /** Name of this node, which calls carry. */
  readonly node: string
  readonly incarnation: string
  readonly leaseTime: Milliseconds
  /** No life of any node has acted before this one started. */
  readonly firstStart: boolean
  /** This node may take the duties over; where it may not, others do. */
  readonly isCandidate: () => boolean
}

/** Key of the lease. */
export const DUTY_KEY = 'hornbeamgap/fleet/duty'

/** A call is made only if the lease holds for this much longer: what a call takes to arrive. */
const MARGIN: Milliseconds = 300

/** Nodes that see the key vanish ask for it spread over this time, so that not all call at once. */
const RACE_SPREAD: Milliseconds = 250

/** Part of the lease's time that others have before those that have never acted. */
const HEAD_START_PART = 0.5

/** Nodes look at the key this often even if the watch shows nothing. */
const WAITING_PERIOD: Milliseconds = 15_000

/**
 * @example
 * const duty = createDutyHolder({ context, node, incarnation, leaseTime: 3 * SECOND, firstStart: false })
 * const proof = duty.proof()
 */
export function createDutyHolder (options: DutyHolderOptions): DutyHolder {
  const { context, node, incarnation, leaseTime } = options
  const { clock, random, log, signal, store } = context
  let lastActed = options.firstStart ? -Infinity : clock.now()
  let fencing = 0
  let mayActFrom: Milliseconds = 0
  let supersededUpTo = 0
  let restoredAt: Milliseconds = -Infinity
  const lease = createLeaseKeeper({
    keyValue: store,
    clock,
    random,
    log,
    signal,
    holder: incarnation as Incarnation,
    isCandidate: () => options.isCandidate() && headStart() === 0,
    terms: { name: 'duty', key: DUTY_KEY, time: leaseTime, renewal: leaseTime / 3, waiting: WAITING_PERIOD }
  })

  /**
   * What is left of the time after a return of the store in which only those that have acted ask for the lease: they know
   * what they did, which the store may have lost, and nobody acts for a lease's time anyway.
   */
  function headStart (): Milliseconds {
    return fencing === 0 ? Math.max(0, restoredAt + leaseTime * HEAD_START_PART - clock.now()) : 0
  }

  /** Asks for the lease, which nobody holds, at another moment than the other nodes. */
  function race (): void {
    clock.sleep(headStart() + random.fraction() * RACE_SPREAD, signal).then(lease.refresh).catch(() => {})
  }

  store.epochs.onRestore(() => {
    restoredAt = clock.now()
    race()
  })

  return {
    proof: () => {
      const held = lease.held(MARGIN)
      if (held === undefined || held.fencing <= supersededUpTo) return undefined
      if (epochOf(held.fencing) !== store.epochs.current()) return undefined
      if (held.fencing !== fencing) {
        fencing = held.fencing
        mayActFrom = Math.max(lastActed, restoredAt) + leaseTime
      }
      return clock.now() < mayActFrom ? undefined : { holder: node, fencing }
    },
    superseded: (proof) => {
      supersededUpTo = Math.max(supersededUpTo, proof.fencing)
      log.warn('duty-superseded', { fencing: proof.fencing })
      lease.release().catch((error) => log.info('duty-release-failed', { error: String(error) }))
    },
    acted: () => { lastActed = clock.now() },
    vacant: race,
    release: lease.release
  }
}
