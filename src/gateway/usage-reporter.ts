/**
 * Usage reports by organisation. Every node writes its counts of a window to the store. The holder of the duties sums them
 * up once, records the decision in the journal, and reports it to the platform.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { readJson } from '../json.js'
import { mergeByName } from '../named-values.js'
import { DEFAULT_EPOCH } from '../protocols/epochs.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValueEntry, LeaseId } from '../protocols/key-value.js'
import { epochOf } from '../revision.js'
import { repeat } from '../repeat.js'
import { nextUsageStep, sumCounts, usageJournalSchema, windowOf } from '../usage/index.js'
import type { UsageCounts, UsageJournal, UsageWindows } from '../usage/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { StoreContext } from './follow.js'
import type { DutyCalls, DutyOutcome, DutyProof } from './ports.js'

/** Options of `startUsageReporter`. */
export interface UsageReporterOptions {
  readonly context: StoreContext
  readonly incarnation: string
  readonly windows: UsageWindows
  readonly windowLength: Milliseconds
  /** Time after a window's end at which its report is due. */
  readonly due: Milliseconds
  readonly sharedWall: () => Milliseconds
  readonly duty: DutyHolder
  readonly calls: DutyCalls
  /** Counts of one window by node incarnation, as the nodes reported them to each other. */
  readonly heard: (window: number) => ReadonlyMap<string, UsageCounts>
  /** Counts of one window by node incarnation, of the nodes whose counts this node writes to the store. */
  readonly members: (window: number) => ReadonlyMap<string, UsageCounts>
  /** Another node writes this node's counts together with its own. */
  readonly isMember: () => boolean
  /** The platform refuses a report with a lower fencing number than one that it has seen. */
  readonly fencingIsChecked: boolean
}

const COUNTS_PREFIX = 'hornbeamgap-usage/'
const JOURNAL_KEY = 'hornbeamgap-usage-journal'

/**
 * Pause between two checks for ended windows whose counts are not written yet. Counts of the current window are not
 * written: other nodes keep them in memory, and if all nodes are killed at once the window is incomplete in any case.
 */
const WRITE_PERIOD: Milliseconds = 500

/**
 * Fraction of the due time after which the holder decides a window. By then the nodes have written their counts, and enough
 * time is left to repeat a lost call.
 */
const DECIDE_FRACTION = 0.45

/** Counts are not needed after a few windows. The expiry of their lease deletes them. */
const COUNTS_LIFETIME: Milliseconds = 120 * SECOND

/** Pause between two steps of the holder. */
const STEP_PERIOD: Milliseconds = 300

/** Counts that one node writes for a window, by node incarnation: its own and those of its members. */
const writtenCountsSchema = z.record(z.string(), z.record(z.string(), z.number().int().nonnegative()))

/**
 * Starts the periodic writing and reporting of usage. They end with the signal of the context.
 *
 * @returns `flush` writes the counts of the present window and of the one before
 * @example
 * const reporter = startUsageReporter({ context, incarnation, windows, windowLength, due, sharedWall, duty, calls, heard, members, isMember, fencingIsChecked })
 * await reporter.flush()
 */
