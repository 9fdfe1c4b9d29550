/** Fixtures for tests of reports: nodes that count requests and write their snapshots to one store. */
import assert from 'node:assert/strict'
import { createReportWriter } from '../../src/entry/report-writer.js'
import type { ReportWriter } from '../../src/entry/report-writer.js'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import type { Incarnation } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import type { KeyValue, TransactionalKeyValue } from '../../src/protocols/key-value.js'
import { createFoldMemory, foldReports } from '../../src/planner/report-folder.js'
import { createRandom } from '../../src/random.js'
import { createLedger, createReportSummary, decodeSnapshot, decodeTotal, periodOf, sumsAgree } from '../../src/report/index.js'
import type { CountingLedger, ReportDocument } from '../../src/report/index.js'
import type { Outcome, RequestKey } from '../../src/request/index.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

/** Wall time at which each test starts, which is the start of a period. */
export const START = periodOf(Date.UTC(2026, 11, 2, 9))

/** Outcomes that the tests use. */
export const SERVED: Outcome = { kind: 'served', finish: 'stop', late: false }
export const LATE: Outcome = { kind: 'served', finish: 'stop', late: true }
export const LOST: Outcome = { kind: 'lost', verdict: 'may-have-run' }
export const UNKNOWN: Outcome = { kind: 'unknown' }

/** One node: a ledger, and a reporter that writes only when the test calls it. */
export interface CountingNode {
  readonly incarnation: Incarnation
  readonly ledger: CountingLedger
  readonly reporter: ReportWriter
  /** Accepts a new request. */
  accept (number: number): RequestKey
  /** Ends an accepted request. */
  end (request: RequestKey, outcome: Outcome): void
  /** Whether the test allows the node to write. */
  live: boolean
  /** Stops the reporter without a final report, as a crash of the process would. */
  crash (): void
}

/** Creates a clock that the test sets, and on which no sleep ever ends. */
export function createFrozenClock () {
  const clock = createManualClock(START)
  return { ...clock, sleep: () => new Promise<void>(() => {}) }
}
export type FrozenClock = ReturnType<typeof createFrozenClock>

/** Log that writes nothing. */
export const silentLog = createLog('test', 'silent', () => 0)

/** Creates a node that reports to the given key-value service. */
export function createCountingNode (name: string, keyValue: TransactionalKeyValue, clock: FrozenClock): CountingNode {
  const owner = new AbortController()
  const incarnation = incarnationSchema.parse(`${name}-1`)
  const ledger = createLedger({ wall: clock.wall })
  const reporter = createReportWriter({ incarnation, instance: instanceNameSchema.parse(name), ledger, keyValue, clock, random: createRandom(1), log: silentLog, signal: owner.signal })
  return {
    incarnation,
    ledger,
    reporter,
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

/** Builds the key of a request. Class and organisation follow from the number. */
export function requestOf (home: Incarnation, number: number): RequestKey {
  return {
    id: requestIdFor(home, String(number).padStart(16, '0')),
    organisation: organisationNameSchema.parse(number % 2 === 0 ? 'tejo' : 'sado'),
    class: classNameSchema.parse(number % 3 === 0 ? 'booking' : 'short-question')
  }
}

/** Builds the report over everything in the store. */
export function reportOf (store: KeyValueStore, clock: FrozenClock): ReportDocument {
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

/** Creates a function that runs one pass of folding and keeps its memory between passes. */
export function createReportFolder (keyValue: KeyValue, clock: FrozenClock) {
  const memory = createFoldMemory()
  return () => foldReports({ keyValue, clock, log: silentLog, memory }, new AbortController().signal)
}

/** Asserts that the sums are consistent in every line of a report. */
export function assertSumsAgree (report: ReportDocument): void {
  for (const line of [report.total, ...report.classes, ...report.organisations, ...report.lines]) {
    assert.ok(sumsAgree(line.sums), `${line.class ?? 'all'} of ${line.organisation ?? 'all'}: ${JSON.stringify(line.sums)}`)
  }
}
