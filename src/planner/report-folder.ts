/**
 * Folds the reports of closed epochs into totals by period, exactly once, and deletes them. The report of a node that
 * is gone is closed first, by compare-and-swap on the node's own key. From then on the node cannot change the report.
 * If the node is still alive, its next write fails and shows that the report was closed.
 *
 * Each of the three steps may be repeated or interrupted:
 *
 * - Closing is a compare-and-swap.
 * - Adding writes the name of the epoch together with its counts, so that adding it again has no effect.
 * - A deletion that was not carried out is repeated by the next pass.
 *
 * A lost reply, two concurrent folders or a crash between the steps therefore neither lose counts nor count them twice.
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
import { decodeSnapshot, decodeTotal, foldInto, incarnationPrefix, isClosed, PERIOD, periodOf, periodPrefix, shardPrefix, SHARDS, snapshotName, totalKey, totalKeysOf } from '../report/index.js'
import type { Snapshot, TotalKey } from '../report/index.js'
import { ServingError } from '../verdict.js'

/** State of the folder between two passes. Losing this state only delays folding. */
export interface FoldMemory {
  /** Reports of processes without a node record, by name, with the monotonic time of their last observed change. */
  readonly silent: Map<string, { sequence: number, since: Milliseconds }>
  /** Nodes that had a node record at the last pass. */
  live: ReadonlySet<Incarnation>
  /** Nodes whose record has disappeared since the first pass and whose reports are not folded yet. */
  readonly vanished: Set<Incarnation>
  /** Shard of the reports that is read next. */
  nextShard: number
  /** Totals of periods before this one have been deleted. */
  expiredBefore: Milliseconds | undefined
}

/** Options of {@link foldReports}. */
export interface FoldOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly log: Log
  readonly memory: FoldMemory
}

/** Result of one pass. */
export interface FoldResult {
  /** Number of epochs added to totals. */
  readonly folded: number
  /** Number of reports closed because their node is gone. */
  readonly givenUp: number
  /** Size of the reports read in bytes, taken as their number of characters. */
  readonly bytes: number
}

const EMPTY_RESULT: FoldResult = { folded: 0, givenUp: 0, bytes: 0 }

/** Time for which totals are kept. Older ones are deleted, and reports state the start of the retained time. */
export const RETENTION: Milliseconds = 14 * 24 * HOUR

/** Part of a node's record that the folder reads. */
const incarnationRecordSchema = nodeRecordSchema.pick({ incarnation: true })

/** Size of reports after which a pass reads no further shard, in bytes. */
const MAX_BYTES_PER_PASS = 262_144

/** A process without a node record is gone if its report has not changed for this multiple of its announced interval. */
const SILENT_INTERVALS = 2

/** Maximum number of epochs added to a total in one write. */
const MAX_EPOCHS_PER_WRITE = 32

/** Maximum number of attempts to add to a total that another folder changes concurrently. */
const MAX_ATTEMPTS = 8

/** Time before the start of the retention in which a new folder looks for expired totals. */
const EXPIRY_LOOKBACK = 2 * 24 * HOUR

/** A report with its entry in the key-value service. */
interface StoredSnapshot {
  readonly entry: KeyValueEntry
  readonly snapshot: Snapshot
}

/**
 * Creates the state of a folder before its first pass.
 *
 * @example
 * const memory = createFoldMemory()
 */
export function createFoldMemory (): FoldMemory {
  return { silent: new Map(), live: new Set(), vanished: new Set(), nextShard: 0, expiredBefore: undefined }
}

/**
 * Runs one pass: reads the reports of nodes whose record has disappeared and some shards of all reports, closes the
 * reports of nodes that are gone, and folds the closed ones.
 *
 * Reading all reports of a large fleet takes many passes. Reports of nodes that disappear are read in every pass, so
 * that they are folded earlier. Call this about every half minute. One process is enough, and two concurrent ones do
 * no harm.
 *
 * @throws ServingError if the key-value service cannot be reached. The next pass does the remaining work.
 * @example
 * if (leadership.held(10 * SECOND)) await foldReports({ keyValue, clock, log, memory }, signal)
 */
export async function foldReports (options: FoldOptions, signal: AbortSignal): Promise<FoldResult> {
  const { keyValue, memory } = options
  const live = await liveIncarnations(keyValue, signal)
  let result = await foldVanished(options, live, signal)
  for (let shards = 0; shards < SHARDS && result.bytes < MAX_BYTES_PER_PASS; shards += 1) {
    result = addResults(result, await foldPrefix(options, shardPrefix(memory.nextShard), live, signal))
    memory.nextShard = (memory.nextShard + 1) % SHARDS
  }
  await deleteExpiredTotals(options, signal)
  return result
}

async function liveIncarnations (keyValue: KeyValue, signal: AbortSignal): Promise<ReadonlySet<Incarnation>> {
  const listing = await keyValue.list(NODE_PREFIX, signal)
  return new Set(listing.entries.flatMap((entry) => readJson(incarnationRecordSchema, entry.value)?.incarnation ?? []))
}

