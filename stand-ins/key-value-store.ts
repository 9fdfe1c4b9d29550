/**
 * State of the key-value stand-in: revisions, compare-and-swap, leases that expire by the given clock,
 * and subscriptions. The HTTP server and the in-process client share this module, which has no network code.
 */
import type { Clock, Milliseconds } from '../src/clock.js'
import { DEFAULT_EPOCH } from '../src/protocols/epochs.js'
import { ABSENT } from '../src/protocols/key-value.js'
import type { KeySwap, KeyValueChange, KeyValueEntry, KeyValueListing, LeaseId, SwapAllResult, SwapResult } from '../src/protocols/key-value.js'

/** Operations of the store. All are synchronous. */
export interface KeyValueStore {
  get (key: string): KeyValueEntry | undefined
  /** Entries of the keys from `from` up to but excluding `end`, in order of the keys. An empty `end` means the single key `from`. */
  list (from: string, end: string): KeyValueListing
  /** Writes a value and returns the new revision. */
  put (key: string, value: string, lease?: LeaseId): number
  /** Writes a value if the key has the expected revision; {@link ABSENT} means that the key does not exist. */
  compareAndSwap (key: string, expectedRevision: number, value: string, lease?: LeaseId): SwapResult
  /** Writes all values if all keys have their expected revisions, and none otherwise. */
  compareAndSwapAll (swaps: readonly KeySwap[]): SwapAllResult
  /** Deletes a key if it has the expected revision. */
  compareAndDelete (key: string, expectedRevision: number): SwapResult
  grantLease (timeToLive: Milliseconds): LeaseId
  /** Renews a lease and returns its time to live, or 0 if the lease has expired. */
  keepAlive (lease: LeaseId): Milliseconds
  /** Ends a lease and removes its keys. */
  revokeLease (lease: LeaseId): void
  /**
   * Calls the listener with the changes of a key range since a revision, past ones included. Calls
   * `onDisconnect` if a restore ends the subscription. Returns a function that ends the subscription.
   */
  subscribe (from: string, end: string, fromRevision: number, listener: (changes: readonly KeyValueChange[]) => void, onDisconnect?: () => void): () => void
  /**
   * Removes expired leases with their keys. Reads, writes and keep-alives call it first; the owner of the
   * store calls it when time passes without an operation.
   */
  expire (): void
  revision (): number
  /** Returns a copy of the current state. */
  backUp (): Backup
  /**
   * Restores the store from a backup: later writes are lost, and a new epoch begins. Open subscriptions are
   * disconnected (`cut`), or stay open and receive nothing more (`silent`).
   */
  restore (backup: Backup, watches?: 'cut' | 'silent'): void
  /** Current epoch. Increases by one with each restore. */
  epoch (): number
}

/** Backup of a store. */
export interface Backup {
  readonly revision: number
  readonly values: ReadonlyMap<string, StoredValue>
  readonly leases: ReadonlyMap<LeaseId, StoredLease>
  readonly leaseCount: number
}

/** A stored value and the lease it is attached to. */
export interface StoredValue {
  readonly entry: KeyValueEntry
  readonly lease: LeaseId | undefined
}

/** A stored lease. */
export interface StoredLease {
  readonly timeToLive: Milliseconds
  expiresAt: Milliseconds
}

interface Subscription {
  readonly from: string
  readonly end: string
  readonly listener: (changes: readonly KeyValueChange[]) => void
  readonly onDisconnect: () => void
}

/** Number of changes kept for subscriptions that start at a past revision. */
const MAX_HISTORY_LENGTH = 10_000

/** Maximum length of a value, as in the platform's service. */
const MAX_VALUE_LENGTH = 1_048_576

/**
 * Creates an empty store.
 *
 * @example
 * const store = createKeyValueStore(createManualClock())
 */
