/**
 * Writes this process's report to the key-value service: cumulative counts at a slow, jittered pace,
 * and once more at the end of a planned stop.
 *
 * One snapshot is written at a time, and the next one is made only when the fate of this one is
 * known. After a lost reply the same text is sent again: if it had taken effect, the conflict shows
 * the very text. So the stored snapshot is always one of two that the keeper still has, and when a
 * folder has taken it, the keeper can tell exactly what was counted.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import type { Log } from '../log.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue, KeyValueEntry } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import { COMMON_PART, decodeSnapshot, decodeTotal, encodeSnapshot, isClosed, periodOf, snapshotKey, snapshotName, totalKey } from '../report/index.js'
import type { CountingLedger, EpochCounts, Snapshot } from '../report/index.js'

/** Writes one process's report. */
export interface ReportKeeper {
  /** Writes what is counted now. Rejects with a ServingError when the service cannot be reached. */
  write (): Promise<void>
  /**
   * Writes the last report of a planned stop, again and again until it is confirmed or the signal
   * aborts; then resolves to whether it was confirmed. Nothing may be counted after it.
   */
  finish (signal: AbortSignal): Promise<boolean>
  /** What writing has cost and how far it is behind. */
  usage (): { writes: number, bytes: number, lastBytes: number, confirmedAt: Milliseconds | undefined }
}

/** What the keeper needs. */
export interface ReportKeeperOptions {
  readonly incarnation: Incarnation
  readonly instance: InstanceName
  readonly ledger: CountingLedger
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Ends the writing at once, as the death of the process would. */
  readonly signal: AbortSignal
}

/** Bytes a second on the wire that a report may cost; the pace follows from its size. */
const BYTES_PER_SECOND = 600

/** The service's JSON form carries values in base64. */
const WIRE_FACTOR = 4 / 3

const FASTEST_PACE: Milliseconds = 30 * SECOND
const SLOWEST_PACE: Milliseconds = 5 * MINUTE

/** The pace varies by this share either way, so that nodes started together drift apart. */
const JITTER = 0.25

/** Room for growth between two snapshots in what one says about the time of the next. */
const GROWTH = 1.5

/** Pause between two tries of the last report. */
const FINISH_RETRY: Milliseconds = 250

/** Conflicts in a row that one write settles before it leaves the rest to the next one. */
const MOST_STEPS = 6

type SentHead = Pick<Snapshot, 'incarnation' | 'epoch' | 'sequence' | 'writtenAt' | 'state'>

/** A snapshot that was sent, as text and as what is counted in it. */
interface Sent {
  readonly snapshot: SentHead
  readonly counts: EpochCounts
  readonly text: string
}

/**
 * @example
 * const reports = createReportKeeper({ incarnation, instance, ledger, keyValue, clock, random, log, signal })
 */