/** Folds the reports of nodes whose record has disappeared, until no report of theirs is left or the record is back. */
async function foldVanished (options: FoldOptions, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<FoldResult> {
  const { memory } = options
  for (const incarnation of memory.live) if (!live.has(incarnation)) memory.vanished.add(incarnation)
  memory.live = live
  let result = EMPTY_RESULT
  for (const incarnation of memory.vanished) {
    const partial = await foldPrefix(options, incarnationPrefix(incarnation), live, signal)
    if (partial.bytes === 0 || live.has(incarnation)) memory.vanished.delete(incarnation)
    result = addResults(result, partial)
  }
  return result
}

/** Folds the closed reports under a prefix, after closing those of nodes that are gone. */
async function foldPrefix (options: FoldOptions, prefix: string, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<FoldResult> {
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
    const stored = isClosed(snapshot.state) ? { entry, snapshot } : await closeIfGone(options, { entry, snapshot }, live, signal)
    if (stored === undefined) continue
    if (!isClosed(snapshot.state)) givenUp += 1
    closed.push(stored)
  }
  for (let start = 0; start < closed.length; start += MAX_EPOCHS_PER_WRITE) {
    await foldBatch(options, closed.slice(start, start + MAX_EPOCHS_PER_WRITE), signal)
  }
  return { folded: closed.length, givenUp, bytes: sizeOf(listing.entries) }
}

/** Closes the report of a node that is gone. Returns undefined if the node may still be alive. */
async function closeIfGone (options: FoldOptions, stored: StoredSnapshot, live: ReadonlySet<Incarnation>, signal: AbortSignal): Promise<StoredSnapshot | undefined> {
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

/** Whether a process has no node record and its report has not changed for long enough. */
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
  if (clock.now() - seen.since < snapshot.nextWithin * SILENT_INTERVALS) return false
  memory.silent.delete(name)
  return true
}

/** Folds reports in one batch. If this fails, folds each report alone, so that a bad one does not block the others. */
async function foldBatch (options: FoldOptions, closed: readonly StoredSnapshot[], signal: AbortSignal): Promise<void> {
  try {
    await foldSnapshots(options, closed, signal)
  } catch (error) {
    if (error instanceof ServingError) throw error
    const [only] = closed
    if (closed.length === 1 && only !== undefined) return options.log.error('report-not-folded', { key: only.entry.key, error: String(error) })
    for (const stored of closed) await foldBatch(options, [stored], signal)
  }
}

async function foldSnapshots (options: FoldOptions, closed: readonly StoredSnapshot[], signal: AbortSignal): Promise<void> {
  const snapshots = closed.map((stored) => stored.snapshot)
  for (const key of totalKeysOf(snapshots)) await addToTotal(options, key, snapshots, signal)
  for (const { incarnation, epoch, sequence, state } of snapshots) options.log.info('report-folded', { incarnation, epoch, sequence, state: state.kind })
  for (const { entry } of closed) await options.keyValue.compareAndDelete(entry.key, entry.revision, signal)
}

/**
 * Adds reports to a total.
 *
 * @throws RangeError if other folders changed the total in every attempt
 */
async function addToTotal (options: FoldOptions, key: TotalKey, snapshots: readonly Snapshot[], signal: AbortSignal): Promise<void> {
  if (key.period < firstRetainedPeriod(options.clock)) {
    options.log.warn('report-too-old', { total: totalKey(key), reports: snapshots.length })
    return
  }
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (await tryAddToTotal(options, key, snapshots, signal)) return
  }
  throw new RangeError(`total ${totalKey(key)} was changed by other writers in all ${MAX_ATTEMPTS} attempts to add to it`)
}

/**
 * Adds reports to a total once.
 *
 * @returns whether the reports are in the total
 * @throws TypeError if the stored total is invalid
 */
async function tryAddToTotal ({ keyValue }: FoldOptions, key: TotalKey, snapshots: readonly Snapshot[], signal: AbortSignal): Promise<boolean> {
  const name = totalKey(key)
  const entry = await keyValue.get(name, signal)
  const stored = entry && decodeTotal(entry.value)
  if (entry !== undefined && stored === undefined) throw new TypeError(`total ${name} is invalid`)
  const next = foldInto(stored, key, snapshots)
  if (next === undefined) return true
  const result = await keyValue.compareAndSwap(name, entry?.revision ?? ABSENT, JSON.stringify(next), { signal })
  return result.kind === 'swapped'
}

/** Deletes the totals of one expired period. One period per call keeps each pass short. */
async function deleteExpiredTotals ({ keyValue, clock, memory }: FoldOptions, signal: AbortSignal): Promise<void> {
  const limit = firstRetainedPeriod(clock)
  const period = memory.expiredBefore ?? limit - EXPIRY_LOOKBACK
  if (period >= limit || period < 0) return
  const listing = await keyValue.list(periodPrefix(period), signal)
  for (const entry of listing.entries) await keyValue.compareAndDelete(entry.key, entry.revision, signal)
  memory.expiredBefore = period + PERIOD
}

/** Start of the first period whose totals are kept, as wall time. */
function firstRetainedPeriod (clock: Clock): Milliseconds {
  return periodOf(clock.wall() - RETENTION)
}

function sizeOf (entries: readonly KeyValueEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.value.length, 0)
}

function addResults (left: FoldResult, right: FoldResult): FoldResult {
  return { folded: left.folded + right.folded, givenUp: left.givenUp + right.givenUp, bytes: left.bytes + right.bytes }
}
