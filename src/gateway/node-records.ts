/** Registration of this node in the store, and the records of all registered nodes. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { createDepartedNodes } from '../gossip/index.js'
import { addressSchema } from '../identifiers.js'
import { readJson } from '../json.js'
import type { KeyValueEntry, LeaseId } from '../protocols/key-value.js'
import { followPrefix, NODE_RECORD_SETTINGS } from './follow.js'
import type { PrefixSubscription, StoreContext } from './follow.js'
import { createUnusableEntries } from './unusable-entries.js'

/** Record that a node writes about itself. */
export const nodeRecordSchema = z.object({
  name: z.string(),
  /** Differs for each start of the process. */
  incarnation: z.string(),
  failureDomain: z.string(),
  /** Address for callers, as host and port. */
  front: addressSchema,
  /** Address for other nodes, as host and port. */
  peer: addressSchema,
  /** Number of processor cores that the node may use. */
  processor: z.number().positive().default(1)
})
export type NodeRecord = z.input<typeof nodeRecordSchema> & { readonly processor: number }

/** Records of the registered nodes. */
export interface NodeRecords {
  /** All registered nodes, including this node once the store has its record. */
  /** The same array until a record changes. */
  all (): readonly NodeRecord[]
  /** Number of nodes whose records were removed recently and that may still be serving. */
  departedCount (): number
  /** Whether the records have been read at least once. */
  isLoaded (): boolean
  /** Removes this node's record at a planned stop and ends the registration. */
  withdraw (): Promise<void>
  readonly subscription: PrefixSubscription
}

/** Callbacks of the node records. */
export interface NodeRecordsHandlers {
  /** Called with an entry of the fleet prefix that is not a node record. */
  readonly onOtherEntry: (entry: KeyValueEntry) => void
  /** Called when a key of the fleet prefix that is not a node record has been deleted. */
  readonly onOtherKeyDeleted: (key: string) => void
  /** Called when all records have been read for the first time. */
  readonly onLoaded: () => void
}

/** Prefix that all nodes follow: node records and the key of the duties' lease. */
const FLEET_PREFIX = 'hornbeamgap/fleet/'

const NODE_PREFIX = `${FLEET_PREFIX}nodes/`

/** Lease time of a record. A dead node's record is removed after this time; a node that is cut off from the store for less keeps its record. */
const REGISTRATION_LEASE_TIME: Milliseconds = 6 * SECOND
const RENEWAL_PERIOD: Milliseconds = 2 * SECOND

/** Maximum number of characters of a key or a value in a log line. */
const MAX_LOGGED_LENGTH = 100

/**
 * Pause after a failed registration or renewal, which doubles with each further failure in a row. Failure guarded against:
 * during an outage of the store, or while the store rejects nodes, every node keeps calling, and every call is charged for.
 * The maximum is a third of the lease time of a record.
 */
const MIN_RETRY_PAUSE: Milliseconds = 500
const MAX_RETRY_PAUSE: Milliseconds = 2 * SECOND

/**
 * Registers this node, renews its lease until the signal aborts or the node withdraws, and follows the node records.
 *
 * @param own this node's record
 * @param handlers called when the records or the other keys of the prefix change
 * @example
 * const nodes = startNodeRegistration(context, { name, incarnation, failureDomain, front, peer, processor }, { onOtherKeyDeleted, onLoaded })
 */
export function startNodeRegistration (context: StoreContext, own: NodeRecord, handlers: NodeRecordsHandlers): NodeRecords {
  const { store, clock, log, signal } = context
  const records = new Map<string, NodeRecord>()
  /** Copy of the records for readers; undefined after a change. */
  let list: readonly NodeRecord[] | undefined
  let lease: LeaseId | undefined
  let isLoaded = false
  const withdrawal = new AbortController()
  const departedNodes = createDepartedNodes()
  const unusable = createUnusableEntries()

  async function register (): Promise<void> {
    const granted = await store.grantLease(REGISTRATION_LEASE_TIME, signal)
    if (withdrawal.signal.aborted) return
    await store.put(NODE_PREFIX + own.name, JSON.stringify(own), { lease: granted, signal })
    // Failure guarded against: the node withdraws while the store writes the record. The withdrawal finds no lease to revoke,
    // and the record would remain until its lease expires.
    if (withdrawal.signal.aborted) return store.revokeLease(granted, signal)
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

  async function runRegistration (): Promise<void> {
    let retryPause = MIN_RETRY_PAUSE
    while (!signal.aborted && !withdrawal.signal.aborted) {
      const failed = await renew().then(() => false, (error) => {
        log.warn('node-registration-failed', { error: String(error) })
        return true
      })
      await clock.sleep(failed ? retryPause : RENEWAL_PERIOD, signal).catch(() => {})
      retryPause = failed ? Math.min(MAX_RETRY_PAUSE, retryPause * 2) : MIN_RETRY_PAUSE
    }
  }

  runRegistration().catch((error) => log.error('node-registration-ended', { error: String(error) }))

  const subscription = followPrefix(context, FLEET_PREFIX, {
    replace: (entries) => {
      const previousNames = [...records.keys()]
      records.clear()
      list = undefined
      unusable.retainOnly(new Set(entries.map(({ key }) => key)))
      for (const entry of entries) putRecord(entry)
      for (const name of previousNames) if (!records.has(name)) departedNodes.gone(name, clock.now())
      if (isLoaded) return
      isLoaded = true
      handlers.onLoaded()
    },
    put: putRecord,
    remove: (key) => {
      if (!key.startsWith(NODE_PREFIX)) return handlers.onOtherKeyDeleted(key)
      unusable.forget(key)
      removeRecord(key.slice(NODE_PREFIX.length))
    }
  }, NODE_RECORD_SETTINGS)

  function putRecord (entry: KeyValueEntry): void {
    const { key, value } = entry
    if (!key.startsWith(NODE_PREFIX)) return handlers.onOtherEntry(entry)
    const name = key.slice(NODE_PREFIX.length)
    const record = readJson(nodeRecordSchema, value)
    if (record?.name !== name) return rejectRecord(entry, name)
    unusable.forget(key)
    if (records.get(name)?.incarnation !== record.incarnation) log.info('node-known', { node: name, incarnation: record.incarnation, front: record.front })
    records.set(name, record)
    list = undefined
    departedNodes.returned(name)
  }

  /**
   * Failure guarded against: another writer spoils the record of a node, which no longer ends with the node's lease, and callers are
   * directed to the node after its end. The other nodes know a node that serves from its states. It writes its own record again.
   */
  function rejectRecord ({ key, value }: KeyValueEntry, name: string): void {
    const logged = value.slice(0, MAX_LOGGED_LENGTH)
    if (unusable.note(key, logged)) log.warn('node-record-unreadable', { key: key.slice(0, MAX_LOGGED_LENGTH), value: logged })
    removeRecord(name)
    if (name === own.name) lease = undefined
  }

  function removeRecord (name: string): void {
    if (!records.delete(name)) return
    list = undefined
    departedNodes.gone(name, clock.now())
    log.info('node-gone', { node: name })
  }

  return {
    all: () => (list ??= [...records.values()]),
    departedCount: () => departedNodes.count(clock.now()),
    isLoaded: () => isLoaded,
    withdraw: async () => {
      withdrawal.abort()
      if (lease !== undefined) await store.revokeLease(lease)
    },
    subscription
  }
}
