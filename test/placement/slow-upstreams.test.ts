/** Changes of state that are logged of slow upstreams. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import { createSlowUpstreams } from '../../src/placement/index.js'
import { upstreamRecord } from './records.js'

const upstream = upstreamRecord('i')

describe('slow upstreams', () => {
  // Failure guarded against: a wait that varies around half of the target causes a log line each half second.
  it('are reported once when the wait exceeds half of the smallest target, and once when it is below a quarter', () => {
    const slowUpstreams = createSlowUpstreams()
    const changes = [390, 410, 390, 600, 210, 190, 390].map((waiting) => slowUpstreams.observe([{ upstream, waiting, slowness: 1 }], () => 800).map(({ isSlow }) => isSlow))
    assert.deepEqual(changes, [[], [true], [], [], [], [false], []])
  })

  it('are reported where an upstream is more than 2 times slower than its service, also without a target', () => {
    const slowUpstreams = createSlowUpstreams()
    const changes = [1, 2.1, 1.6, 1.4].map((slowness) => slowUpstreams.observe([{ upstream, waiting: 5_000, slowness }], () => undefined).map(({ isSlow }) => isSlow))
    assert.deepEqual(changes, [[], [true], [], [false]])
  })

  // Failure guarded against: the states of upstreams that have ended accumulate.
  it('are forgotten when they are gone', () => {
    const slowUpstreams = createSlowUpstreams()
    slowUpstreams.observe([{ upstream, waiting: 900, slowness: 1 }], () => 800)
    assert.deepEqual(slowUpstreams.observe([], () => 800), [])
    assert.equal(slowUpstreams.observe([{ upstream, waiting: 900, slowness: 1 }], () => 800).length, 1)
  })
})

describe('the view of upstreams', () => {
  it('has the expected wait of each upstream that is not leaving', () => {
    const view = createUpstreamView()
    const plain = upstreamRecord('p', { service: 'lookups', slots: 2 })
    for (const record of [upstream, plain, upstreamRecord('gone', { leaving: true })]) view.put(record, 1)
    for (let count = 0; count < 3; count += 1) view.begin({ upstream: plain, reading: 0, cached: 0, waiting: 0, candidates: 1, firstAnswer: 50 }, 0)
    view.begin({ upstream, reading: 300, cached: 0, waiting: 0, candidates: 1, firstAnswer: 330 }, 0)
    const waits = view.states((service) => service === 's', 0).map((state) => [state.upstream.id, state.waiting])
    assert.deepEqual(waits, [['i', 300], ['p', 50]], 'two requests have to end at an upstream with two slots of 50 ms')
  })
})
