/**
 * Folds the reports of closed epochs into totals by period, exactly once, and deletes them. A report
 * whose node is gone is closed first, by compare-and-swap on the node's own key: from then on the node
 * cannot change it, and if it lives it sees so at its next write.
 *
 * Close, add, delete: each step may be repeated or interrupted. Closing is compare-and-swap; adding
 * writes the epoch's name together with its counts, so a second time adds nothing; a delete that never
 * happened is made up for by the next pass. So neither a lost reply nor two folders at once nor a
 * crash in between counts anything twice or loses it.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { HOUR } from '../clock.js'
import { NODE_PREFIX } from '../entry/registration.js'
import type { Incarnation } from '../identifiers.js'
import { readJson } from '../json.js'
import type { Log } from '../log.js'
import { nodeRecordSchema } from '../membership/index.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue, KeyValueEntry } from '../protocols/key-value.js'
import { decodeSnapshot, decodeTotal, foldInto, incarnationPrefix, isClosed, PERIOD, periodOf, periodPrefix, shardPrefix, SHARDS, snapshotName, totalKey, totalsOf } from '../report/index.js'
import type { Snapshot, TotalKey } from '../report/index.js'
import { ServingError } from '../verdict.js'

/** What the folder remembers between passes. Losing it costs time, nothing else. */
export interface FoldMemory {
  /** Reports of nodes that are not live, with the time since which they have not changed. */
  readonly silent: Map<string, { sequence: number, since: Milliseconds }>
  /** Nodes that held a record at the last pass, and those whose record has vanished since the first. */
  live: ReadonlySet<Incarnation>
  readonly vanished: Set<Incarnation>
  nextShard: number
  /** Totals of periods before this one were deleted. */
  expiredBefore: Milliseconds | undefined
}

/** What folding needs. */
export interface FoldOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly log: Log
  readonly memory: FoldMemory
}

/** What one pass did. */
export interface FoldResult {
  /** Epochs added to totals. */
  readonly folded: number
  /** Nodes given up as gone. */
  readonly givenUp: number
  /** Bytes of reports read. */
  readonly bytes: number
}

const NOTHING: FoldResult = { folded: 0, givenUp: 0, bytes: 0 }

/** Totals are kept for so long; older ones are deleted and reports say from when on they can tell. */
export const RETENTION: Milliseconds = 14 * 24 * HOUR

/** What the folder reads of a node's record. */
const incarnationRecordSchema = nodeRecordSchema.pick({ incarnation: true })

/** A pass stops after the shard in which it has read so many bytes. */
const BYTES_PER_PASS = 262_144

/** A silent process without a lease is gone after so many times the pause that it announced. */
const SILENT_PACES = 2

/** Epochs added to a total in one write. */
const MOST_PER_WRITE = 32

/** Tries of one compare-and-swap against another folder. */
const MOST_TRIES = 8

/** How far before the retention a new folder looks for totals that are left over. */
const EXPIRY_REACH = 2 * 24 * HOUR

interface StoredSnapshot {
  readonly entry: KeyValueEntry
  readonly snapshot: Snapshot
}

/** @example const memory = createFoldMemory() */
export function createFoldMemory (): FoldMemory {
  return { silent: new Map(), live: new Set(), vanished: new Set(), nextShard: 0, expiredBefore: undefined }
}

/**
 * One pass: reads the reports of nodes whose record has vanished and some shards of all reports, gives
 * up those of nodes that are gone, and folds what is closed. A large fleet's reports take many passes to
 * read; nodes that vanish need not wait for that. Call it every half minute or so; only one process
 * needs to, and two do no harm.
 *
 * @throws ServingError when the key-value service cannot be reached; the next pass makes up for it
 * @example
 * if (leadership.held(10 * SECOND)) await foldGone({ keyValue, clock, log, memory }, signal)
 */
export async function foldGone (options: FoldOptions, signal: AbortSignal): Promise<FoldResult> {
  const { keyValue, memory } = options
  const live = await liveIncarnations(keyValue, signal)
  let result = await foldVanished(options, live, signal)
  for (let shards = 0; shards < SHARDS && result.bytes < BYTES_PER_PASS; shards += 1) {
    result = sumOf(result, await foldUnder(options, shardPrefix(memory.nextShard), live, signal))
    memory.nextShard = (memory.nextShard + 1) % SHARDS
  }
  await expire(options, signal)
  return result
}

async function liveIncarnations (keyValue: KeyValue, signal: AbortSignal): Promise<ReadonlySet<Incarnation>> {
  const listing = await keyValue.list(NODE_PREFIX, signal)
  return new Set(listing.entries.flatMap((entry) => readJson(incarnationRecordSchema, entry.value)?.incarnation ?? []))
}

