/**
 * Keeps the origins of this node's streams in the store, and reads those of the other nodes.
 *
 * Failure guarded against: all nodes that know where a stream began are killed. Their successors would take the only version that they see for the
 * only one that there was, and join what two versions wrote; or they would refuse streams that could go on.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { readJson } from '../json.js'
import { DEFAULT_EPOCH } from '../protocols/epochs.js'
import type { KeyValueEntry, LeaseId } from '../protocols/key-value.js'
import { repeat } from '../repeat.js'
import { groupByOrigin, originCheckpointSchema, VERSION_RETENTION } from '../stream-origins/index.js'
import type { OriginCheckpoint, OriginRecords, StreamId, StreamOrigin, VersionsByService } from '../stream-origins/index.js'
import type { StoreContext } from './follow.js'
import { createUnusableEntries } from './unusable-entries.js'
import type { VersionWatch } from './version-watch.js'

/** Origins in the store. */
export interface OriginCheckpoints {
  /** Reads the other nodes' checkpoints unless that was done a moment ago. Rejects if the store does not answer. */
  refresh (): Promise<void>
  /** Whether the store knows that streams may begin at this version. */
  isRecorded (service: string, version: string): boolean
}

/** Options of {@link createOriginCheckpoints}. */
export interface OriginCheckpointsOptions {
  readonly context: StoreContext
  readonly incarnation: string
  /** The whole system starts for the first time, so there were no streams before. */
  readonly firstStart: boolean
  /** Streams of this node whose origin other nodes cannot infer. */
  readonly streams: () => ReadonlyMap<StreamId, StreamOrigin>
  /** Receives the origins that are read. */
  readonly records: Pick<OriginRecords, 'put'>
  readonly versions: Pick<VersionWatch, 'update' | 'recalled' | 'recent' | 'isComplete'>
  /** Number of nodes that share the rate of writes. */
  readonly nodeCount: () => number
  /** Number of writes that the store takes from all nodes in a second. */
  readonly storeWriteRate: number
  /** Called once the store knows a further version. */
  readonly onRecorded: () => void
}

/** Prefix of the checkpoints, one key for each incarnation. Nodes do not follow it. */
export const CHECKPOINT_PREFIX = 'hornbeamgap/stream-origins/'

/** Period at which checkpoints are compared with what this node knows. Streams that began later are lost with all nodes. */
const UPDATE_PERIOD: Milliseconds = 250

/** Part of the store's rate of writes that the checkpoints of all nodes may take together. */
const WRITE_SHARE = 1 / 4

/** Pause after a failed write, which doubles with each further failure in a row: every call is charged for. */
const MIN_RETRY_PAUSE: Milliseconds = 500
const MAX_RETRY_PAUSE: Milliseconds = 4 * SECOND

/** Time between two reads of the other nodes' checkpoints. */
const READ_PERIOD: Milliseconds = 1 * SECOND

/** Lease time of a checkpoint. It outlasts its node by more than the time for which streams are resumed. */
const LEASE_TIME: Milliseconds = 2 * VERSION_RETENTION

/** Age of the lease at which it is renewed. */
const RENEWAL_AGE: Milliseconds = LEASE_TIME - VERSION_RETENTION - 10 * SECOND

/** Maximum number of characters of a key or a value in a log line. */
const MAX_LOGGED_LENGTH = 100

interface Lease {
  readonly id: LeaseId
  grantedAt: Milliseconds
}

/**
 * Starts to keep the checkpoint, until the signal of the context aborts.
 *
 * @example
 * const checkpoints = createOriginCheckpoints({ context, incarnation, firstStart, streams, records, versions, nodeCount, storeWriteRate, onRecorded })
 * if (checkpoints.isRecorded('plans', 'v2')) ...
 */
