/** The nodes of the system as they register themselves in the store. */
import { z } from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { readJson } from '../json.js'
import type { LeaseId } from '../protocols/key-value.js'
import { follow, PROMPT_PAUSES } from './follow.js'
import type { FollowContext, Following } from './follow.js'

/** What a node tells of itself. */
export const nodeRecordSchema = z.object({
  name: z.string(),
  /** New with each start of the process. */
  incarnation: z.string(),
  failureDomain: z.string(),
  /** Address for callers. */
  front: z.string(),
  /** Address for other nodes. */
  peer: z.string()
})
export type NodeRecord = z.infer<typeof nodeRecordSchema>

/** Nodes that are registered. */
export interface NodeRecords {
  /** By name; this node included once the store has it. */
  all (): readonly NodeRecord[]
  /** Takes this node out, at a planned stop. */
  withdraw (): Promise<void>
  readonly following: Following
}

const PREFIX = 'hornbeamgap/nodes/'

/** A node that died is forgotten after this time; one that is cut off from the store for less keeps its place. */
const REGISTRATION_TIME: Milliseconds = 6 * SECOND
const RENEWAL_PERIOD: Milliseconds = 2 * SECOND

/** Pause after a registration that failed. */
const RETRY_PERIOD: Milliseconds = 500

/**
 * @param own this node's record
 * @example
 * const nodes = keepNodeRecords(context, { name, incarnation, failureDomain, front, peer })
 */
export function keepNodeRecords (context: FollowContext, own: NodeRecord): NodeRecords {
  const { store, clock, log, signal } = context
  const records = new Map<string, NodeRecord>()
  let lease: LeaseId | undefined
  const withdrawal = new AbortController()

  async function register (): Promise<void> {
    const granted = await store.grantLease(REGISTRATION_TIME, signal)
    if (withdrawal.signal.aborted) return
    await store.put(PREFIX + own.name, JSON.stringify(own), { lease: granted, signal })
    lease = granted
    log.info('node-registered', { lease: granted })
  }

  async function renew (): Promise<void> {
    if (lease === undefined) return register()
    if (await store.keepAlive(lease, signal) > 0) return
    log.warn('node-registration-lapsed', { lease })
    lease = undefined
    await register()
  }

  async function run (): Promise<void> {
    while (!signal.aborted && !withdrawal.signal.aborted) {
      const failed = await renew().then(() => false, (error) => {
        log.warn('node-registration-failed', { error: String(error) })
        return true
      })
      await clock.sleep(failed ? RETRY_PERIOD : RENEWAL_PERIOD, signal).catch(() => {})
    }
  }

  run().catch((error) => log.error('node-registration-ended', { error: String(error) }))

  const following = follow(context, PREFIX, {
    replace: (entries) => {
      records.clear()
      for (const entry of entries) take(entry.value)
    },
    put: (entry) => take(entry.value),
    remove: (key) => {
      const name = key.slice(PREFIX.length)
      if (records.delete(name)) log.info('node-gone', { node: name })
    }
  }, PROMPT_PAUSES)

  function take (text: string): void {
    const record = readJson(nodeRecordSchema, text)
    if (record === undefined) return log.warn('node-record-unreadable', { text: text.slice(0, 100) })
    if (records.get(record.name)?.incarnation !== record.incarnation) log.info('node-known', { node: record.name, incarnation: record.incarnation, front: record.front })
    records.set(record.name, record)
  }

  return {
    all: () => [...records.values()],
    withdraw: async () => {
      withdrawal.abort()
      if (lease !== undefined) await store.revokeLease(lease)
    },
    following
  }
}
