/**
 * Writes the report of this process to the key-value service: snapshots of cumulative counts, at long intervals with
 * jitter and once more at the end of a planned stop.
 *
 * The next snapshot is made only when the outcome of the previous write is known. After a lost reply the same text is
 * written again. If the first write took effect, the second conflicts with the identical text. The stored snapshot is
 * therefore always one of the two that the writer still has. When the planner has folded the stored snapshot into the
 * totals, the writer knows exactly which counts were included.
 *
 * The write that closes an epoch also opens the next one, in one transaction. From its first report until its planned stop, a
 * node therefore always has a report in the service that can be given up, so that a crash at any time shows as a gap.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import type { Log } from '../log.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeySwap, KeyValueEntry, SwapAllResult, TransactionalKeyValue } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import { COMMON_PART, decodeSnapshot, decodeTotal, encodeSnapshot, isClosed, periodOf, snapshotKey, snapshotName, totalKey } from '../report/index.js'
import type { CountingLedger, EpochCounts, Snapshot } from '../report/index.js'

/** Writer of the report of one process. */
export interface ReportWriter {
  /** Writes the present counts. Rejects with a ServingError if the service can't be reached. */
  write (): Promise<void>
  /**
   * Writes the final report of a planned stop. Retries until the report is confirmed or the signal is aborted. Resolves to
   * whether the report was confirmed. Nothing may be counted afterwards.
   */
  finish (signal: AbortSignal): Promise<boolean>
  /**
   * Number of writes, bytes written in total and in the last write, and time of the last confirmed write on the clock of
   * this process.
   */
  usage (): { writes: number, bytes: number, lastBytes: number, confirmedAt: Milliseconds | undefined }
}

/** Options of {@link createReportWriter}. */
export interface ReportWriterOptions {
  readonly incarnation: Incarnation
  readonly instance: InstanceName
  readonly ledger: CountingLedger
  readonly keyValue: TransactionalKeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Stops the writer at once, without a final report. */
  readonly signal: AbortSignal
}

/** Bytes per second that one process may send for its report. The interval between two writes follows from the report size. */
const BYTES_PER_SECOND = 600

/** Growth of a value in transit. The JSON API of the service encodes values in base64. */
const BASE64_FACTOR = 4 / 3

/** Minimum interval between two writes, before jitter. */
const MIN_INTERVAL: Milliseconds = 30 * SECOND

/** Maximum interval between two writes, before jitter. */
const MAX_INTERVAL: Milliseconds = 5 * MINUTE

/**
 * Fraction by which the interval varies in both directions, so that processes started together do not write at the same
 * time.
 */
const JITTER_FRACTION = 0.25

/** Growth of the report that is allowed for in the time by which a snapshot announces its successor. */
const GROWTH_ALLOWANCE = 1.5

/** Pause between two attempts to write the final report. */
const FINISH_RETRY_DELAY: Milliseconds = 250

/** Maximum number of attempts of one call to resolve the outcome of the pending snapshot. The next call continues. */
const MAX_SETTLE_STEPS = 6

/** Fields of a sent snapshot that identify it. */
type SnapshotHead = Pick<Snapshot, 'incarnation' | 'epoch' | 'sequence' | 'writtenAt' | 'state'>

/** A snapshot that was sent, with its counts and its encoded text. */
interface SentSnapshot {
  readonly snapshot: SnapshotHead
  readonly counts: EpochCounts
  readonly text: string
}

/** A write whose outcome is not known yet. */
interface PendingWrite {
  readonly sent: SentSnapshot
  /** First snapshot of the next epoch, written together with the snapshot that closes an epoch. */
  readonly opened: SentSnapshot | undefined
  /** An earlier attempt had no reply and may have been carried out. */
  isRepeated: boolean
}

/**
 * Starts to write the report of this process until the signal is aborted or the final report is confirmed.
 *
 * @example
 * const reports = createReportWriter({ incarnation, instance, ledger, keyValue, clock, random, log, signal })
 */
