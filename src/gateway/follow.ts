/** Keeps a node up to date with a key prefix of the store, by reading the store or by updates from other nodes. */
import { followKeys } from '../protocols/key-watch.js'
import type { WatchIntervals } from '../protocols/key-watch.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { KeyValue, KeyValueEntry } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import { createPrefixReplica } from './replica.js'
import type { StoreReadRole, StoreUpdateExchange } from './store-updates.js'

/** Dependencies of code that follows prefixes of the store or calls the store. */
export interface StoreContext {
  readonly store: KeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly signal: AbortSignal
  /** Updates exchanged with other nodes. Without this exchange, the node reads everything from the store. */
  readonly storeUpdates?: StoreUpdateExchange
}

/** Receives the content of a prefix and its changes. */
export interface PrefixHandler {
  /** Receives all entries of the prefix, which replace everything received before. */
  readonly replace: (entries: readonly KeyValueEntry[]) => void
  /** Receives an entry that was added or changed. */
  readonly put: (entry: KeyValueEntry) => void
  /** Receives the key of a deleted entry and the revision of the deletion. */
  readonly remove: (key: string, revision: number) => void
}

/** A prefix that this node follows. */
export interface PrefixSubscription {
  /** Time of the last known answer of the store for this prefix, to this node or to the node that passed the answer on; undefined before the first. */
  lastContactAt (): Milliseconds | undefined
}

/** Intervals of a watch whose changes must be in force within two seconds, also after an outage of the store. */
const LOW_DELAY_INTERVALS: WatchIntervals = { startDelay: 0, initialRetryDelay: 100, maxRetryDelay: 800, batchInterval: 0, roleCheckInterval: 200 }

/** Maximum silence of a watch that other nodes depend on, as a fraction of the time within which a change must be known. */
const SHARED_WATCH_SILENCE_FRACTION = 0.35

/** Pause between two calls of a watch that other nodes depend on, as a fraction of the time within which a change must be known. */
const SHARED_WATCH_BATCH_FRACTION = 0.1

/**
 * Delays between retries of failed reads at a node that receives updates from an aggregator. Failure guarded against:
 * during an outage of the store, hundreds of nodes call it once a second each, and every call is charged for. Longer delays
 * cost little: if only the aggregator is cut off, the node's first read succeeds; if the store is down for all, the
 * aggregators reconnect first and pass the updates on.
 */
const RECEIVER_RETRY_DELAYS = { initialRetryDelay: 400, maxRetryDelay: 3_200 }

/**
 * Maximum age of received updates before a node reads the store itself, as a fraction of the time within which a change must
 * be known. The silence and the pause of the aggregator's watch, a slow call and a report fit into this fraction. About a
 * third of the time remains for the node's own read.
 */
const MAX_AGE_FRACTION = 0.65

/** How often a prefix is read, and how old received updates may be. */
export interface SubscriptionSettings {
  /** Intervals of the watch, by this node's role in the exchange of updates. */
  readonly pauses: (role: StoreReadRole) => WatchIntervals
  /** Maximum age of received updates before this node reads the store itself. */
  readonly maxAge: Milliseconds
}

/**
 * Settings for a prefix whose changes must be known within a maximum delay.
 *
 * @param maxDelay time from a change in the store until this node must know the change
 * @param batch pause between two calls of a watch that no other node depends on
 * @example
 * boundedDelaySettings(4 * SECOND, 0)
 */
export function boundedDelaySettings (maxDelay: Milliseconds, batch: Milliseconds): SubscriptionSettings {
  const alone: WatchIntervals = { ...LOW_DELAY_INTERVALS, batchInterval: batch }
  const telling: WatchIntervals = { ...LOW_DELAY_INTERVALS, idleTimeout: maxDelay * SHARED_WATCH_SILENCE_FRACTION, batchInterval: maxDelay * SHARED_WATCH_BATCH_FRACTION }
  const told: WatchIntervals = { ...alone, ...RECEIVER_RETRY_DELAYS }
  return { pauses: (role) => ({ telling, told, alone })[role], maxAge: maxDelay * MAX_AGE_FRACTION }
}

/** Maximum silence of a watch of the node records. */
const RECORD_WATCH_SILENCE: Milliseconds = 8_000

/** Pause between two calls of a watch of the node records that other nodes depend on. Hundreds of nodes that register at once are then read in one call. */
const RECORD_WATCH_BATCH: Milliseconds = 300

/** Maximum age of received node records before a node reads the store itself: one and a half times the silence of a watch. */
const MAX_RECORD_AGE: Milliseconds = 12_000

/**
 * Settings for the node records. A long silence is acceptable, because nodes also learn of each other by exchanging states,
 * and a watch that receives nothing more therefore delays nothing. Every reopening of a watch is a call that is charged for.
 */
export const NODE_RECORD_SETTINGS: SubscriptionSettings = {
  pauses: (role) => ({ ...LOW_DELAY_INTERVALS, idleTimeout: RECORD_WATCH_SILENCE, batchInterval: role === 'telling' ? RECORD_WATCH_BATCH : 0 }),
  maxAge: MAX_RECORD_AGE
}

/**
 * Follows a prefix until the context's signal aborts.
 *
 * @param prefix of the keys
 * @param handler receives the entries and their changes
 * @param settings intervals of the watch and the maximum age of received updates
 * @example
 * followPrefix(context, 'servers/', { replace, put, remove }, boundedDelaySettings(2 * SECOND, 0))
 */
export function followPrefix (context: StoreContext, prefix: string, handler: PrefixHandler, settings: SubscriptionSettings): PrefixSubscription {
  const { store, clock, random, log, signal, storeUpdates } = context
  const replica = createPrefixReplica(handler)
  let lastReadAt: Milliseconds | undefined
  let isFailing = false
  let hasListed = false
  storeUpdates?.add(prefix, { replica, maxAge: settings.maxAge, lastContactAt })

  function lastContactAt (): Milliseconds | undefined {
    const lastReceivedAt = storeUpdates?.lastReceivedAt(prefix)
    return lastReadAt === undefined || lastReceivedAt === undefined ? lastReadAt ?? lastReceivedAt : Math.max(lastReadAt, lastReceivedAt)
  }

  function recordContact (): void {
    lastReadAt = clock.now()
    if (isFailing) log.info('store-regained', { prefix })
    isFailing = false
  }

  followKeys({
    keyValue: store,
    prefix,
    clock,
    random,
    signal,
    wanted: () => storeUpdates?.isStale(prefix) ?? true,
    pauses: () => settings.pauses(storeUpdates?.role() ?? 'alone'),
    load: async () => {
      // The first read may be stale: it costs a tenth of a current read, and the watch from its revision on delivers the
      // missing changes at once. A read after a failed watch must be current, since the store may have compacted the
      // history between the stale revision and now.
      const isFirst = !hasListed
      hasListed = true
      const { entries, revision } = await store.list(prefix, signal, isFirst)
      if (!isFirst) recordContact()
      replica.replaceAt(entries, revision)
      return revision
    },
    changed: (changes) => {
      recordContact()
      for (const change of changes) {
        switch (change.kind) {
          case 'put': replica.put(change.entry); break
          case 'delete': replica.remove(change.key, change.revision)
        }
      }
    },
    failed: (error) => {
      if (!isFailing) log.warn('store-lost', { prefix, error: String(error), silentFor: lastReadAt === undefined ? undefined : Math.round(clock.now() - lastReadAt) })
      isFailing = true
    }
  }).catch((error) => log.error('following-ended', { prefix, error: String(error) }))
  return { lastContactAt }
}
