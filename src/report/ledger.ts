/**
 * The ledger of one node, which counts requests for the reports. Counting is divided into epochs. A closed epoch never
 * changes again, so its counts can be folded into the totals while the node counts in the next epoch.
 */
import type { Milliseconds } from '../clock.js'
import type { RequestId, ServiceName } from '../identifiers.js'
import type { DeadHomeCounts, Outcome, RequestKey, RequestTimes } from '../request/index.js'
import type { RequestCounts } from './counts.js'
import { deathRecordsOf } from './death.js'
import type { DeathRecord } from './death.js'
import { recordLatency } from './latency.js'
import { addEncodedCells, addRefusals, createTally, encodeTally, periodOf, subtractEncodedCells } from './tally.js'
import type { Cell, CellKey, EncodedCell, Tally } from './tally.js'
import type { Ledger, WorkDone } from './types.js'

/** Number of open requests of one cell. */
export interface OpenCount extends CellKey {
  readonly open: number
}

/** Cost of the instances of a service in a period, in the currency of the cloud provider. */
export interface Spend {
  readonly period: Milliseconds
  readonly service: ServiceName
  readonly amount: number
}

/** Counts of one epoch, and the requests that are open now. */
export interface EpochCounts {
  /** Number of the epoch, starting at 1. */
  readonly epoch: number
  /** Wall time of the start of the epoch. */
  readonly since: Milliseconds
  readonly cells: readonly EncodedCell[]
  readonly open: readonly OpenCount[]
  readonly spend: readonly Spend[]
  /** What this node noted about the requests of nodes that died. */
  readonly deaths: readonly DeathRecord[]
}

/** Ledger with access to its counts and control over its epochs. */
export interface CountingLedger extends Ledger {
  /** Adds to the cost of the instances of a service. */
  spent (service: ServiceName, amount: number): void
  /** Records what became of the requests of a node that died. It adds nothing to the counts of requests. */
  nodeDied (counts: DeadHomeCounts): void
  /** Wall time of the start of the current epoch. */
  since (): Milliseconds
  /** Returns the counts of the current epoch. */
  snapshot (): EpochCounts
  /** Closes the current epoch, starts the next one, and returns the final counts of the closed epoch. */
  closeEpoch (): EpochCounts
  /**
   * Adds the counts of a closed epoch that were not folded into a total to the current epoch. Needed when the node was
   * given up while it was alive, so that only an earlier snapshot of the epoch was folded.
   *
   * @param closed final counts of the epoch
   * @param folded counts of the snapshot that was folded. Its open requests were counted as abandoned.
   */
  carryOver (closed: EpochCounts, folded: EpochCounts): void
  /**
   * Number of open requests, of events that did not match the state of their request, and of cells. Unmatched events,
   * such as a second acceptance of an open request or the end of a request that is not open, should not occur.
   */
  usage (): { open: number, unmatchedEvents: number, cells: number }
}

/**
 * Creates an empty ledger.
 *
 * @param options `wall`: wall clock, which determines the period of each request
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
  let deaths: DeathRecord[] = []
  let unmatchedEvents = 0

  /** Adds an open request and returns its cell. Returns undefined if the request is open already. */
  function addOpen (request: RequestKey, period: Milliseconds): Cell | undefined {
    if (open.has(request.id)) {
      unmatchedEvents += 1
      return undefined
    }
    const cell = tally.cell({ period, class: request.class, organisation: request.organisation })
    open.set(request.id, cell.key)
    return cell
  }

  /**
   * Removes an open request and returns its cell in the current epoch, which may be later than the epoch of its
   * acceptance. Returns undefined if the request is not open.
   */
  function removeOpen (request: RequestKey): Cell | undefined {
    const key = open.get(request.id)
    if (key === undefined) {
      unmatchedEvents += 1
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
    return { epoch, since, cells: encodeTally(tally), open: countOpen(open.values()), spend: [...spend.values()], deaths: [...deaths] }
  }

  return {
    accepted: (request) => {
      const cell = addOpen(request, periodOf(wall()))
      if (cell !== undefined) cell.counts.accepted += 1
    },
    refused: (organisation, requestClass, code) => {
      const cell = tally.cell({ period: periodOf(wall()), class: requestClass, organisation })
      cell.counts.refused += 1
      addRefusals(cell.refusals, code, 1)
    },
    ended: (request, outcome, times, work) => {
      const cell = removeOpen(request)
      if (cell === undefined) return
      countOutcome(cell, outcome)
      countWork(cell.counts, work)
      if (outcome.kind === 'served') recordTimes(cell, times, work)
    },
    handedOver: (request) => {
      const cell = removeOpen(request)
      if (cell !== undefined) cell.counts.handedOver += 1
    },
    takenOver: (request, acceptedAtWall) => {
      const cell = addOpen(request, periodOf(acceptedAtWall ?? wall()))
      if (cell !== undefined) cell.counts.takenOver += 1
    },
    spent: (service, amount) => addSpend(periodOf(wall()), service, amount),
    nodeDied: (counts) => { deaths.push(...deathRecordsOf(counts, periodOf(wall()))) },
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
    carryOver: (closed, folded) => {
      addEncodedCells(tally, closed.cells)
      subtractEncodedCells(tally, folded.cells)
      // The fold counted these requests as abandoned. This node is alive and counts their ends, so reverse the count.
      for (const openCount of folded.open) tally.cell(openCount).counts.abandoned -= openCount.open
      // Death records are only appended, so the folded ones are at the start.
      deaths.push(...closed.deaths.slice(folded.deaths.length))
      for (const item of closed.spend) addSpend(item.period, item.service, item.amount)
      for (const item of folded.spend) addSpend(item.period, item.service, -item.amount)
    },
    usage: () => ({ open: open.size, unmatchedEvents, cells: tally.size() })
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

function countWork (counts: RequestCounts, work: WorkDone): void {
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