export function createReportWriter (options: ReportWriterOptions): ReportWriter {
  const { incarnation, instance, ledger, keyValue, clock, random, log, signal } = options
  let sequence = 0
  let revision = ABSENT
  let confirmed: SentSnapshot | undefined
  let pending: PendingWrite | undefined
  let returned: Snapshot['returned']
  let lastTask: Promise<void> = Promise.resolve()
  const progress = { finished: false }
  let usage: ReturnType<ReportWriter['usage']> = { writes: 0, bytes: 0, lastBytes: 0, confirmedAt: undefined }

  function prepareWrite (kind: 'counting' | 'closed' | 'final'): PendingWrite {
    const sent = encode(kind, kind === 'counting' ? ledger.snapshot() : ledger.closeEpoch(), returned)
    return { sent, opened: kind === 'closed' ? encode('counting', ledger.snapshot(), undefined) : undefined, isRepeated: false }
  }

  function encode (kind: 'counting' | 'closed' | 'final', counts: EpochCounts, revokedGap: Snapshot['returned']): SentSnapshot {
    sequence += 1
    const nextWithin = intervalFor(usage.lastBytes * GROWTH_ALLOWANCE) * (1 + JITTER_FRACTION)
    const head = { incarnation, instance, sequence, writtenAt: clock.wall(), nextWithin, state: { kind }, returned: revokedGap }
    return { snapshot: { ...head, epoch: counts.epoch }, counts, text: encodeSnapshot(head, counts) }
  }

  /**
   * Returns the kind of the next snapshot. The first write after the end of a period closes the epoch, so that the totals
   * of the period become complete.
   */
  function nextKind (): 'counting' | 'closed' {
    const since = ledger.since()
    return periodOf(clock.wall()) > periodOf(since) ? 'closed' : 'counting'
  }

  /**
   * Whether this process has never counted anything. Such a process writes no report. Most planners are in this state
   * because they never hold the lease.
   */
  function hasCountedNothing (): boolean {
    if (sequence > 0) return false
    const { cells, open, spend, deaths } = ledger.snapshot()
    return cells.length + open.length + spend.length + deaths.length === 0
  }

  /** Repeats the pending write until its outcome is known, in at most {@link MAX_SETTLE_STEPS} attempts. */
  async function settlePending (taskSignal: AbortSignal): Promise<void> {
    for (let step = 0; step < MAX_SETTLE_STEPS; step += 1) {
      if (!(await settleOnce(taskSignal))) return
    }
  }

  /** @returns whether a write was pending */
  async function settleOnce (taskSignal: AbortSignal): Promise<boolean> {
    const write = pending
    if (write === undefined) return false
    const result = await attemptWrite(write, taskSignal)
    if (result.kind === 'swapped') await confirmUnlessFolded(write, result.revision, taskSignal)
    else await resolveConflict(write, result.current, taskSignal)
    return true
  }

  async function attemptWrite (write: PendingWrite, taskSignal: AbortSignal): Promise<SwapAllResult> {
    const swaps = swapsOf(write)
    const bytes = swaps.reduce((sum, { value }) => sum + value.length, 0)
    usage = { ...usage, writes: usage.writes + 1, bytes: usage.bytes + bytes, lastBytes: bytes }
    try {
      return await keyValue.compareAndSwapAll(swaps, taskSignal)
    } catch (error) {
      write.isRepeated = true
      throw error
    }
  }

  function swapsOf ({ sent, opened }: PendingWrite): KeySwap[] {
    const swaps = [{ key: snapshotKey(sent.snapshot), expectedRevision: revision, value: sent.text }]
    if (opened !== undefined) swaps.push({ key: snapshotKey(opened.snapshot), expectedRevision: ABSENT, value: opened.text })
    return swaps
  }

  function confirm ({ sent, opened }: PendingWrite, storedRevision: number): void {
    const { epoch, sequence: written, state } = sent.snapshot
    pending = undefined
    progress.finished = state.kind === 'final'
    usage = { ...usage, confirmedAt: clock.now() }
    if (isClosed(state)) {
      log.info('report-closed', { epoch, sequence: written, state: state.kind })
      startEpoch()
    }
    if (isClosed(state) && opened === undefined) return
    confirmed = opened ?? sent
    revision = storedRevision
  }

  /**
   * Failure guarded against: an earlier attempt was carried out without a reply, and its report was given up, folded and deleted.
   * A condition that the key is absent holds again then, and the epoch, whose name is in the totals, would be ignored from now on.
   */
  async function confirmUnlessFolded (write: PendingWrite, storedRevision: number, taskSignal: AbortSignal): Promise<void> {
    const stored = write.opened ?? write.sent
    const folded = write.isRepeated && revision === ABSENT ? await foldedSequence([stored], taskSignal) : undefined
    confirm(write, storedRevision)
    if (folded !== undefined) continueInNewEpoch(stored, folded, 'folded')
  }

  /** Resets the state of the current key. The next snapshot is written under the key of a new epoch. */
  function startEpoch (): void {
    confirmed = undefined
    revision = ABSENT
    returned = undefined
  }

  /**
   * Determines the state of a write that met another revision.
   *
   * @param current entry of the snapshot's key, and of the next epoch's key if the write opens an epoch
   */
  async function resolveConflict (write: PendingWrite, [current, next]: readonly (KeyValueEntry | undefined)[], taskSignal: AbortSignal): Promise<void> {
    const { sent, opened } = write
    if (opened !== undefined && await resolveOpened(write, opened, next, taskSignal)) return
    if (current?.value === sent.text) return confirmUnlessFolded(write, current.revision, taskSignal)
    if (current !== undefined) return resolveStored(sent, current)
    const folded = await foldedSequence([sent, confirmed], taskSignal)
    if (folded === undefined) revision = ABSENT
    else continueInNewEpoch(sent, folded, 'folded')
  }

  /**
   * Recognises a write that was carried out by the first snapshot of the epoch that it opened, which only this process writes.
   * That snapshot may have been given up and folded since.
   *
   * @returns whether the write was carried out
   */
  async function resolveOpened (write: PendingWrite, opened: SentSnapshot, next: KeyValueEntry | undefined, taskSignal: AbortSignal): Promise<boolean> {
    if (next?.value === opened.text) {
      await confirmUnlessFolded(write, next.revision, taskSignal)
      return true
    }
    if (next !== undefined) {
      confirm(write, next.revision)
      resolveStored(opened, next)
      return true
    }
    const folded = await foldedSequence([opened], taskSignal)
    if (folded === undefined) return false
    confirm(write, ABSENT)
    continueInNewEpoch(opened, folded, 'folded')
    return true
  }

  function resolveStored (sent: SentSnapshot, current: KeyValueEntry): void {
    const stored = decodeSnapshot(current.value)
    if (stored?.state.kind === 'given-up') return continueInNewEpoch(sent, stored.sequence, 'given-up')
    if (current.value === confirmed?.text) revision = current.revision
    else throw new TypeError(`report key ${current.key} contains a snapshot that this process did not write`)
  }

  /**
   * Starts a new epoch after the planner has closed the epoch of this process, which was disconnected or paused but alive.
   * The folded counts remain in the totals. The other counts move to the new epoch, and the count of requests that were
   * regarded as abandoned is reversed.
   */
  function continueInNewEpoch (sent: SentSnapshot, foldedSequence: number, how: string): void {
    const folded = [sent, confirmed].find((candidate) => candidate?.snapshot.sequence === foldedSequence)
    const closed = isClosed(sent.snapshot.state) ? sent.counts : ledger.closeEpoch()
    startEpoch()
    pending = undefined
    log.warn('report-returned', { how, epoch: closed.epoch, sequence: foldedSequence, known: folded !== undefined })
    if (folded === undefined || isClosed(folded.snapshot.state)) return
    ledger.carryOver(closed, folded.counts)
    returned = { epoch: closed.epoch, period: periodOf(folded.snapshot.writtenAt) }
  }

  /**
   * Reads from the totals which snapshot the planner folded before it deleted the key. Returns its sequence number, or
   * undefined if none was folded.
   */
  async function foldedSequence (candidates: readonly (SentSnapshot | undefined)[], taskSignal: AbortSignal): Promise<number | undefined> {
    for (const known of candidates) {
      if (known === undefined) continue
      const entry = await keyValue.get(totalKey({ period: periodOf(known.snapshot.writtenAt), part: COMMON_PART }), taskSignal)
      const total = entry && decodeTotal(entry.value)
      const folded = total?.folded.find((item) => item.name === snapshotName(known.snapshot))
      if (folded !== undefined) return folded.sequence
    }
    return undefined
  }

  /** Runs one task at a time. A later call waits for the earlier ones and then writes what has been counted since. */
  function runExclusively (task: () => Promise<void>): Promise<void> {
    const result = lastTask.then(task)
    lastTask = result.catch(() => {})
    return result
  }

  async function writeOnce (kind: 'counting' | 'final', taskSignal: AbortSignal): Promise<void> {
    await settlePending(taskSignal)
    if (progress.finished) return
    if (hasCountedNothing()) {
      progress.finished = kind === 'final'
      return
    }
    pending ??= prepareWrite(kind === 'final' ? 'final' : nextKind())
    await settlePending(taskSignal)
  }

  async function runWrites (): Promise<void> {
    let pause = MIN_INTERVAL * random.fraction()
    while (!signal.aborted && !progress.finished) {
      await clock.sleep(pause, signal)
      await runExclusively(() => writeOnce('counting', signal)).catch(logFailure)
      pause = intervalFor(usage.lastBytes) * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.fraction())
    }
  }

  function logFailure (error: unknown): void {
    if (!signal.aborted) log.warn('report-not-written', { error: String(error) })
  }

  runWrites().catch(() => {})

  return {
    write: () => runExclusively(() => writeOnce('counting', signal)),
    finish: async (finishSignal) => {
      while (!progress.finished && !finishSignal.aborted) {
        await runExclusively(() => writeOnce('final', finishSignal)).catch(logFailure)
        if (!progress.finished) await clock.sleep(FINISH_RETRY_DELAY, finishSignal).catch(() => {})
      }
      return progress.finished
    },
    usage: () => usage
  }
}

function intervalFor (bytes: number): Milliseconds {
  const affordable = bytes * BASE64_FACTOR / BYTES_PER_SECOND * SECOND
  return Math.min(Math.max(affordable, MIN_INTERVAL), MAX_INTERVAL)
}
