/** The main job's comparison finds what it is there to find. */
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

function booking (reference: string, sight: CallerOutcome): CallerRecord {
  return { request: { ...key, call: { method: 'POST', path: '/bookings', body: { reference } } }, outcome: sight }
}

function report (sums: Partial<RequestSums>): ReportDocument {
  const line = { ...key, sums: { ...NONE, ...sums } }
  return { total: { sums: line.sums }, lines: [line] } as unknown as ReportDocument
}

function ledger (runs: Record<string, number>): BookingLedger {
  const result = createBookingLedger()
  for (const [reference, count] of Object.entries(runs)) {
    for (let run = 0; run < count; run += 1) result.run(reference)
  }
  return result
}

test('agreement, also when the client sent again what was refused', () => {
  const records = [booking('a', answered), booking('b', notRun), booking('c', mayHaveRun)]
  assert.deepEqual(findDisagreements(report({ asked: 5, served: 1, refused: 3, unknown: 1 }), records, ledger({ a: 1, c: 1 })), [])
})

const FAULTS: { story: string, sums: Partial<RequestSums>, sight: CallerOutcome, runs: number, says: RegExp }[] = [
  { story: 'a van too many', sums: { asked: 1, served: 1 }, sight: answered, runs: 2, says: /ran 2 times/ },
  { story: 'confirmed and never run', sums: { asked: 1, served: 1 }, sight: answered, runs: 0, says: /told that it ran/ },
  { story: 'refused as not run, and run', sums: { asked: 1, refused: 1 }, sight: notRun, runs: 1, says: /told that it did not run/ },
  { story: 'an answer that the report does not know', sums: { asked: 1, lost: 1 }, sight: answered, runs: 1, says: /0 answered, callers saw 1/ },
  { story: 'a loss that the report calls served', sums: { asked: 1, served: 1 }, sight: mayHaveRun, runs: 1, says: /0 lost or unknown, callers saw 1/ },
  { story: 'still open after its end', sums: { asked: 2, served: 1, open: 1 }, sight: answered, runs: 1, says: /1 open/ },
  { story: 'sums that do not add up', sums: { asked: 2, served: 1 }, sight: answered, runs: 1, says: /2 asked, but 1 accounted for/ }
]

for (const { story, sums, sight, runs, says } of FAULTS) {
  test(`disagreement: ${story}`, () => {
    assert.match(findDisagreements(report(sums), [booking('a', sight)], ledger({ a: runs })).join('\n'), says)
  })
}
