/** Nodes that count and report into one store, for tests of what the reports say in the end. */
import assert from 'node:assert/strict'
import { createReportKeeper } from '../../src/entry/report-keeper.js'
import type { ReportKeeper } from '../../src/entry/report-keeper.js'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import type { Incarnation } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createFoldMemory, foldReports } from '../../src/planner/report-folder.js'
import { createRandom } from '../../src/random.js'
import { agrees, createLedger, createReportSummary, decodeSnapshot, decodeTotal, periodOf } from '../../src/report/index.js'
import type { CountingLedger, ReportDocument } from '../../src/report/index.js'
import type { Outcome, RequestKey } from '../../src/request/index.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

/** Start of the first hour of every test. */
export const START = periodOf(Date.UTC(2026, 11, 2, 9))

export const SERVED: Outcome = { kind: 'served', finish: 'stop', late: false }
export const LATE: Outcome = { kind: 'served', finish: 'stop', late: true }
export const LOST: Outcome = { kind: 'lost', verdict: 'may-have-run' }
export const UNKNOWN: Outcome = { kind: 'unknown' }

/** One node: a ledger and a keeper that writes only when told to. */
export interface CountingNode {
  readonly incarnation: Incarnation
  readonly ledger: CountingLedger
  readonly keeper: ReportKeeper
  accept (name: number): RequestKey
  end (request: RequestKey, outcome: Outcome): void
  /** Whether the test lets it write. */
  live: boolean
  /** Ends the keeper as the death of the process would. */
  crash (): void
}

/** A clock that tests move, on which nothing wakes by itself. */
export function createStillClock () {
  const clock = createManualClock(START)
  return { ...clock, sleep: () => new Promise<void>(() => {}) }
}
export type StillClock = ReturnType<typeof createStillClock>

export const silentLog = createLog('test', 'silent', () => 0)

export function createCountingNode (name: string, keyValue: KeyValue, clock: StillClock): CountingNode {
  const owner = new AbortController()
  const incarnation = incarnationSchema.parse(`${name}-1`)
  const ledger = createLedger({ wall: clock.wall })
  const keeper = createReportKeeper({ incarnation, instance: instanceNameSchema.parse(name), ledger, keyValue, clock, random: createRandom(1), log: silentLog, signal: owner.signal })
  return {
    incarnation,
    ledger,
    keeper,
    live: true,
    accept: (number) => {
      const request = requestOf(incarnation, number)
      ledger.accepted(request)
      return request
    },
    end: (request, outcome) => {
      ledger.ended(request, outcome, { acceptedAt: 0, firstTokenAt: 200, endedAt: 1_000 }, { generatedTokens: 11, recomputedTokens: 2 })
    },
    crash: () => owner.abort()
  }
}

export function requestOf (home: Incarnation, number: number): RequestKey {
  return {
    id: requestIdFor(home, String(number).padStart(16, '0')),
    organisation: organisationNameSchema.parse(number % 2 === 0 ? 'tejo' : 'sado'),
    class: classNameSchema.parse(number % 3 === 0 ? 'booking' : 'short-question')
  }
}

/** What a report over everything in the store says now. */
export function reportOf (store: KeyValueStore, clock: StillClock): ReportDocument {
  const summary = createReportSummary({ from: START, to: clock.wall() + 1, now: clock.wall(), keptFrom: 0, configuration: undefined })
  const { entries } = store.list('hornbeamgap/reports/', 'hornbeamgap/reports0')
  for (const { key, value } of entries) {
    if (key.startsWith('hornbeamgap/reports/totals/')) summary.addTotal(decodeTotal(value)!)
  }
  for (const { key, value } of entries) {
    if (key.startsWith('hornbeamgap/reports/nodes/')) summary.addSnapshot(decodeSnapshot(value)!)
  }
  return summary.finish()
}

/** A folder that remembers between its passes. */
export function createFolder (keyValue: KeyValue, clock: StillClock) {
  const memory = createFoldMemory()
  return () => foldReports({ keyValue, clock, log: silentLog, memory }, new AbortController().signal)
}

/** Accepted plus refused equals the sum of the outcomes, in every line of a report. */
export function assertSumsAgree (report: ReportDocument): void {
  for (const line of [report.total, ...report.classes, ...report.organisations, ...report.lines]) {
    assert.ok(agrees(line.sums), `${line.class ?? 'all'} of ${line.organisation ?? 'all'}: ${JSON.stringify(line.sums)}`)
  }
}
