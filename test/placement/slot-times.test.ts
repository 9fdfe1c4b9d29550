/** Learnt slot times, and the attempts that they are learnt from. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import { fleetReportSchema, mergeReports } from '../../src/gossip/index.js'
import { assumedSlotTime, createSlotTimes, mergeMeanTimes } from '../../src/placement/index.js'
import type { Choice } from '../../src/placement/index.js'
import { upstreamRecord } from './records.js'

describe('the slot time of a service', () => {
  // Failure guarded against: an assumed slot time of 30 ms in a deployment whose requests hold a slot for 61 ms. Full upstreams
  // look twice as fast as they are.
  it('is learnt from the ended attempts, and assumed until there are some', () => {
    const slotTimes = createSlotTimes()
    for (let count = 0; count < 11; count += 1) slotTimes.observe('lookups', 61)
    assert.equal(slotTimes.of('lookups', false), assumedSlotTime(false))
    slotTimes.observe('lookups', 61)
    assert.equal(Math.round(slotTimes.of('lookups', false)), 61)
    assert.equal(slotTimes.of('plans', true), assumedSlotTime(true))
  })

  it('follows a lasting change', () => {
    const slotTimes = createSlotTimes()
    for (let count = 0; count < 5_000; count += 1) slotTimes.observe('plans', 600)
    for (let count = 0; count < 300; count += 1) slotTimes.observe('plans', 1_200)
    assert.ok(slotTimes.of('plans', true) > 1_100)
  })

  // Failure guarded against: a node that has just started assumes slot times although all other nodes know them.
  it('is taken from the reports of other nodes, each with the weight of its samples', () => {
    const slotTimes = createSlotTimes()
    slotTimes.receive([{ plans: { mean: 2_000, samples: 60 } }, { plans: { mean: 1_000, samples: 40 } }, {}])
    assert.equal(slotTimes.of('plans', true), 1_600)
    assert.deepEqual(slotTimes.own(), {}, 'reports of other nodes are not reported again')
    slotTimes.receive([])
    assert.equal(slotTimes.of('plans', true), assumedSlotTime(true))
  })

  it('is the same for any grouping of the reports', () => {
    const times = fc.dictionary(fc.constantFrom('plans', 'lookups'), fc.record({ mean: fc.nat(3_000), samples: fc.nat(100) }))
    fc.assert(fc.property(fc.array(times, { maxLength: 8 }), fc.nat(8), (reports, cut) => {
      const whole = mergeMeanTimes(reports)
      const grouped = mergeMeanTimes([mergeMeanTimes(reports.slice(0, cut)), mergeMeanTimes(reports.slice(cut))])
      assert.deepEqual(Object.keys(grouped).sort(), Object.keys(whole).sort())
      for (const [service, { mean, samples }] of Object.entries(whole)) {
        assert.equal(grouped[service]?.samples, samples)
        if (samples > 0) assert.ok(Math.abs(grouped[service]!.mean - mean) < 1e-6)
      }
    }), { seed: 21 })
  })

  // Failure guarded against: during an update of the nodes, the reports of nodes of the previous build are rejected.
  it('is absent from reports of an older build', () => {
    const older = { nodes: 1, configuration: 0, demand: {}, granted: {}, inFlight: {}, work: {}, speeds: {}, crashes: {}, rollouts: {} }
    const newer = { ...older, holdTime: { plans: { mean: 700, samples: 20 } } }
    assert.deepEqual(mergeReports([older, newer].map((report) => fleetReportSchema.parse(report)))?.holdTime, newer.holdTime)
  })
})

describe('an attempt', () => {
  const upstream = upstreamRecord('i', { slots: 2 })

  const choice: Choice = { upstream, reading: 40, cached: 0, waiting: 0, candidates: 1 }

  const observed = (run: (view: ReturnType<typeof createUpstreamView>) => void): unknown => {
    const view = createUpstreamView()
    view.put(upstream, 1)
    run(view)
    return view.told(5_000).holdTime
  }

  it('counts with the time from its dispatch to its end, once', () => {
    assert.deepEqual(observed((view) => {
      const open = view.begin(choice, 1_000)
      open.answered(1_100)
      open.end(1_900)
      open.end(2_000)
    }), { s: { mean: 900, samples: 1 } })
  })

  // Failure guarded against: upstreams that refuse at once, or wait for a connection, make the slot time look short or long.
  it('does not count if it was not answered', () => {
    assert.deepEqual(observed((view) => view.begin(choice, 1_000).end(1_400)), {})
  })

  // Failure guarded against: the time of a request that waits for a slot includes the slot times of others, so that the
  // expected wait grows with the square of the queue.
  it('does not count if it had to wait for a slot', () => {
    assert.deepEqual(observed((view) => {
      view.begin(choice, 1_000)
      view.begin(choice, 1_000)
      const third = view.begin(choice, 1_000)
      third.answered(3_000)
      third.end(4_000)
    }), {})
  })
})
