/** Observed and reported delays of upstreams. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import { fleetReportSchema } from '../../src/gossip/index.js'
import { createUpstreamDelays, incarnationOf, mergeDelays } from '../../src/placement/index.js'
import { upstreamRecord } from './records.js'

const engine = incarnationOf('i', 1)
const other = incarnationOf('j', 1)

describe('the delay of an upstream', () => {
  // Failure guarded against: an upstream is slower for half a second. Requests keep going there until the first late answer.
  it('counts a request as soon as it is overdue, and until it is answered', () => {
    const delays = createUpstreamDelays()
    const finished = delays.begin(engine, 100)
    assert.equal(delays.of(engine, 100), 0)
    assert.equal(delays.of(engine, 400), 300)
    assert.equal(delays.of(other, 400), 0)
    finished(true, 600)
    assert.equal(delays.of(engine, 600), 250, '500 ms, due one half-life ago')
    assert.equal(delays.of(engine, 5_000), 0)
  })

  it('takes nothing from a request that ended without an answer', () => {
    const delays = createUpstreamDelays()
    delays.begin(engine, 100)(false, 700)
    assert.equal(delays.of(engine, 700), 0)
    assert.deepEqual(delays.own(700), {})
  })

  // Failure guarded against: the error of the predicted times makes nodes leave the home of their cached prompts.
  it('is 0 within the error of the predicted time', () => {
    const delays = createUpstreamDelays()
    delays.begin(engine, 100)(true, 140)
    assert.equal(delays.of(engine, 140), 0)
    assert.deepEqual(delays.own(140), {})
  })

  // Failure guarded against: nodes with the same old reports avoid the same upstreams at the same time, and fill the others.
  it('is reported to the other nodes, where it counts as a tenth and decays with the age of the report', () => {
    const slow = createUpstreamDelays()
    slow.begin(engine, 0)
    const report = slow.own(2_000)
    assert.deepEqual(report, { [engine]: 2_000 })
    const delays = createUpstreamDelays()
    delays.receive([report, {}], 10_000)
    delays.receive([report, {}], 10_500)
    assert.equal(delays.of(engine, 10_500), 100)
    delays.receive([], 10_500)
    assert.equal(delays.of(engine, 10_500), 0)
    assert.deepEqual(delays.own(10_500), {}, 'reports of other nodes are not reported again')
  })

  // Failure guarded against: an outage of hundreds of upstreams makes the reports of all nodes long.
  it('is reported for the 16 slowest upstreams only', () => {
    const delays = createUpstreamDelays()
    for (let index = 0; index < 30; index += 1) delays.begin(incarnationOf(`i-${index}`, 1), index * 10)
    const names = Array.from({ length: 16 }, (_, index) => incarnationOf(`i-${index}`, 1))
    assert.deepEqual(Object.keys(delays.own(1_000)), names)
    const merged = mergeDelays([delays.own(1_000), { [other]: 5_000 }, { [other]: 60 }])
    assert.equal(Object.keys(merged).length, 16)
    assert.equal(merged[other], 5_000)
  })

  // Failure guarded against: during an update of the nodes, the reports of nodes of the previous build are rejected.
  it('is absent from reports of an older build', () => {
    assert.deepEqual(fleetReportSchema.parse({ nodes: 1, configuration: 0, demand: {}, granted: {}, inFlight: {}, work: {}, speeds: {}, crashes: {}, rollouts: {} }).delays, {})
  })
})

describe('the view of upstreams', () => {
  const upstream = upstreamRecord('i', { incarnation: engine })

  // Failure guarded against: a request that is known to wait behind others counts as a sign of a slow upstream.
  it('does not expect an answer before the expected wait is over', () => {
    const view = createUpstreamView()
    view.put(upstream, 1)
    view.begin({ upstream, reading: 100, cached: 0, waiting: 500, candidates: 1, firstAnswer: 130 }, 0)
    const delayAt = (now: number) => view.candidates('s', new Set(), now)[0]?.delay
    assert.equal(delayAt(630), 0)
    assert.equal(delayAt(730), 100)
  })

  // Failure guarded against: an upstream that has just restarted under its id gets nothing because its previous incarnation hung.
  it('does not carry a delay over to the next incarnation', () => {
    const view = createUpstreamView()
    view.put(upstream, 1)
    view.begin({ upstream, reading: 100, cached: 0, waiting: 0, candidates: 1, firstAnswer: 130 }, 0)
    view.put(upstreamRecord('i', { incarnation: incarnationOf('i', 2) }), 2)
    assert.equal(view.candidates('s', new Set(), 9_000)[0]?.delay, 0)
  })

  it('makes no prediction for a run that continues after a move', () => {
    const view = createUpstreamView()
    view.put(upstream, 1)
    view.begin({ upstream, reading: 0, cached: 0, waiting: 0, candidates: 1 }, 0)
    assert.equal(view.candidates('s', new Set(), 9_000)[0]?.delay, 0)
  })
})
