/** Counts of the ledger for random sequences of events, and the size limits of snapshots and of the fact store. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { classNameSchema, incarnationSchema, organisationNameSchema } from '../../src/identifiers.js'
import { createFactStore, createLedger, decodeSnapshot, encodeSnapshot, MAX_SNAPSHOT_BYTES } from '../../src/report/index.js'
import type { Outcome } from '../../src/request/index.js'
import { LATE, LOST, requestOf, SERVED, START, UNKNOWN } from './fleet.js'

const HOME = incarnationSchema.parse('entry-1-1')
const OUTCOMES: readonly Outcome[] = [SERVED, LATE, LOST, UNKNOWN, { kind: 'refused', code: 'overloaded' }]
const NO_WORK = { generatedTokens: 0, recomputedTokens: 0 }

const eventArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('accepted' as const), number: fc.nat(20) }),
  fc.record({ kind: fc.constant('ended' as const), number: fc.nat(20), outcome: fc.constantFrom(...OUTCOMES) }),
  fc.record({ kind: fc.constant('handed-over' as const), number: fc.nat(20) }),
  fc.record({ kind: fc.constant('taken-over' as const), number: fc.nat(20) }),
  fc.record({ kind: fc.constant('refused' as const) }),
  fc.record({ kind: fc.constant('hour' as const) }),
  fc.record({ kind: fc.constant('epoch' as const) })
)

test('for any sequence of events, the counts of the epochs add up to the requests that ended or are open', () => {
  // Guards against reports whose columns do not add up. The events include ends that are reported twice or for requests
  // that were handed over, period changes between acceptance and end, and epochs that are closed at any time.
  fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 80, size: 'max' }), (events) => {
    let wall = START
    const ledger = createLedger({ wall: () => wall })
    const open = new Set<number>()
    const epochs = []
    for (const event of events) {
      switch (event.kind) {
        case 'accepted':
          ledger.accepted(requestOf(HOME, event.number))
          open.add(event.number)
          break
        case 'taken-over':
          ledger.takenOver(requestOf(HOME, event.number), START - 1)
          open.add(event.number)
          break
        case 'ended':
          ledger.ended(requestOf(HOME, event.number), event.outcome, { acceptedAt: 0 }, NO_WORK)
          open.delete(event.number)
          break
        case 'handed-over':
          ledger.handedOver(requestOf(HOME, event.number))
          open.delete(event.number)
          break
        case 'refused':
          ledger.refused(organisationNameSchema.parse('tejo'), classNameSchema.parse('booking'), 'overloaded')
          break
        case 'hour':
          wall += 3_600_000
          break
        case 'epoch':
          epochs.push(ledger.closeEpoch())
      }
    }
    epochs.push(ledger.snapshot())
    const counts = epochs.flatMap((epoch) => epoch.cells).map((cell) => cell.counts)
    const sum = (...names: (keyof typeof counts[number])[]): number => counts.reduce((total, one) => total + names.reduce((part, name) => part + (one[name] ?? 0), 0), 0)
    const left = sum('served', 'late', 'refusedLater', 'lost', 'unknown', 'handedOver')
    assert.equal(sum('accepted', 'takenOver'), left + open.size)
    assert.equal(epochs.at(-1)!.open.reduce((total, one) => total + one.open, 0), open.size)
  }), { seed: 1, numRuns: 300 })
})

test('a snapshot that exceeds the size limit keeps its counts and states that latencies are omitted', () => {
  // Guards against a node that is missing from the reports because the key-value service rejects every write of a
  // snapshot larger than one megabyte.
  const ledger = createLedger({ wall: () => START })
  const cells = 2_500
  for (let number = 0; number < cells; number += 1) {
    const request = { ...requestOf(HOME, number), organisation: organisationNameSchema.parse(`organisation-${number}`) }
    ledger.accepted(request)
    ledger.ended(request, SERVED, { acceptedAt: 0, firstTokenAt: number, endedAt: 9 * number }, { generatedTokens: 9, recomputedTokens: 0 })
  }
  const head = { incarnation: HOME, instance: 'entry-1' as never, sequence: 1, writtenAt: START, nextWithin: 1, state: { kind: 'counting' as const } }
  const text = encodeSnapshot(head, ledger.snapshot())
  const snapshot = decodeSnapshot(text)!
  assert.ok(text.length <= MAX_SNAPSHOT_BYTES, `${text.length} bytes`)
  assert.equal(snapshot.latencyOmitted, true)
  assert.equal(snapshot.cells.reduce((sum, cell) => sum + (cell.counts.served ?? 0), 0), cells)
})

test('the fact store stays within its limit: it evicts the oldest requests and drops the middle facts of long ones', () => {
  // Guards against a node that runs out of memory because requests fail repeatedly and record a fact for each failure.
  const facts = createFactStore({ bytes: 100_000 })
  const upstream = 'engine-1' as never
  for (let number = 0; number < 500; number += 1) {
    for (let attempt = 0; attempt < 60; attempt += 1) {
      facts.record(requestOf(HOME, number), attempt, { kind: 'attempt-failed', upstream, verdict: 'not-run', message: 'x'.repeat(5_000) })
    }
    assert.ok(facts.usage().bytes <= 100_000, `${facts.usage().bytes} bytes`)
  }
  const last = facts.explain(requestOf(HOME, 499).id)!
  assert.equal(facts.explain(requestOf(HOME, 0).id), undefined)
  assert.equal(last.facts.length + last.dropped, 60)
  assert.equal(last.facts.at(0)!.at, 0)
  assert.equal(last.facts.at(-1)!.at, 59)
})
