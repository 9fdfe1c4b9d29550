/** This node's record in the key-value service, under its own lease. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import type { KeyValue, LeaseId } from '../protocols/key-value.js'
import type { Random } from '../random.js'

/** Prefix of the nodes' records, one key per incarnation. */
export const NODE_PREFIX = 'hornbeamgap/nodes/'

/** The record's place in the service. */
export interface Registration {
  /** Whether the service holds the record as it is, as far as this node knows. */
  registered (): boolean
  /** Renews the lease, or registers when it has lapsed. */
  renew (): Promise<void>
  /** Writes the record again after it changed. */
  write (): Promise<void>
  /** Removes the record at once. */
  withdraw (): Promise<void>
}

/** Renewals a second of the whole fleet: what the key-value service spends on liveness. */
const RENEWALS_PER_SECOND = 25

const SHORTEST_PERIOD: Milliseconds = 5 * SECOND

/** Renewals in the time of a lease: two may be lost. */
const RENEWALS_PER_LEASE = 3

/** A lease is replaced when the fleet has outgrown it by this factor. */
const OUTGROWN = 1.5

/** Share of the period by which each pause is varied, so that nodes started together drift apart. */
const VARIATION = 0.4

/**
 * Time between two renewals: it grows with the fleet, so that the service's rate doesn't.
 *
 * @example
 * renewalPeriod(370) // 14_800
 */
export function renewalPeriod (fleet: number): Milliseconds {
  return Math.max(SHORTEST_PERIOD, fleet / RENEWALS_PER_SECOND * SECOND)
}

/**
 * @param options.fleet number of nodes known
 * @example
 * const registration = createRegistration({ record: () => own, fleet: () => 8, keyValue, clock, random, log, signal })
 */
export function createRegistration (options: { record: () => NodeRecord, fleet: () => number, keyValue: KeyValue, clock: Clock, random: Random, log: Log, signal: AbortSignal }): Registration {
  const { keyValue, clock, random, log, signal } = options
  let lease: { id: LeaseId, time: Milliseconds } | undefined
  let written: NodeRecord | undefined
  let available = true

  async function register (): Promise<void> {
    const time = renewalPeriod(options.fleet()) * RENEWALS_PER_LEASE
    const id = await keyValue.grantLease(time, signal)
    lease = { id, time }
    await write()
  }

  async function write (): Promise<void> {
    if (lease === undefined) return register()
    const record = options.record()
    await keyValue.put(NODE_PREFIX + record.incarnation, JSON.stringify(record), { lease: lease.id, signal })
    written = record
  }

  function outgrown (): boolean {
    return lease === undefined || renewalPeriod(options.fleet()) * RENEWALS_PER_LEASE > lease.time * OUTGROWN
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
    if (lease === undefined || outgrown()) return register()
    const remaining = await keyValue.keepAlive(lease.id, signal)
    if (remaining > 0 && written === options.record()) return
    if (remaining > 0) return write()
    written = undefined
    await register()
  }

  async function run (): Promise<void> {
    while (!signal.aborted) {
      await renew().catch(() => {})
      const period = lease === undefined ? SHORTEST_PERIOD : lease.time / RENEWALS_PER_LEASE
      const pause = period * (1 - VARIATION * random.fraction())
      await clock.sleep(pause, signal).catch(() => {})
    }
  }

  run().catch(() => {})

  return {
    renew,
    write,
    registered: () => available && written === options.record(),
    withdraw: async () => {
      if (lease !== undefined) await keyValue.revokeLease(lease.id)
    }
  }
}
