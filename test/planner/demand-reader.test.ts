/** Demand read from nodes' reports that arrive late, repeatedly or not at all, or that are closed. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { HOUR, SECOND } from '../../src/clock.js'
import { configurationSchema } from '../../src/configuration/index.js'
import { createDemandReader } from '../../src/planner/demand-reader.js'
import { createRandom } from '../../src/random.js'
import { snapshotKey } from '../../src/report/index.js'
import { snapshotSchema } from '../../src/report/snapshot.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const START = 10 * HOUR
const SERVICE = 'plans'
const CONFIGURATION = configurationSchema.parse({
  deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
  services: [{ kind: 'model', name: SERVICE, model: 'model-1' }],
  organisations: [{ name: 'tejo', key_sha256: ['0'.repeat(64)] }],
  classes: [{ name: 'plan', service: SERVICE, idempotent: true, target: { whole_answer_ms: 30_000, quantile: 0.95, reliability: 0.999 } }]
})

function createReports () {
  const clock = createManualClock(START)
  const store = createKeyValueStore(clock)
  const reader = createDemandReader(createDirectKeyValue(store, createFaultSwitch(clock, createRandom(1)), clock), clock.wall)
  const signal = new AbortController().signal
  return {
    clock,
    write: (node: string, epoch: number, since: number, counts: { accepted: number, generatedTokens: number }, state: object = { kind: 'counting' }) => {
      const snapshot = snapshotSchema.parse({
        format: 1,
        incarnation: `${node}-1`,
        instance: node,
        epoch,
        sequence: 1,
        since,
        writtenAt: clock.wall(),
        nextWithin: 60 * SECOND,
        state,
        open: [],
        spend: [],
        cells: [{ period: 0, class: 'plan', organisation: 'tejo', counts }]
      })
      store.put(snapshotKey(snapshot), JSON.stringify(snapshot))
    },
    rates: async () => [...(await reader.read(CONFIGURATION, signal)).values()].map((rates) => [rates.requestsPerSecond, rates.workPerSecond])[0]
  }
}

// Failure guarded against: nodes close their reports on the hour. If the rates of the closed and of the new report are
// added up, the demand and with it the fleet double every hour.
test('a report closed on the hour is not counted in addition to its successor', async () => {
  const reports = createReports()
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 100, generatedTokens: 10_000 })
  assert.deepEqual(await reports.rates(), [1, 100])
  await reports.clock.advance(20 * SECOND)
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 120, generatedTokens: 12_000 }, { kind: 'closed' })
  await reports.clock.advance(20 * SECOND)
  reports.write('entry-1', 2, START + 20 * SECOND, { accepted: 20, generatedTokens: 2_000 })
  assert.deepEqual(await reports.rates(), [1, 100])
})

// Failure guarded against: nodes that could not write for a while, or that were replaced, are taken for nodes without
// requests, and instances are released although the demand has not decreased.
test('rates are differences between reports of the same node by their own times, and stale reports are ignored', async () => {
  const reports = createReports()
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 100, generatedTokens: 10_000 })
  reports.write('entry-2', 1, START - 10 * SECOND, { accepted: 20, generatedTokens: 2_000 })
  assert.deepEqual(await reports.rates(), [3, 300])
  await reports.clock.advance(10 * SECOND)
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 140, generatedTokens: 14_000 })
  assert.deepEqual(await reports.rates(), [6, 600])
  assert.deepEqual(await reports.rates(), [6, 600])
  await reports.clock.advance(HOUR)
  assert.equal(await reports.rates(), undefined)
})
