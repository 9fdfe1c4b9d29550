/** Usage by organisation: nodes write counts, the duties' holder decides a window once and reports it. */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { readJson } from '../json.js'
import { ONLY_EPOCH } from '../protocols/epochs.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValueEntry, LeaseId } from '../protocols/key-value.js'
import { epochOf } from '../revision.js'
import { repeat } from '../repeat.js'
import { nextUsageStep, sumCounts, usageJournalSchema, windowOf } from '../usage/index.js'
import type { UsageCounts, UsageJournal, UsageWindows } from '../usage/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { StoreContext } from './follow.js'
import type { DutyCalls, DutyOutcome, DutyProof } from './ports.js'

/** What the keeper needs. */
export interface UsageKeeperOptions {
  readonly context: StoreContext
  readonly incarnation: string
  readonly windows: UsageWindows
  readonly windowLength: Milliseconds
  /** Time after a window's end at which its report is due. */
  readonly due: Milliseconds
  readonly sharedWall: () => Milliseconds
  readonly duty: DutyHolder
  readonly calls: DutyCalls
  /** Counts of one window by incarnation, as the nodes told each other. */
  readonly heard: (window: number) => ReadonlyMap<string, UsageCounts>
  /** Counts of one window by incarnation, of the nodes that leave it to this one to write them. */
  readonly members: (window: number) => ReadonlyMap<string, UsageCounts>
  /** Another node writes this one's counts with its own. */
  readonly isMember: () => boolean
  /** The platform refuses a report under a lower number than one that it has seen. */
  readonly fencingIsChecked: boolean
}

const COUNTS_PREFIX = 'hornbeamgap-usage/'
const JOURNAL_KEY = 'hornbeamgap-usage-journal'

/**
 * How often a node looks whether a window has ended whose counts it hasn't written. Each window is written once:
 * the counts of one that is under way live with the other nodes, and a kill of all nodes spoils it anyway.
 */
const WRITE_PERIOD: Milliseconds = 500

/** Part of the due time after which the holder decides: nodes have written by then, and a lost call can be repeated. */
const DECIDE_PART = 0.45

/** Counts are of no use after a few windows; their lease takes them away. */
const COUNTS_LIFE: Milliseconds = 120 * SECOND

const STEP_PERIOD: Milliseconds = 300

/** What one node writes for a window: counts by incarnation, its own and its members'. */
const writtenCountsSchema = z.record(z.string(), z.record(z.string(), z.number().int().nonnegative()))

/**
 * @example
 * keepUsage({ context, incarnation, windows, windowLength, due, sharedWall, duty, calls, heard })
 */
