/** The load of an upstream as one node knows it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUpstreamLoads, expectedWait, incarnationOf, slotWait } from '../../src/placement/index.js'
import { addLoads, remainingLoad } from '../../src/placement/load.js'
import type { DatedLoad } from '../../src/placement/load.js'
import { fleetReportSchema } from '../../src/gossip/index.js'

const engine = incarnationOf('i', 1)

describe('the load of an upstream', () => {
  // Failure guarded against: each of 17 nodes has 100 ms of prefill queued at an engine, and each report is reduced by its own
  // age. After 100 ms the engine looks idle, although 1.6 s of prefill are queued there.
  it('is reduced by the elapsed time once, not once for each node', () => {
    const loads = createUpstreamLoads()
    loads.observe(new Map(Array.from({ length: 17 }, (_, index) => [`node-${index}`, { [engine]: { requests: 1, reading: 100, unanswered: 1 } }])), 1_000)
    assert.equal(Math.round(loads.of(engine, 1_100).reading), 1_600)
    assert.equal(loads.of(engine, 1_100).requests, 17)
    assert.equal(loads.of(engine, 9_000).reading, 0)
  })

  // Failure guarded against: two prompts of 200 ms wait behind others for 500 ms. Their node reports no prefill any more,
  // since more time has elapsed than they need.
  it('is reported with the whole prefill of the unanswered requests', () => {
    const loads = createUpstreamLoads()
    const first = loads.begin(engine, 200, 0)
    loads.begin(engine, 200, 0)
    loads.begin(engine, 70, 100)
    assert.deepEqual(loads.inFlight(), { [engine]: { requests: 3, reading: 470, unanswered: 3 } })
    first.answered(500)
    assert.deepEqual(loads.inFlight(), { [engine]: { requests: 3, reading: 270, unanswered: 2 } })
    first.end(600)
    assert.deepEqual(loads.inFlight(), { [engine]: { requests: 2, reading: 270, unanswered: 2 } })
  })

  // Failure guarded against: a request takes longer than predicted, and disappears from the load although it is not answered.
  it('keeps own requests until they are answered, however long that takes', () => {
    const loads = createUpstreamLoads()
    loads.begin(engine, 200, 0)
    const last = loads.begin(engine, 70, 100)
    assert.equal(loads.of(engine, 150).reading, 270 - 150)
    assert.equal(loads.of(engine, 60_000).reading, 70)
    last.answered(60_000)
    assert.equal(loads.of(engine, 60_000).reading, 200, 'the other prompt begins at the earliest when this one has ended')
  })

  it('is the same for any grouping of the loads', () => {
    const load: fc.Arbitrary<DatedLoad> = fc.record({ requests: fc.nat(9), reading: fc.nat(900), unanswered: fc.nat(9), at: fc.nat(2_000), latest: fc.nat(300) })
    fc.assert(fc.property(load, load, load, (first, second, third) => {
      const left = remainingLoad(addLoads(addLoads(first, second), third), 2_000)
      const right = remainingLoad(addLoads(first, addLoads(second, third)), 2_000)
      assert.ok(Math.abs(left.reading - right.reading) < 1e-6)
      assert.deepEqual({ ...left, reading: 0 }, { ...right, reading: 0 })
    }), { seed: 20 })
  })

  // Failure guarded against: during an update of the nodes, the reports of nodes of the previous build are rejected.
  it('is read from reports of nodes that do not count unanswered requests', () => {
    const report = fleetReportSchema.parse({ nodes: 1, configuration: 0, demand: {}, granted: {}, inFlight: { [engine]: { requests: 2, reading: 40 } }, work: {}, speeds: {}, crashes: {}, rollouts: {} })
    assert.deepEqual(report.inFlight, { [engine]: { requests: 2, reading: 40, unanswered: 0 } })
  })
})

describe('the expected wait', () => {
  // Failure guarded against: 20 requests more than an engine has slots count as 40 ms, less than a cached prompt saves. The
  // engine keeps getting requests.
  it('includes the wait for a slot where all slots are occupied', () => {
    assert.equal(slotWait(15, 16, 800), 0)
    assert.equal(slotWait(16, 16, 800), 50)
    assert.equal(expectedWait({ requests: 36, reading: 40, unanswered: 20 }, 16, 800, 0), 21 * 50)
    assert.equal(expectedWait({ requests: 36, reading: 2_000, unanswered: 20 }, 16, 800, 0), 2_000)
  })
})