export function createReportKeeper (options: ReportKeeperOptions): ReportKeeper {
  const { incarnation, instance, ledger, keyValue, clock, random, log, signal } = options
  let sequence = 0
  let revision = ABSENT
  let confirmed: Sent | undefined
  let pending: Sent | undefined
  let returned: Snapshot['returned']
  let turn: Promise<void> = Promise.resolve()
  const progress = { finished: false }
  let usage: ReturnType<ReportKeeper['usage']> = { writes: 0, bytes: 0, lastBytes: 0, confirmedAt: undefined }

  function prepare (kind: 'counting' | 'closed' | 'final'): Sent {
    const counts = kind === 'counting' ? ledger.snapshot() : ledger.closeEpoch()
    sequence += 1
    const nextWithin = paceOf(usage.lastBytes * GROWTH) * (1 + JITTER)
    const head = { incarnation, instance, sequence, writtenAt: clock.wall(), nextWithin, state: { kind }, returned }
    return { snapshot: { ...head, epoch: counts.epoch }, counts, text: encodeSnapshot(head, counts) }
  }

  /** An epoch is closed in the first write after its period, so totals of past periods grow complete. */
  function nextKind (): 'counting' | 'closed' {
    const since = ledger.since()
    return periodOf(clock.wall()) > periodOf(since) ? 'closed' : 'counting'
  }

  /** Most planners never hold the lease: a process that has never counted anything writes nothing. */
  function nothingToTell (): boolean {
    if (sequence > 0) return false
    const { cells, open, spend, deaths } = ledger.snapshot()
    return cells.length + open.length + spend.length + deaths.length === 0
  }

  async function settle (owner: AbortSignal): Promise<void> {
    for (let step = 0; pending !== undefined && step < MOST_STEPS; step += 1) {
      const sent = pending
      usage = { ...usage, writes: usage.writes + 1, bytes: usage.bytes + sent.text.length, lastBytes: sent.text.length }
      const result = await keyValue.compareAndSwap(snapshotKey(sent.snapshot), revision, sent.text, { signal: owner })
      if (result.kind === 'swapped') confirm(sent, result.revision)
      else await resolve(sent, result.current, owner)
    }
  }

  function confirm (sent: Sent, at: number): void {
    pending = undefined
    progress.finished = sent.snapshot.state.kind === 'final'
    usage = { ...usage, confirmedAt: clock.now() }
    if (isClosed(sent.snapshot.state)) return startEpoch()
    confirmed = sent
    revision = at
  }

  function startEpoch (): void {
    confirmed = undefined
    revision = ABSENT
    returned = undefined
  }

  async function resolve (sent: Sent, current: KeyValueEntry | undefined, owner: AbortSignal): Promise<void> {
    if (current?.value === sent.text) return confirm(sent, current.revision)
    if (current !== undefined) return resolveOther(sent, current)
    const folded = await foldedSequence(sent, owner)
    if (folded === undefined) revision = ABSENT
    else continueAfter(sent, folded, 'folded')
  }

  function resolveOther (sent: Sent, current: KeyValueEntry): void {
    const stored = decodeSnapshot(current.value)
    if (stored?.state.kind === 'given-up') return continueAfter(sent, stored.sequence, 'given-up')
    if (current.value === confirmed?.text) revision = current.revision
    else throw new TypeError(`the report under ${current.key} is not this process's own`)
  }

  /**
   * A folder gave this process up while it lived, cut off or paused. What it folded stays; the rest of
   * the epoch moves into a new one, and what it took as abandoned is taken back.
   */
  function continueAfter (sent: Sent, foldedSequence: number, how: string): void {
    const folded = [sent, confirmed].find((known) => known?.snapshot.sequence === foldedSequence)
    const closed = isClosed(sent.snapshot.state) ? sent.counts : ledger.closeEpoch()
    startEpoch()
    pending = undefined
    log.warn('report-returned', { how, epoch: closed.epoch, sequence: foldedSequence, known: folded !== undefined })
    if (folded === undefined || isClosed(folded.snapshot.state)) return
    ledger.carryOver(closed, folded.counts)
    returned = { epoch: closed.epoch, period: periodOf(folded.snapshot.writtenAt) }
  }

  /** The key is gone: a folder has folded and deleted it. Its totals say which sequence number it took. */
  async function foldedSequence (sent: Sent, owner: AbortSignal): Promise<number | undefined> {
    for (const known of [sent, confirmed]) {
      if (known === undefined) continue
      const entry = await keyValue.get(totalKey({ period: periodOf(known.snapshot.writtenAt), part: COMMON_PART }), owner)
      const total = entry && decodeTotal(entry.value)
      const folded = total?.folded.find((one) => one.name === snapshotName(known.snapshot))
      if (folded !== undefined) return folded.sequence
    }
    return undefined
  }

  /** One write at a time: a second caller waits for the first and then writes what came since. */
  function exclusively (task: () => Promise<void>): Promise<void> {
    const result = turn.then(task)
    turn = result.catch(() => {})
    return result
  }

  async function writeOnce (kind: 'counting' | 'final', owner: AbortSignal): Promise<void> {
    await settle(owner)
    if (progress.finished) return
    if (nothingToTell()) {
      progress.finished = kind === 'final'
      return
    }
    pending ??= prepare(kind === 'final' ? 'final' : nextKind())
    await settle(owner)
  }

  async function run (): Promise<void> {
    let pause = FASTEST_PACE * random.fraction()
    while (!signal.aborted && !progress.finished) {
      await clock.sleep(pause, signal)
      await exclusively(() => writeOnce('counting', signal)).catch(warn)
      pause = paceOf(usage.lastBytes) * (1 - JITTER + 2 * JITTER * random.fraction())
    }
  }

  function warn (error: unknown): void {
    if (!signal.aborted) log.warn('report-not-written', { error: String(error) })
  }

  run().catch(() => {})

  return {
    write: () => exclusively(() => writeOnce('counting', signal)),
    finish: async (owner) => {
      while (!progress.finished && !owner.aborted) {
        await exclusively(() => writeOnce('final', owner)).catch(warn)
        if (!progress.finished) await clock.sleep(FINISH_RETRY, owner).catch(() => {})
      }
      return progress.finished
    },
    usage: () => usage
  }
}

function paceOf (bytes: number): Milliseconds {
  const affordable = bytes * WIRE_FACTOR / BYTES_PER_SECOND * SECOND
  return Math.min(Math.max(affordable, FASTEST_PACE), SLOWEST_PACE)
}