/** Nodes whose record vanished between two passes, until nothing of theirs is left or they are back. */
async function foldVanished (options: FoldOptions, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<FoldResult> {
  const { memory } = options
  for (const incarnation of memory.live) if (!live.has(incarnation)) memory.vanished.add(incarnation)
  memory.live = live
  let result = NOTHING
  for (const incarnation of memory.vanished) {
    const one = await foldUnder(options, incarnationPrefix(incarnation), live, signal)
    if (one.bytes === 0 || live.has(incarnation)) memory.vanished.delete(incarnation)
    result = sumOf(result, one)
  }
  return result
}

async function foldUnder (options: FoldOptions, prefix: string, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<FoldResult> {
  const { keyValue, log } = options
  const listing = await keyValue.list(prefix, signal)
  const closed: StoredSnapshot[] = []
  let givenUp = 0
  for (const entry of listing.entries) {
    const snapshot = decodeSnapshot(entry.value)
    if (snapshot === undefined) {
      log.error('report-unreadable', { key: entry.key })
      continue
    }
    const stored = isClosed(snapshot.state) ? { entry, snapshot } : await giveUp(options, { entry, snapshot }, live, signal)
    if (stored === undefined) continue
    if (!isClosed(snapshot.state)) givenUp += 1
    closed.push(stored)
  }
  for (let start = 0; start < closed.length; start += MOST_PER_WRITE) {
    await foldBatch(options, closed.slice(start, start + MOST_PER_WRITE), signal)
  }
  return { folded: closed.length, givenUp, bytes: sizeOf(listing.entries) }
}

/** Closes the report of a node that is gone. Returns undefined while it lives or may live. */
async function giveUp (options: FoldOptions, stored: StoredSnapshot, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<StoredSnapshot | undefined> {
  const { keyValue, clock, log } = options
  const { entry, snapshot } = stored
  if (!isGone(options, snapshot, live)) return undefined
  const closed: Snapshot = { ...snapshot, state: { kind: 'given-up', at: clock.wall() } }
  const text = JSON.stringify(closed)
  const result = await keyValue.compareAndSwap(entry.key, entry.revision, text, { signal })
  if (result.kind === 'conflict') return undefined
  log.warn('report-given-up', { incarnation: snapshot.incarnation, epoch: snapshot.epoch, sequence: snapshot.sequence })
  return { entry: { ...entry, value: text, revision: result.revision }, snapshot: closed }
}

function isGone ({ clock, memory }: FoldOptions, snapshot: Snapshot, live: ReadonlySet<Incarnation>): boolean {
  const name = snapshotName(snapshot)
  if (live.has(snapshot.incarnation)) {
    memory.silent.delete(name)
    return false
  }
  const seen = memory.silent.get(name)
  if (seen?.sequence !== snapshot.sequence) {
    memory.silent.set(name, { sequence: snapshot.sequence, since: clock.now() })
    return false
  }
  if (clock.now() - seen.since < snapshot.nextWithin * SILENT_PACES) return false
  memory.silent.delete(name)
  return true
}

/** One report that cannot be added may not keep the others from it: they are tried apart from each other. */
async function foldBatch (options: FoldOptions, closed: readonly StoredSnapshot[], signal: AbortSignal): Promise<void> {
  try {
    await foldClosed(options, closed, signal)
  } catch (error) {
    if (error instanceof ServingError) throw error
    const [only] = closed
    if (closed.length === 1 && only !== undefined) return options.log.error('report-not-folded', { key: only.entry.key, error: String(error) })
    for (const one of closed) await foldBatch(options, [one], signal)
  }
}

async function foldClosed (options: FoldOptions, closed: readonly StoredSnapshot[], signal: AbortSignal): Promise<void> {
  const snapshots = closed.map((stored) => stored.snapshot)
  for (const key of totalsOf(snapshots)) await addTo(options, key, snapshots, signal)
  for (const { entry } of closed) await options.keyValue.compareAndDelete(entry.key, entry.revision, signal)
}

async function addTo (options: FoldOptions, key: TotalKey, snapshots: readonly Snapshot[], signal: AbortSignal): Promise<void> {
  if (key.period < firstKept(options.clock)) {
    options.log.warn('report-too-old', { total: totalKey(key), reports: snapshots.length })
    return
  }
  for (let attempt = 0; attempt < MOST_TRIES; attempt += 1) {
    if (await tryAdd(options, key, snapshots, signal)) return
  }
  throw new RangeError(`total ${totalKey(key)} changed ${MOST_TRIES} times while it was being added to`)
}

/** Returns whether the snapshots are in the total. */
async function tryAdd ({ keyValue }: FoldOptions, key: TotalKey, snapshots: readonly Snapshot[], signal: AbortSignal): Promise<boolean> {
  const name = totalKey(key)
  const entry = await keyValue.get(name, signal)
  const stored = entry && decodeTotal(entry.value)
  if (entry !== undefined && stored === undefined) throw new TypeError(`total ${name} cannot be read`)
  const next = foldInto(stored, key, snapshots)
  if (next === undefined) return true
  const result = await keyValue.compareAndSwap(name, entry?.revision ?? ABSENT, JSON.stringify(next), { signal })
  return result.kind === 'swapped'
}

/** Deletes the totals of one period that is too old, so that a pass never has much to do. */
async function expire ({ keyValue, clock, memory }: FoldOptions, signal: AbortSignal): Promise<void> {
  const limit = firstKept(clock)
  const period = memory.expiredBefore ?? limit - EXPIRY_REACH
  if (period >= limit || period < 0) return
  const listing = await keyValue.list(periodPrefix(period), signal)
  for (const entry of listing.entries) await keyValue.compareAndDelete(entry.key, entry.revision, signal)
  memory.expiredBefore = period + PERIOD
}

function firstKept (clock: Clock): Milliseconds {
  return periodOf(clock.wall() - RETENTION)
}

function sizeOf (entries: readonly KeyValueEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.value.length, 0)
}

function sumOf (left: FoldResult, right: FoldResult): FoldResult {
  return { folded: left.folded + right.folded, givenUp: left.givenUp + right.givenUp, bytes: left.bytes + right.bytes }
}