export function createOriginCheckpoints (options: OriginCheckpointsOptions): OriginCheckpoints {
  const { context, incarnation, streams, records, versions } = options
  const { store, clock, log, signal } = context
  const ownKey = CHECKPOINT_PREFIX + incarnation
  const unusable = createUnusableEntries()
  /** Versions that a checkpoint in the store names. */
  const recorded = new Map<string, ReadonlySet<string>>()
  let lease: Lease | undefined
  let written: string | undefined
  let nextWriteAt = -Infinity
  let retryPause = MIN_RETRY_PAUSE
  let hasRead = false
  let isReadNeeded = true
  let wasFollowed = false
  let readAt = -Infinity
  let lastRead: Promise<void> = Promise.resolve()

  function currentEpoch (): number {
    return store.epochs.current() ?? DEFAULT_EPOCH
  }

  function readCheckpoint ({ key, value }: KeyValueEntry): OriginCheckpoint | undefined {
    const checkpoint = readJson(originCheckpointSchema, value)
    const logged = value.slice(0, MAX_LOGGED_LENGTH)
    if (checkpoint === undefined && unusable.note(key, logged)) log.warn('stream-origins-unreadable', { key: key.slice(0, MAX_LOGGED_LENGTH), value: logged })
    return checkpoint
  }

  async function read (): Promise<void> {
    const { entries } = await store.list(CHECKPOINT_PREFIX, signal)
    unusable.retainOnly(new Set(entries.map(({ key }) => key)))
    const checkpoints = entries.filter(({ key }) => key !== ownKey).map(readCheckpoint)
    const now = clock.now()
    let isComplete = options.firstStart && checkpoints.length === 0
    let found = 0
    for (const checkpoint of checkpoints) {
      if (checkpoint === undefined) continue
      isComplete ||= checkpoint.isComplete && checkpoint.epoch === currentEpoch()
      versions.recalled(checkpoint.versions, false, now)
      for (const [service, names] of Object.entries(checkpoint.versions)) recorded.set(service, new Set([...recorded.get(service) ?? [], ...names]))
      for (const { service, version, ids } of checkpoint.streams) {
        found += ids.length
        for (const id of ids) records.put(id, { service, version }, now)
      }
    }
    versions.recalled({}, isComplete && !checkpoints.includes(undefined), now)
    hasRead = true
    isReadNeeded = false
    log.info('stream-origins-read', { checkpoints: checkpoints.length, streams: found, isComplete: versions.isComplete() })
  }

  function refresh (): Promise<void> {
    if (clock.now() - readAt < READ_PERIOD) return lastRead
    readAt = clock.now()
    lastRead = read()
    return lastRead
  }

  async function holdLease (): Promise<LeaseId> {
    const now = clock.now()
    if (lease !== undefined && now - lease.grantedAt < RENEWAL_AGE) return lease.id
    if (lease !== undefined && await store.keepAlive(lease.id, signal) > 0) {
      lease.grantedAt = now
      return lease.id
    }
    written = undefined
    lease = { id: await store.grantLease(LEASE_TIME, signal), grantedAt: now }
    return lease.id
  }

  async function write (): Promise<void> {
    const named = versions.recent()
    if (Object.keys(named).length === 0) return
    const leaseId = await holdLease()
    const checkpoint: OriginCheckpoint = { epoch: currentEpoch(), isComplete: versions.isComplete(), versions: named, streams: groupByOrigin(streams()) }
    const text = JSON.stringify(checkpoint)
    if (text === written) return
    await store.put(ownKey, text, { lease: leaseId, signal })
    written = text
    setRecorded(named)
    options.onRecorded()
  }

  /** Versions that this checkpoint no longer names may have left the others as well. */
  function setRecorded (named: VersionsByService): void {
    recorded.clear()
    for (const [service, names] of Object.entries(named)) recorded.set(service, new Set(names))
  }

  /** Shortest time between two writes, so that those of all nodes stay within their share of the rate. */
  function writePeriod (): Milliseconds {
    return options.nodeCount() * SECOND / (options.storeWriteRate * WRITE_SHARE)
  }

  async function update (): Promise<void> {
    const isFollowed = versions.update()
    isReadNeeded ||= wasFollowed && !isFollowed
    wasFollowed = isFollowed
    if (isReadNeeded && (isFollowed || !hasRead)) await refresh()
    if (clock.now() < nextWriteAt) return
    try {
      await write()
      nextWriteAt = clock.now() + writePeriod()
      retryPause = MIN_RETRY_PAUSE
    } catch (error) {
      // The write fails also where the lease has ended.
      forgetWritten()
      nextWriteAt = clock.now() + retryPause
      retryPause = Math.min(MAX_RETRY_PAUSE, retryPause * 2)
      throw error
    }
  }

  function forgetWritten (): void {
    lease = undefined
    written = undefined
  }

  store.epochs.onRestore(forgetWritten)
  repeat({ clock, log, signal }, 'stream-origins', UPDATE_PERIOD, update)

  return {
    refresh,
    isRecorded: (service, version) => recorded.get(service)?.has(version) === true
  }
}
