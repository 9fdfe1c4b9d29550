/** Demand from the nodes' reports: late, repeated, closed and missing ones. */
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

// A fleet doubles on every full hour: nodes close their reports then, and what the closed and the new
// report tell was added up.
test('a report that was closed on the hour does not count beside its successor', async () => {
  const reports = createReports()
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 100, generatedTokens: 10_000 })
  assert.deepEqual(await reports.rates(), [1, 100])
  await reports.clock.advance(20 * SECOND)
  reports.write('entry-1', 1, START - 100 * SECOND, { accepted: 120, generatedTokens: 12_000 }, { kind: 'closed' })
  await reports.clock.advance(20 * SECOND)
  reports.write('entry-1', 2, START + 20 * SECOND, { accepted: 20, generatedTokens: 2_000 })
  assert.deepEqual(await reports.rates(), [1, 100])
})

// Half of the machines are given back although nobody went home: nodes that could not write for a
// while, and nodes that were replaced, were taken for nodes without work.
test('rates are differences of the same node\'s reports by their own times, and stale ones say nothing', async () => {
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
