/** Tests that the comparison of a report with the callers' records finds each kind of disagreement. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { classNameSchema, organisationNameSchema } from '../../src/identifiers.js'
import type { ReportDocument, RequestSums } from '../../src/report/index.js'
import type { CallerRecord, CallerOutcome } from '../../stand-ins/callers.js'
import { findDisagreements } from '../../stand-ins/comparison.js'
import { createBookingLedger } from '../../stand-ins/plain-service.js'
import type { BookingLedger } from '../../stand-ins/plain-service.js'

const NONE: RequestSums = { asked: 0, accepted: 0, served: 0, late: 0, refused: 0, lost: 0, unknown: 0, open: 0, unreported: 0 }
const answered: CallerOutcome = { kind: 'answered', tokens: 0 }
const notRun: CallerOutcome = { kind: 'failed', code: 'overloaded', verdict: 'not-run', message: '' }
const mayHaveRun: CallerOutcome = { kind: 'failed', code: 'connection-lost', verdict: 'may-have-run', message: '' }
const key = { class: classNameSchema.parse('booking'), organisation: organisationNameSchema.parse('tejo') }

function createRecord (reference: string, sight: CallerOutcome): CallerRecord {
  return { request: { ...key, call: { method: 'POST', path: '/bookings', body: { reference } } }, outcome: sight }
}

function createReport (sums: Partial<RequestSums>): ReportDocument {
  const line = { ...key, sums: { ...NONE, ...sums } }
  return { total: { sums: line.sums }, lines: [line] } as unknown as ReportDocument
}

function createLedger (runs: Record<string, number>): BookingLedger {
  const result = createBookingLedger()
  for (const [reference, count] of Object.entries(runs)) {
    for (let run = 0; run < count; run += 1) result.run(reference)
  }
  return result
}

test('agreement, also if the client has retried refused requests', () => {
  const records = [createRecord('a', answered), createRecord('b', notRun), createRecord('c', mayHaveRun)]
  assert.deepEqual(findDisagreements(createReport({ asked: 5, served: 1, refused: 3, unknown: 1 }), records, createLedger({ a: 1, c: 1 })), [])
})

const FAULTS: { title: string, sums: Partial<RequestSums>, sight: CallerOutcome, runs: number, pattern: RegExp }[] = [
  { title: 'a booking that ran twice', sums: { asked: 1, served: 1 }, sight: answered, runs: 2, pattern: /ran 2 times/ },
  { title: 'a booking that was confirmed and never ran', sums: { asked: 1, served: 1 }, sight: answered, runs: 0, pattern: /told that it ran/ },
  { title: 'a booking that was refused as not run and did run', sums: { asked: 1, refused: 1 }, sight: notRun, runs: 1, pattern: /told that it did not run/ },
  { title: 'an answered request that the report counts as lost', sums: { asked: 1, lost: 1 }, sight: answered, runs: 1, pattern: /0 answered, callers saw 1/ },
  { title: 'a lost request that the report counts as served', sums: { asked: 1, served: 1 }, sight: mayHaveRun, runs: 1, pattern: /0 lost or unknown, callers saw 1/ },
  { title: 'a request that the report counts as open after its end', sums: { asked: 2, served: 1, open: 1 }, sight: answered, runs: 1, pattern: /1 open/ },
  { title: 'sums that do not add up', sums: { asked: 2, served: 1 }, sight: answered, runs: 1, pattern: /2 asked, but 1 accounted for/ }
]

for (const { title, sums, sight, runs, pattern } of FAULTS) {
  test(`disagreement: ${title}`, () => {
    assert.match(findDisagreements(createReport(sums), [createRecord('a', sight)], createLedger({ a: runs })).join('\n'), pattern)
  })
}
