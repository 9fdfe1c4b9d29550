/**
 * The ledger of one node. It counts in epochs: a closed epoch never changes again, so that its counts
 * can be folded into the totals while the next one goes on.
 */
import type { Milliseconds } from '../clock.js'
import type { RequestId, ServiceName } from '../identifiers.js'
import type { DeadHomeCounts, Outcome, RequestKey, RequestTimes } from '../request/index.js'
import type { Counts } from './counts.js'
import { deathNotesOf } from './death.js'
import type { DeathNote } from './death.js'
import { recordLatency } from './latency.js'
import { addRefusals, addWritten, createTally, periodOf, subtractWritten, writeTally } from './tally.js'
import type { Cell, CellKey, Tally, WrittenCell } from './tally.js'
import type { Ledger, WorkDone } from './types.js'

/** Requests that are open in a cell. */
export interface OpenCount extends CellKey {
  readonly open: number
}

/** Money spent for a service in a period, in the cloud's currency. */
export interface Spend {
  readonly period: Milliseconds
  readonly service: ServiceName
  readonly amount: number
}

/** What was counted in one epoch, and what is open at this moment. */
export interface EpochCounts {
  /** 1 for the first. */
  readonly epoch: number
  /** Wall time of its first moment. */
  readonly since: Milliseconds
  readonly cells: readonly WrittenCell[]
  readonly open: readonly OpenCount[]
  readonly spend: readonly Spend[]
  /** What this node's notes tell of nodes that died. */
  readonly deaths: readonly DeathNote[]
}

/** A ledger that can be read, and whose epochs can be closed. */
export interface CountingLedger extends Ledger {
  /** Adds what a service's instances cost. */
  spent (service: ServiceName, amount: number): void
  /** What was open at a node that died; a remark on what is counted elsewhere. */
  died (account: DeadHomeCounts): void
  /** Wall time of the running epoch's first moment. */
  since (): Milliseconds
  /** Counts of the running epoch. */
  snapshot (): EpochCounts
  /** Ends the running epoch and returns its counts, which are final. */
  closeEpoch (): EpochCounts
  /**
   * Moves the part of a closed epoch that was not folded into the running one.
   *
   * @param folded what was folded of it, with its open requests counted as abandoned
   */
  carry (closed: EpochCounts, folded: EpochCounts): void
  /** Open requests, and events for requests that were not open; the latter should stay 0. */
  usage (): { open: number, strays: number, cells: number }
}

/**
 * @param options `wall`: wall clock; a request belongs to the hour in which it was accepted
 * @example
 * const ledger = createLedger({ wall: clock.wall })
 * ledger.accepted(request)
 */
export function createLedger (options: { wall: () => Milliseconds }): CountingLedger {
  const { wall } = options
  const open = new Map<RequestId, CellKey>()
  let epoch = 1
  let since = wall()
  let tally = createTally()
  let spend = new Map<string, Spend>()
  let deaths: DeathNote[] = []
  let strays = 0

  function enter (request: RequestKey, period: Milliseconds): Cell | undefined {
    if (open.has(request.id)) {
      strays += 1
      return undefined
    }
    const cell = tally.cell({ period, class: request.class, organisation: request.organisation })
    open.set(request.id, cell.key)
    return cell
  }

  /** The request's cell in the running epoch, which may be a later one than that of its acceptance. */
  function leave (request: RequestKey): Cell | undefined {
    const key = open.get(request.id)
    if (key === undefined) {
      strays += 1
      return undefined
    }
    open.delete(request.id)
    return tally.cell(key)
  }

  function addSpend (period: Milliseconds, service: ServiceName, amount: number): void {
    const name = `${period}/${service}`
    spend.set(name, { period, service, amount: amount + (spend.get(name)?.amount ?? 0) })
  }

  function snapshot (): EpochCounts {
    return { epoch, since, cells: writeTally(tally), open: countOpen(open.values()), spend: [...spend.values()], deaths: [...deaths] }
  }

  return {
    accepted: (request) => {
      const cell = enter(request, periodOf(wall()))
      if (cell !== undefined) cell.counts.accepted += 1
    },
    refused: (organisation, requestClass, code) => {
      const cell = tally.cell({ period: periodOf(wall()), class: requestClass, organisation })
      cell.counts.refused += 1
      addRefusals(cell.refusals, code, 1)
    },
    ended: (request, outcome, times, work) => {
      const cell = leave(request)
      if (cell === undefined) return
      countOutcome(cell, outcome)
      countWork(cell.counts, work)
      if (outcome.kind === 'served') recordTimes(cell, times, work)
    },
    handedOver: (request) => {
      const cell = leave(request)
      if (cell !== undefined) cell.counts.handedOver += 1
    },
    takenOver: (request, acceptedAtWall) => {
      const cell = enter(request, periodOf(acceptedAtWall ?? wall()))
      if (cell !== undefined) cell.counts.takenOver += 1
    },
    spent: (service, amount) => addSpend(periodOf(wall()), service, amount),
    died: (account) => { deaths.push(...deathNotesOf(account, periodOf(wall()))) },
    since: () => since,
    snapshot,
    closeEpoch: () => {
      const closed = snapshot()
      epoch += 1
      since = wall()
      tally = createTally()
      spend = new Map()
      deaths = []
      return closed
    },
    carry: (closed, folded) => {
      addWritten(tally, closed.cells)
      subtractWritten(tally, folded.cells)
      // The folder counted these as abandoned, and they are not: this node lives and counts their ends.
      for (const one of folded.open) tally.cell(one).counts.abandoned -= one.open
      // Notes are only appended, so those that were folded are the first ones.
      deaths.push(...closed.deaths.slice(folded.deaths.length))
      for (const one of closed.spend) addSpend(one.period, one.service, one.amount)
      for (const one of folded.spend) addSpend(one.period, one.service, -one.amount)
    },
    usage: () => ({ open: open.size, strays, cells: tally.size() })
  }
}

function countOpen (keys: Iterable<CellKey>): OpenCount[] {
  const counted: Tally = createTally()
  for (const key of keys) counted.cell(key).counts.accepted += 1
  return [...counted.cells()].map((cell) => ({ ...cell.key, open: cell.counts.accepted }))
}

function countOutcome (cell: Cell, outcome: Outcome): void {
  const { counts } = cell
  switch (outcome.kind) {
    case 'served':
      counts[outcome.late ? 'late' : 'served'] += 1
      return
    case 'refused':
      counts.refusedLater += 1
      addRefusals(cell.refusals, outcome.code, 1)
      return
    case 'lost':
      counts.lost += 1
      return
    case 'unknown':
      counts.unknown += 1
  }
}

function countWork (counts: Counts, work: WorkDone): void {
  counts.generatedTokens += Math.round(work.generatedTokens)
  counts.recomputedTokens += Math.round(work.recomputedTokens)
}

function recordTimes (cell: Cell, times: RequestTimes, work: WorkDone): void {
  const { acceptedAt, firstTokenAt, endedAt } = times
  if (firstTokenAt !== undefined) recordLatency(cell.latencies, 'firstToken', firstTokenAt - acceptedAt)
  if (endedAt === undefined) return
  recordLatency(cell.latencies, 'wholeAnswer', endedAt - acceptedAt)
  if (firstTokenAt === undefined || work.generatedTokens < 2) return
  recordLatency(cell.latencies, 'betweenTokens', (endedAt - firstTokenAt) / (work.generatedTokens - 1))
}