export function keepUsage (options: UsageKeeperOptions): { flush: () => Promise<void> } {
  const { context, incarnation, windows, windowLength, sharedWall, duty, calls, due } = options
  const { store, clock, log, signal } = context
  let lease: { readonly id: LeaseId, readonly until: Milliseconds } | undefined
  const written = new Map<number, string>()

  async function leaseFor (): Promise<LeaseId> {
    if (lease !== undefined && clock.now() < lease.until) return lease.id
    const id = await store.grantLease(COUNTS_LIFE, signal)
    lease = { id, until: clock.now() + COUNTS_LIFE / 2 }
    return id
  }

  /** Writes the counts of windows that have ended. */
  async function writeEnded (): Promise<void> {
    if (options.isMember()) return
    const present = windowOf(sharedWall(), windowLength)
    await write([present - 2, present - 1])
  }

  /** As written to the store: what began at this node and at its members; undefined where nothing did. */
  function countsText (window: number): string | undefined {
    const byNode = [...options.members(window), [incarnation, windows.counts(window)] as const].filter(([, counts]) => Object.keys(counts).length > 0)
    return byNode.length === 0 ? undefined : JSON.stringify(Object.fromEntries(byNode))
  }

  /** Writes counts that have changed since they were written. */
  async function write (due: readonly number[]): Promise<void> {
    const present = windowOf(sharedWall(), windowLength)
    for (const window of due) {
      const counts = countsText(window)
      if (counts === undefined || written.get(window) === counts) continue
      await store.put(`${COUNTS_PREFIX}${window}/${incarnation}`, counts, { lease: await leaseFor(), signal })
      written.set(window, counts)
    }
    for (const window of written.keys()) if (window < present - 2) written.delete(window)
    windows.discardBefore(present - 6)
  }

  async function count (window: number): Promise<UsageCounts> {
    const prefix = `${COUNTS_PREFIX}${window}/`
    const { entries } = await store.list(prefix, signal)
    const byNode = new Map<string, UsageCounts>(options.heard(window))
    for (const entry of entries) {
      const written = readJson(writtenCountsSchema, entry.value)
      if (written === undefined) log.warn('usage-counts-unreadable', { key: entry.key })
      // Two nodes write the counts of one that went from one to the other.
      for (const [name, counts] of Object.entries(written ?? {})) byNode.set(name, larger(byNode.get(name), counts))
    }
    byNode.set(incarnation, larger(byNode.get(incarnation), windows.counts(window)))
    return sumCounts([...byNode.values()])
  }

  /** One step of the holder. */
  async function act (): Promise<void> {
    const proof = duty.proof()
    if (proof === undefined) return
    const lastComplete = windowOf(sharedWall() - due * DECIDE_PART, windowLength) - 1
    if (isDone(lastComplete)) return
    const entry = await store.get(JOURNAL_KEY, signal)
    const journal = entry && readJson(usageJournalSchema, entry.value)
    const epoch = entry === undefined ? store.epochs.current() ?? ONLY_EPOCH : epochOf(entry.revision)
    const step = nextUsageStep(journal, epoch, lastComplete)
    switch (step.kind) {
      case 'wait':
        acknowledged = journal?.window ?? acknowledged
        return
      case 'close': {
        const opening = await openingOf(step.window, epoch, proof)
        const swap = await store.compareAndSwap(JOURNAL_KEY, entry?.revision ?? ABSENT, JSON.stringify(opening), { signal })
        if (swap.kind === 'swapped') log.warn('usage-journal-begun', { window: opening.window, ended: step.window, epoch, found: describe(entry, journal) })
        return
      }
      case 'decide': {
        const decided: UsageJournal = { window: step.window, counts: await count(step.window), acknowledged: false, epoch }
        const swap = await store.compareAndSwap(JOURNAL_KEY, entry?.revision ?? ABSENT, JSON.stringify(decided), { signal })
        if (swap.kind === 'conflict') return
        log.info('usage-decided', { window: decided.window, total: Object.values(decided.counts).reduce((sum, one) => sum + one, 0), fencing: proof.fencing, after: journal?.window, epoch })
        return report(decided, swap.revision)
      }
      case 'report': return report(step.journal, entry?.revision ?? ABSENT)
    }
  }

  /**
   * The first journal of an epoch: what this node has reported last, where nobody else has reported since, and otherwise one
   * that closes all windows up to `ended`.
   *
   * The platform takes the last report once more under the number that it was made with, unless it has seen a higher one;
   * then under the present one, so that a report which is still on its way from a holder of before is refused. The same
   * counts again count once. A report without an answer may have been accepted: it is repeated like one that was.
   */
  async function openingOf (ended: number, epoch: number, proof: DutyProof): Promise<UsageJournal> {
    const closed: UsageJournal = { window: ended, counts: {}, acknowledged: true, epoch }
    if (lastReport === undefined || !options.fencingIsChecked) return closed
    const { journal } = lastReport
    for (const number of [lastReport.proof, proof]) {
      if (await send(journal, number) !== 'accepted') return closed
    }
    return { ...journal, acknowledged: true, epoch }
  }

  let acknowledged = -1
  /** What this node has sent last, answered or not. */
  let lastReport: { readonly journal: UsageJournal, readonly proof: DutyProof } | undefined

  function isDone (window: number): boolean {
    return acknowledged >= window
  }

  async function report (journal: UsageJournal, revision: number): Promise<void> {
    const proof = duty.proof()
    if (proof === undefined) return
    switch (await send(journal, proof)) {
      case 'superseded': return duty.superseded(proof)
      case 'refused':
      case 'unavailable': return
      case 'accepted': {
        const swap = await store.compareAndSwap(JOURNAL_KEY, revision, JSON.stringify({ ...journal, acknowledged: true }), { signal })
        if (swap.kind === 'swapped') acknowledged = journal.window
      }
    }
  }

  async function send (journal: UsageJournal, proof: DutyProof): Promise<DutyOutcome> {
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
  repeat(context, 'usage-report', STEP_PERIOD, act)
  return {
    flush: () => {
      const present = windowOf(sharedWall(), windowLength)
      return write([present - 1, present])
    }
  }
}

/** Why the journal says nothing of what was reported. */
function describe (entry: KeyValueEntry | undefined, journal: UsageJournal | undefined): 'missing' | 'unreadable' | 'earlier' {
  if (entry === undefined) return 'missing'
  return journal === undefined ? 'unreadable' : 'earlier'
}

/** A node's counts only rise; whichever source has seen more of them is later. */
function larger (left: UsageCounts | undefined, right: UsageCounts): UsageCounts {
  if (left === undefined) return right
  const most: Record<string, number> = { ...left }
  for (const [organisation, count] of Object.entries(right)) most[organisation] = Math.max(most[organisation] ?? 0, count)
  return most
}
