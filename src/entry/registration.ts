/** Keeps the record of this node in the key-value service, under a lease. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import type { KeyValue, LeaseId } from '../protocols/key-value.js'
import type { Random } from '../random.js'

/** Prefix of the keys of node records. There is one key per incarnation. */
export const NODE_PREFIX = 'hornbeamgap/nodes/'

/** Registration of one node in the key-value service. */
export interface Registration {
  /** Whether the service has stored the present record, as far as this node knows. */
  registered (): boolean
  /** Renews the lease, or registers again if the lease has expired. Rejects if the service does not answer. */
  renew (): Promise<void>
  /** Writes the record after a change. Rejects if the service does not answer. */
  write (): Promise<void>
  /** Revokes the lease, which removes the record at once. */
  withdraw (): Promise<void>
}

/** Renewals per second of all nodes together. This limits the load on the key-value service. */
const RENEWALS_PER_SECOND = 25

/** Minimum time between two renewals of one node, before jitter. */
const MIN_RENEWAL_INTERVAL: Milliseconds = 5 * SECOND

/** Number of renewals within the duration of a lease. Two of them may be lost. */
const RENEWALS_PER_LEASE = 3

/** A lease is replaced if the number of nodes requires a duration that is longer by more than this factor. */
const MAX_LEASE_GROWTH = 1.5

/**
 * Maximum fraction by which each pause is shortened at random, so that nodes started together do not renew at the same
 * time.
 */
const JITTER_FRACTION = 0.4

/**
 * Time between two renewals of one node. It grows with the number of nodes, so that the total rate of renewals stays
 * constant.
 *
 * @param fleetSize number of nodes
 * @example
 * renewalInterval(370) // 14_800
 */
export function renewalInterval (fleetSize: number): Milliseconds {
  return Math.max(MIN_RENEWAL_INTERVAL, fleetSize / RENEWALS_PER_SECOND * SECOND)
}

/**
 * Registers this node and renews its lease until the signal is aborted.
 *
 * @param options.record present record of this node
 * @param options.fleetSize number of known nodes
 * @example
 * const registration = createRegistration({ record: () => own, fleetSize: () => 8, keyValue, clock, random, log, signal })
 */
export function createRegistration (options: { record: () => NodeRecord, fleetSize: () => number, keyValue: KeyValue, clock: Clock, random: Random, log: Log, signal: AbortSignal }): Registration {
  const { keyValue, clock, random, log, signal } = options
  let lease: { id: LeaseId, time: Milliseconds } | undefined
  let storedRecord: NodeRecord | undefined
  let available = true

  async function register (): Promise<void> {
    const duration = renewalInterval(options.fleetSize()) * RENEWALS_PER_LEASE
    const id = await keyValue.grantLease(duration, signal)
    lease = { id, time: duration }
    await write()
  }

  /** Writes the present record under the lease, or registers if there is no lease. */
  async function write (): Promise<void> {
    if (lease === undefined) return register()
    const record = options.record()
    await keyValue.put(NODE_PREFIX + record.incarnation, JSON.stringify(record), { lease: lease.id, signal })
    storedRecord = record
  }

  function isLeaseTooShort (): boolean {
    return lease === undefined || renewalInterval(options.fleetSize()) * RENEWALS_PER_LEASE > lease.time * MAX_LEASE_GROWTH
  }

  async function renew (): Promise<void> {
    try {
      await renewOnce()
      if (!available) log.info('registration-back')
      available = true
    } catch (error) {
      if (available && !signal.aborted) log.warn('registration-failed', { error: String(error) })
      available = false
      throw error
    }
  }

  async function renewOnce (): Promise<void> {
    if (lease === undefined || isLeaseTooShort()) return register()
    const remaining = await keyValue.keepAlive(lease.id, signal)
    if (remaining > 0 && storedRecord === options.record()) return
    if (remaining > 0) return write()
    storedRecord = undefined
    await register()
  }

  async function runRenewals (): Promise<void> {
    while (!signal.aborted) {
      await renew().catch(() => {})
      const interval = lease === undefined ? MIN_RENEWAL_INTERVAL : lease.time / RENEWALS_PER_LEASE
      const pause = interval * (1 - JITTER_FRACTION * random.fraction())
      await clock.sleep(pause, signal).catch(() => {})
    }
  }

  runRenewals().catch(() => {})

  return {
    renew,
    write,
    registered: () => available && storedRecord === options.record(),
    withdraw: async () => {
      if (lease !== undefined) await keyValue.revokeLease(lease.id)
    }
  }
}
