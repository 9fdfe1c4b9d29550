/**
 * State of the key-value stand-in: revisions, compare-and-swap, leases that lapse by the given
 * clock, and watchers. No network; the HTTP face and the in-process face both drive it.
 */
import type { Clock, Milliseconds } from '../src/clock.js'
import { DEFAULT_EPOCH } from '../src/protocols/epochs.js'
import { ABSENT } from '../src/protocols/key-value.js'
import type { KeyValueChange, KeyValueEntry, KeyValueListing, LeaseId, SwapResult } from '../src/protocols/key-value.js'

/** The store's operations; all are immediate. */
export interface KeyValueStore {
  get (key: string): KeyValueEntry | undefined
  list (from: string, end: string): KeyValueListing
  put (key: string, value: string, lease?: LeaseId): number
  compareAndSwap (key: string, expectedRevision: number, value: string, lease?: LeaseId): SwapResult
  compareAndDelete (key: string, expectedRevision: number): SwapResult
  grantLease (timeToLive: Milliseconds): LeaseId
  keepAlive (lease: LeaseId): Milliseconds
  revokeLease (lease: LeaseId): void
  /** Calls back for past and future changes in a key range, and where the subscription is cut; returns its end. */
  subscribe (from: string, end: string, fromRevision: number, listener: (changes: readonly KeyValueChange[]) => void, cut?: () => void): () => void
  /** Drops what has lapsed; called by every operation, and by owners that let time pass without one. */
  expire (): void
  revision (): number
  /** A copy of what stands now. */
  backUp (): Backup
  /** Comes back from a copy: what was written since is gone, and a new epoch begins. Those who wait for changes are cut off, or told nothing more. */
  restore (backup: Backup, watches?: 'cut' | 'silent'): void
  /** Rises by one with each restore. */
  epoch (): number
}

/** A copy of a store. */
export interface Backup {
  readonly revision: number
  readonly values: ReadonlyMap<string, StoredValue>
  readonly leases: ReadonlyMap<LeaseId, StoredLease>
  readonly leaseCount: number
}

/** A value as the store keeps it. */
export interface StoredValue {
  readonly entry: KeyValueEntry
  readonly lease: LeaseId | undefined
}

/** A lease as the store keeps it. */
export interface StoredLease {
  readonly timeToLive: Milliseconds
  lapsesAt: Milliseconds
}

interface Subscription {
  readonly from: string
  readonly end: string
  readonly listener: (changes: readonly KeyValueChange[]) => void
  readonly cut: () => void
}

/** Changes kept for watches that start in the past. */
const HISTORY = 10_000

/** Longest value, as the platform's service has it. */
const LONGEST_VALUE = 1_048_576

/**
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
    if (history.length > HISTORY) history.shift()
    for (const subscription of subscriptions) {
      if (inRange(keyOf(change), subscription)) subscription.listener([change])
    }
  }

  function write (key: string, value: string, lease: LeaseId | undefined): number {
    if (value.length > LONGEST_VALUE) throw new RangeError('value is larger than a megabyte')
    if (lease !== undefined && !leases.has(lease)) throw new RangeError('lease not found')
    revision += 1
    const entry = { key, value, revision }
    values.set(key, { entry, lease })
    publish({ kind: 'put', entry })
    return revision
  }

  function remove (key: string): void {
    if (!values.delete(key)) return
    revision += 1
    publish({ kind: 'delete', key, revision })
  }

  function dropLease (lease: LeaseId): void {
    leases.delete(lease)
    for (const [key, stored] of values) {
      if (stored.lease === lease) remove(key)
    }
  }

  function expire (): void {
    const now = clock.now()
    for (const [lease, stored] of leases) {
      if (stored.lapsesAt <= now) dropLease(lease)
    }
  }

  function guarded (key: string, expectedRevision: number, change: () => void): SwapResult {
    expire()
    const current = values.get(key)?.entry
    if ((current?.revision ?? ABSENT) !== expectedRevision) return { kind: 'conflict', current }
    change()
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
      // Leases run on from the return: how long it was away is not known to it.
      replaceAll(leases, new Map([...backup.leases].map(([id, { timeToLive }]) => [id, { timeToLive, lapsesAt: clock.now() + timeToLive }])))
      history.splice(0, history.length, ...history.filter((change) => revisionOf(change) <= revision))
      const waiting = [...subscriptions]
      subscriptions.clear()
      if (watches === 'cut') for (const { cut } of waiting) cut()
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
    compareAndSwap: (key, expectedRevision, value, lease) => guarded(key, expectedRevision, () => write(key, value, lease)),
    compareAndDelete: (key, expectedRevision) => guarded(key, expectedRevision, () => remove(key)),
    grantLease: (timeToLive) => {
      leaseCount += 1
      const lease = String(leaseCount)
      leases.set(lease, { timeToLive, lapsesAt: clock.now() + timeToLive })
      return lease
    },
    keepAlive: (lease) => {
      expire()
      const stored = leases.get(lease)
      if (stored === undefined) return 0
      stored.lapsesAt = clock.now() + stored.timeToLive
      return stored.timeToLive
    },
    revokeLease: dropLease,
    subscribe: (from, end, fromRevision, listener, cut = () => {}) => {
      const subscription = { from, end, listener, cut }
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