export function createKeyValueStore (clock: Clock): KeyValueStore {
  const values = new Map<string, StoredValue>()
  const leases = new Map<LeaseId, StoredLease>()
  const subscriptions = new Set<Subscription>()
  const history: KeyValueChange[] = []
  let revision = 1
  let leaseCount = 0
  let epoch = DEFAULT_EPOCH

  function publish (change: KeyValueChange): void {
    history.push(change)
    if (history.length > MAX_HISTORY_LENGTH) history.shift()
    for (const subscription of subscriptions) {
      if (inRange(keyOf(change), subscription)) subscription.listener([change])
    }
  }

  function write (key: string, value: string, lease: LeaseId | undefined): number {
    if (value.length > MAX_VALUE_LENGTH) throw new RangeError('value exceeds the maximum length of 1048576 characters')
    if (lease !== undefined && !leases.has(lease)) throw new RangeError('lease not found')
    revision += 1
    store(key, value, lease)
    return revision
  }

  /** Stores a value at the current revision. */
  function store (key: string, value: string, lease: LeaseId | undefined): void {
    const entry = { key, value, revision }
    values.set(key, { entry, lease })
    publish({ kind: 'put', entry })
  }

  function remove (key: string): void {
    if (!values.delete(key)) return
    revision += 1
    publish({ kind: 'delete', key, revision })
  }

  function endLease (lease: LeaseId): void {
    leases.delete(lease)
    for (const [key, stored] of values) {
      if (stored.lease === lease) remove(key)
    }
  }

  function expire (): void {
    const now = clock.now()
    for (const [lease, stored] of leases) {
      if (stored.expiresAt <= now) endLease(lease)
    }
  }

  function changeAtRevision (key: string, expectedRevision: number, change: () => void): SwapResult {
    expire()
    const current = values.get(key)?.entry
    if ((current?.revision ?? ABSENT) !== expectedRevision) return { kind: 'conflict', current }
    change()
    return { kind: 'swapped', revision }
  }

  function swapAll (swaps: readonly KeySwap[]): SwapAllResult {
    expire()
    const current = swaps.map(({ key }) => values.get(key)?.entry)
    if (swaps.some(({ expectedRevision }, index) => (current[index]?.revision ?? ABSENT) !== expectedRevision)) return { kind: 'conflict', current }
    revision += 1
    for (const { key, value } of swaps) store(key, value, undefined)
    return { kind: 'swapped', revision }
  }

  return {
    expire,
    revision: () => revision,
    epoch: () => epoch,
    backUp: () => ({ revision, values: new Map(values), leases: new Map([...leases].map(([id, lease]) => [id, { ...lease }])), leaseCount }),
    restore: (backup, watches = 'cut') => {
      epoch += 1
      revision = backup.revision
      leaseCount = backup.leaseCount
      replaceAll(values, backup.values)
      // Each lease restarts with its full time to live: the store does not know how long it was down.
      replaceAll(leases, new Map([...backup.leases].map(([id, { timeToLive }]) => [id, { timeToLive, expiresAt: clock.now() + timeToLive }])))
      history.splice(0, history.length, ...history.filter((change) => revisionOf(change) <= revision))
      const disconnected = [...subscriptions]
      subscriptions.clear()
      if (watches === 'cut') for (const { onDisconnect } of disconnected) onDisconnect()
    },
    get: (key) => {
      expire()
      return values.get(key)?.entry
    },
    list: (from, end) => {
      expire()
      const entries = [...values.values()].map((stored) => stored.entry).filter((entry) => inRange(entry.key, { from, end }))
      return { entries: entries.sort((left, right) => (left.key < right.key ? -1 : 1)), revision }
    },
    put: (key, value, lease) => {
      expire()
      return write(key, value, lease)
    },
    compareAndSwap: (key, expectedRevision, value, lease) => changeAtRevision(key, expectedRevision, () => write(key, value, lease)),
    compareAndSwapAll: swapAll,
    compareAndDelete: (key, expectedRevision) => changeAtRevision(key, expectedRevision, () => remove(key)),
    grantLease: (timeToLive) => {
      leaseCount += 1
      const lease = String(leaseCount)
      leases.set(lease, { timeToLive, expiresAt: clock.now() + timeToLive })
      return lease
    },
    keepAlive: (lease) => {
      expire()
      const stored = leases.get(lease)
      if (stored === undefined) return 0
      stored.expiresAt = clock.now() + stored.timeToLive
      return stored.timeToLive
    },
    revokeLease: endLease,
    subscribe: (from, end, fromRevision, listener, onDisconnect = () => {}) => {
      const subscription = { from, end, listener, onDisconnect }
      const past = history.filter((change) => revisionOf(change) >= fromRevision && inRange(keyOf(change), subscription))
      if (past.length > 0) listener(past)
      subscriptions.add(subscription)
      return () => subscriptions.delete(subscription)
    }
  }
}

function replaceAll<Key, Value> (target: Map<Key, Value>, source: ReadonlyMap<Key, Value>): void {
  target.clear()
  for (const [key, value] of source) target.set(key, value)
}

function inRange (key: string, range: { from: string, end: string }): boolean {
  if (range.end === '') return key === range.from
  return key >= range.from && key < range.end
}

function keyOf (change: KeyValueChange): string {
  return change.kind === 'put' ? change.entry.key : change.key
}

function revisionOf (change: KeyValueChange): number {
  return change.kind === 'put' ? change.entry.revision : change.revision
}