export function startUsageReporter (options: UsageReporterOptions): { flush: () => Promise<void> } {
  const { context, incarnation, windows, windowLength, sharedWall, duty, calls, due } = options
  const { store, clock, log, signal } = context
  let lease: { readonly id: LeaseId, readonly until: Milliseconds } | undefined
  const written = new Map<number, string>()

  /** The lease for written counts. Grants a new one once half of its time is over. */
  async function currentLease (): Promise<LeaseId> {
    if (lease !== undefined && clock.now() < lease.until) return lease.id
    const id = await store.grantLease(COUNTS_LIFETIME, signal)
    lease = { id, until: clock.now() + COUNTS_LIFETIME / 2 }
    return id
  }

  /** Writes the counts of the last two windows that have ended. */
  async function writeEnded (): Promise<void> {
    if (options.isMember()) return
    const present = windowOf(sharedWall(), windowLength)
    await writeCounts([present - 2, present - 1])
  }

  /** The stored form of the counts of this node and its members; undefined if no request began in the window. */
  function serializeCounts (window: number): string | undefined {
    const byNode = [...options.members(window), [incarnation, windows.counts(window)] as const].filter(([, counts]) => Object.keys(counts).length > 0)
    return byNode.length === 0 ? undefined : JSON.stringify(Object.fromEntries(byNode))
  }

  /** Writes the counts of these windows that differ from what was last written. */
  async function writeCounts (windowNumbers: readonly number[]): Promise<void> {
    const present = windowOf(sharedWall(), windowLength)
    for (const window of windowNumbers) {
      const counts = serializeCounts(window)
      if (counts === undefined || written.get(window) === counts) continue
      await store.put(`${COUNTS_PREFIX}${window}/${incarnation}`, counts, { lease: await currentLease(), signal })
      written.set(window, counts)
    }
    for (const window of written.keys()) if (window < present - 2) written.delete(window)
    windows.discardBefore(present - 6)
  }

  /** Sums the counts of a window over all nodes, as written to the store and as reported by the nodes directly. */
  async function sumWindow (window: number): Promise<UsageCounts> {
    const prefix = `${COUNTS_PREFIX}${window}/`
    const { entries } = await store.list(prefix, signal)
    const byNode = new Map<string, UsageCounts>(options.heard(window))
    for (const entry of entries) {
      const written = readJson(writtenCountsSchema, entry.value)
      if (written === undefined) log.warn('usage-counts-unreadable', { key: entry.key })
      // A node that changed its aggregator may be in the counts of both. The higher count is the later one.
      for (const [name, counts] of Object.entries(written ?? {})) byNode.set(name, maxCounts(byNode.get(name), counts))
    }
    byNode.set(incarnation, maxCounts(byNode.get(incarnation), windows.counts(window)))
    return sumCounts([...byNode.values()])
  }

  /** Runs the next step of the journal if this node holds the duties: begins a journal, decides a window or reports it. */
  async function runStep (): Promise<void> {
    const proof = duty.proof()
    if (proof === undefined) return
    const lastComplete = windowOf(sharedWall() - due * DECIDE_FRACTION, windowLength) - 1
    if (isDone(lastComplete)) return
    const entry = await store.get(JOURNAL_KEY, signal)
    const journal = entry && readJson(usageJournalSchema, entry.value)
    const epoch = entry === undefined ? store.epochs.current() ?? DEFAULT_EPOCH : epochOf(entry.revision)
    const step = nextUsageStep(journal, epoch, lastComplete)
    switch (step.kind) {
      case 'wait':
        acknowledged = journal?.window ?? acknowledged
        return
      case 'close': {
        const opening = await firstJournalOf(step.window, epoch, proof)
        const swap = await store.compareAndSwap(JOURNAL_KEY, entry?.revision ?? ABSENT, JSON.stringify(opening), { signal })
        if (swap.kind === 'swapped') log.warn('usage-journal-begun', { window: opening.window, ended: step.window, epoch, found: describeJournal(entry, journal) })
        return
      }
      case 'decide': {
        const decided: UsageJournal = { window: step.window, counts: await sumWindow(step.window), acknowledged: false, epoch }
        const swap = await store.compareAndSwap(JOURNAL_KEY, entry?.revision ?? ABSENT, JSON.stringify(decided), { signal })
        if (swap.kind === 'conflict') return
        log.info('usage-decided', { window: decided.window, total: Object.values(decided.counts).reduce((sum, one) => sum + one, 0), fencing: proof.fencing, after: journal?.window, epoch })
        return report(decided, swap.revision)
      }
      case 'report': return report(step.journal, entry?.revision ?? ABSENT)
    }
  }

  /**
   * The first journal of an epoch. It continues from this node's last report if no other node has reported since.
   * Otherwise it closes all windows up to `ended`.
   *
   * To find out, the last report is repeated under its own fencing number, which the platform accepts only if it has seen
   * no higher one. It is then repeated under the present number, so that the platform refuses delayed reports of an earlier
   * holder. Repeated reports with the same counts count once. A report without an answer may have been accepted, so it is
   * repeated like an accepted one.
   */
  async function firstJournalOf (ended: number, epoch: number, proof: DutyProof): Promise<UsageJournal> {
    const closed: UsageJournal = { window: ended, counts: {}, acknowledged: true, epoch }
    if (lastReport === undefined || !options.fencingIsChecked) return closed
    const { journal } = lastReport
    for (const proofToSend of [lastReport.proof, proof]) {
      if (await sendReport(journal, proofToSend) !== 'accepted') return closed
    }
    return { ...journal, acknowledged: true, epoch }
  }

  /** Latest window that is known to be acknowledged or closed. */
  let acknowledged = -1
  /** The last report of this node, whether it was answered or not. */
  let lastReport: { readonly journal: UsageJournal, readonly proof: DutyProof } | undefined

  function isDone (window: number): boolean {
    return acknowledged >= window
  }

  async function report (journal: UsageJournal, revision: number): Promise<void> {
    const proof = duty.proof()
    if (proof === undefined) return
    switch (await sendReport(journal, proof)) {
      case 'superseded': return duty.superseded(proof)
      case 'refused':
      case 'unavailable': return
      case 'accepted': {
        const swap = await store.compareAndSwap(JOURNAL_KEY, revision, JSON.stringify({ ...journal, acknowledged: true }), { signal })
        if (swap.kind === 'swapped') acknowledged = journal.window
      }
    }
  }

  async function sendReport (journal: UsageJournal, proof: DutyProof): Promise<DutyOutcome> {
    duty.recordCall()
    lastReport = { journal, proof }
    const outcome = await calls.reportUsage(proof, journal.window, journal.counts, signal)
    log.info('usage-reported', { window: journal.window, outcome, fencing: proof.fencing })
    return outcome
  }

  store.epochs.onRestore(() => {
    lease = undefined
    written.clear()
    acknowledged = -1
  })
  repeat(context, 'usage-counts', WRITE_PERIOD, writeEnded)
  repeat(context, 'usage-report', STEP_PERIOD, runStep)
  return {
    flush: () => {
      const present = windowOf(sharedWall(), windowLength)
      return writeCounts([present - 1, present])
    }
  }
}

/** The reason why the journal does not tell what was reported in this epoch. */
function describeJournal (entry: KeyValueEntry | undefined, journal: UsageJournal | undefined): 'missing' | 'unreadable' | 'earlier' {
  if (entry === undefined) return 'missing'
  return journal === undefined ? 'unreadable' : 'earlier'
}

/** The higher count of each organisation. Counts of a node only rise, so the higher one is the later one. */
function maxCounts (left: UsageCounts | undefined, right: UsageCounts): UsageCounts {
  if (left === undefined) return right
  return mergeByName([left, right], (known = 0, count) => Math.max(known, count))
}
