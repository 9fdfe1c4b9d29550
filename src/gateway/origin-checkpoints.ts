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
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValueEntry, LeaseId } from '../protocols/key-value.js'
import { repeat } from '../repeat.js'
import { groupByOrigin, originCheckpointSchema, STREAM_RETENTION } from '../stream-origins/index.js'
import type { OriginCheckpoint, OriginRecords, StreamId, StreamOrigin, ValuesByName } from '../stream-origins/index.js'
import type { StoreContext } from './follow.js'
import { createUnusableEntries } from './unusable-entries.js'
import type { VersionWatch } from './version-watch.js'

/** Origins in the store. */
export interface OriginCheckpoints {
  /** Reads the other nodes' checkpoints unless that was done a moment ago. Rejects if the store does not answer. */
  refresh (): Promise<void>
  /** Whether streams may begin at this version: the store knows of it, or has not taken a record of it for a while. */
  mayBegin (service: string, version: string): boolean
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
  readonly versions: Pick<VersionWatch, 'update' | 'recalled' | 'completed' | 'ownSeen' | 'isComplete'>
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
const LEASE_TIME: Milliseconds = 2 * STREAM_RETENTION

/** Age of the lease at which it is renewed. */
const RENEWAL_AGE: Milliseconds = LEASE_TIME - STREAM_RETENTION - 10 * SECOND

/** Time after which streams begin at a version of which the store has taken no record. Until then upstreams of other versions get them, if there are any. */
const MAX_WITHHELD: Milliseconds = 2 * SECOND

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
 * if (checkpoints.mayBegin('plans', 'v2')) ...
 */
export function createOriginCheckpoints (options: OriginCheckpointsOptions): OriginCheckpoints {
  const { context, incarnation, streams, records, versions } = options
  const { store, clock, log, signal } = context
  const ownKey = CHECKPOINT_PREFIX + incarnation
  const unusable = createUnusableEntries()
  /** Versions that a checkpoint in the store names, by service. */
  const recorded = new Map<string, ReadonlySet<string>>()
  /** Times since which versions are known that the store has taken no record of. */
  const unrecordedSince = new Map<string, Milliseconds>()
  let lease: Lease | undefined
  let written: string | undefined
  let revision = ABSENT
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
    const usable = checkpoints.filter((checkpoint) => checkpoint !== undefined)
    for (const checkpoint of usable) take(checkpoint)
    const isFirst = options.firstStart && !hasRead && checkpoints.length === 0
    const isComplete = isFirst || usable.some((checkpoint) => checkpoint.isComplete && checkpoint.epoch === currentEpoch())
    if (isComplete && usable.length === checkpoints.length) versions.completed()
    const found = usable.reduce((sum, checkpoint) => sum + checkpoint.streams.reduce((ids, group) => ids + group.ids.length, 0), 0)
    if (isReadNeeded) log.info('stream-origins-read', { checkpoints: checkpoints.length, streams: found, isComplete: versions.isComplete() })
    hasRead = true
    isReadNeeded = false
  }

  function take (checkpoint: OriginCheckpoint): void {
    const now = clock.now()
    versions.recalled(checkpoint)
    for (const [service, names] of Object.entries(checkpoint.versions)) recorded.set(service, new Set([...recorded.get(service) ?? [], ...names]))
    for (const { service, version, ids } of checkpoint.streams) for (const id of ids) records.put(id, { service, version }, now)
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

  async function write (recordedStreams: ReadonlyMap<StreamId, StreamOrigin>): Promise<void> {
    const seen = versions.ownSeen()
    if (Object.keys(seen.versions).length === 0) return
    const leaseId = await holdLease()
    const checkpoint: OriginCheckpoint = { epoch: currentEpoch(), isComplete: versions.isComplete(), ...seen, streams: groupByOrigin(recordedStreams) }
    const text = JSON.stringify(checkpoint)
    if (text === written) return
    await swap(text, leaseId)
    written = text
    setRecorded(seen.versions)
    options.onRecorded()
  }

  /**
   * Failure guarded against: the store carries out a write seconds after its call was given up, in place of a later one, or under a lease that nobody
   * renews. A write expects what the one before left.
   */
  async function swap (text: string, leaseId: LeaseId): Promise<void> {
    const first = await store.compareAndSwap(ownKey, revision, text, { lease: leaseId, signal })
    const result = first.kind === 'swapped' ? first : await store.compareAndSwap(ownKey, first.current?.revision ?? ABSENT, text, { lease: leaseId, signal })
    if (result.kind === 'conflict') throw new Error('an earlier write of the checkpoint was carried out meanwhile')
    revision = result.revision
  }

  /** Versions that this checkpoint no longer names may have left the others as well. */
  function setRecorded (named: ValuesByName): void {
    recorded.clear()
    for (const [service, names] of Object.entries(named)) recorded.set(service, new Set(names))
  }

  function isRecorded (service: string, version: string): boolean {
    return recorded.get(service)?.has(version) === true
  }

  /** Keeps the times of versions that are not recorded yet. */
  function noteUnrecorded (): void {
    const named = Object.entries(versions.ownSeen().versions).flatMap(([service, names]) => names.filter((version) => !isRecorded(service, version)).map((version) => versionKey(service, version)))
    for (const key of unrecordedSince.keys()) if (!named.includes(key)) unrecordedSince.delete(key)
    for (const key of named) if (!unrecordedSince.has(key)) unrecordedSince.set(key, clock.now())
  }

  /** Shortest time between two writes, so that those of all nodes stay within their share of the rate. */
  function writePeriod (): Milliseconds {
    return options.nodeCount() * SECOND / (options.storeWriteRate * WRITE_SHARE)
  }

  async function tryWrite (recordedStreams: ReadonlyMap<StreamId, StreamOrigin>): Promise<void> {
    if (clock.now() < nextWriteAt) return
    try {
      await write(recordedStreams)
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

  async function update (): Promise<void> {
    const isFollowed = versions.update()
    isReadNeeded ||= wasFollowed && !isFollowed
    wasFollowed = isFollowed
    noteUnrecorded()
    const reading = isReadNeeded && (isFollowed || !hasRead) ? refresh() : Promise.resolve()
    const results = await Promise.allSettled([reading, tryWrite(streams())])
    for (const result of results) if (result.status === 'rejected') throw result.reason
  }

  function forgetWritten (): void {
    lease = undefined
    written = undefined
  }

  store.epochs.onRestore(forgetWritten)
  repeat({ clock, log, signal }, 'stream-origins', UPDATE_PERIOD, update)

  return {
    refresh,
    mayBegin: (service, version) => isRecorded(service, version) || clock.now() - (unrecordedSince.get(versionKey(service, version)) ?? Infinity) > MAX_WITHHELD
  }
}

function versionKey (service: string, version: string): string {
  return JSON.stringify([service, version])
}
