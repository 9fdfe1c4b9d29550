/** The load of an upstream as one node knows it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUpstreamLoads, expectedWait, incarnationOf, slotWait } from '../../src/placement/index.js'
import type { InFlight } from '../../src/placement/index.js'
import { addLoads, dateLoad, subtractLoad } from '../../src/placement/load.js'
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

  it('is the same for any grouping of the loads, also where some were added and removed again', () => {
    const load = fc.record({ requests: fc.integer({ min: 1, max: 9 }), reading: fc.double({ min: 0, max: 900, noNaN: true }), unanswered: fc.nat(9), at: fc.double({ min: 0, max: 2_000, noNaN: true }) }).map(({ at, ...more }) => dateLoad(more, at))
    fc.assert(fc.property(load, load, load, (first, second, third) => {
      const sum = addLoads(addLoads(first, second), third)
      assert.deepEqual(addLoads(first, addLoads(second, third)), sum)
      assert.deepEqual(subtractLoad(sum, first), addLoads(second, third))
      assert.equal(subtractLoad(first, first), undefined)
    }), { seed: 20 })
  })

  // Failure guarded against: sums that are updated at each report keep the load of a node that has died or reports anew.
  it('follows new reports, and drops those of nodes that are gone', () => {
    const loads = createUpstreamLoads()
    const report = (reading: number): InFlight => ({ [engine]: { requests: 1, reading, unanswered: 1 } })
    loads.notePrefill('new', engine, 70, 0)
    const last = report(50)
    loads.observe(new Map([['a', report(100)], ['b', last]]), 0)
    loads.observe(new Map([['a', report(300)], ['b', last]]), 10)
    assert.deepEqual(loads.of(engine, 10), { requests: 2, reading: 350 - 50 * 10 / 350, unanswered: 2 })
    loads.observe(new Map([['b', last]]), 20)
    assert.deepEqual(loads.of(engine, 20), { requests: 1, reading: 30, unanswered: 1 })
    loads.observe(new Map([['b', {}]]), 20)
    assert.deepEqual(loads.of(engine, 20), { requests: 0, reading: 0, unanswered: 0 })
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
