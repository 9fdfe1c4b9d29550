/** Estimates about upstreams: speed, cache content, slots, decode concurrency, and the subset that a node uses. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { addressSchema, failureDomainSchema, serviceNameSchema, upstreamNameSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { createEngineEstimate, createQuantileEstimate, partialView } from '../../src/upstream/index.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import { createUpstreamLoad } from '../../src/upstream/load.js'
import { createConcurrencyLimit } from '../../src/upstream/decode-concurrency.js'
import { createPrefixIndex } from '../../src/upstream/prefix-index.js'

const UPSTREAM = upstreamNameSchema.parse('engine-0')

function view (index: number): UpstreamView {
  return {
    name: upstreamNameSchema.parse(`engine-${index}`),
    service: serviceNameSchema.parse('assistant'),
    failureDomain: failureDomainSchema.parse(`domain-${index % 5}`),
    address: addressSchema.parse('127.0.0.1:1'),
    protocol: 'model',
    leaving: false,
    inFlight: 0
  }
}

function report (running: number, waiting: number) {
  return { upstream: UPSTREAM, running, waiting, cacheUsed: 0, ageMs: 0, leaving: false, models: [], adapters: [], role: 'mixed' as const, generation: 0 }
}

test('one measurement a thousand times too large moves an estimate by at most one step', () => {
  // A paused process answers only after a minute. A mean would stay too high for about a thousand answers, and every
  // class would be refused as unattainable until then.
  fc.assert(fc.property(fc.array(fc.integer({ min: 80, max: 120 }), { minLength: 100, maxLength: 200 }), (measurements) => {
    const estimate = createQuantileEstimate(0.5, 20)
    for (const measurement of measurements) estimate.observe(measurement)
    const before = estimate.value()
    estimate.observe(100_000)
    assert.ok(before > 75 && before < 130, `learnt ${before}`)
    assert.ok(estimate.value() < before * 1.1)
  }), { seed: 1, numRuns: 50 })
})

test('an estimate follows engines that become faster after a cold start', () => {
  const estimate = createEngineEstimate()
  for (let index = 0; index < 200; index += 1) {
    const computedTokens = index % 2 === 0 ? 100 : 4_000
    estimate.observe({ firstToken: 20 + computedTokens * 0.05, whole: 20 + computedTokens * 0.05 + 1_000, computedTokens, generatedTokens: 101 })
  }
  assert.ok(Math.abs(estimate.tokenTime() - 10) < 2)
  assert.ok(Math.abs(estimate.prefillTime() - 0.05) < 0.02)
})

test('a prefix index removes evicted blocks and lowers its confidence after a gap', () => {
  // Cache events arrive late and some are lost. A prompt sent because of an outdated entry is recomputed in full at
  // an upstream that was chosen for its cache.
  const index = createPrefixIndex()
  index.sent(['a', 'b', 'c'])
  assert.equal(index.expected(['a', 'b', 'c', 'd']), 3)
  index.changed([], ['c'], false)
  assert.equal(index.expected(['a', 'b', 'c', 'd']), 2)
  index.changed([], [], true)
  assert.ok(index.confidence() < 1)
  const before = index.confidence()
  index.answered(2, 0)
  assert.ok(index.confidence() < before)
})

test('the hint does not change the result of a prefix index', () => {
  const blocks = ['a', 'b', 'c', 'd', 'e', 'f']
  fc.assert(fc.property(fc.nat(blocks.length), fc.nat(blocks.length), (held, guess) => {
    const index = createPrefixIndex()
    index.sent(blocks.slice(0, held))
    assert.equal(index.expected(blocks, guess), held)
  }), { seed: 1 })
})

test('a request that waits for the next step of an engine does not lower the estimated slots', () => {
  // Engines admit requests between two steps, so a report may show a waiting request although slots are free. If each
  // such report lowered the estimate, the engine would end up half empty.
  const load = createUpstreamLoad(0)
  load.reported(report(24, 3), 1, Infinity, 0, createRandom(1))
  for (let time = 1; time < 100; time += 1) load.reported(report(15, 1), 1, Infinity, time, createRandom(1))
  assert.equal(load.slots(), 24)
})

test('a new engine that makes no progress gets only a few requests', () => {
  // A new instance is listed while it still loads its weights. It accepts requests without running them.
  const load = createUpstreamLoad(0)
  let sent = 0
  while (load.hasCapacity({ share: 1, spare: 0, maxRunning: Infinity }, false, 0)) {
    load.sent(100, 0)
    sent += 1
  }
  assert.ok(sent <= 4, `${sent} requests`)
})

test('slow answers lower the concurrency limit until the target is met', () => {
  // An engine with memory for 64 answers decodes 64 answers too slowly, and no queue shows it.
  const concurrencyLimit = createConcurrencyLimit()
  for (let index = 0; index < 2_000; index += 1) {
    const running = Math.min(64, concurrencyLimit.limit())
    concurrencyLimit.answerObserved(running < 48, 0.95, running)
  }
  assert.ok(concurrencyLimit.limit() > 30 && concurrencyLimit.limit() < 50, `cap ${concurrencyLimit.limit()}`)
})

test('a partial view covers every failure domain and changes little when an upstream is removed', () => {
  // If a node lost its whole subset with one failure domain, or selected a new subset at each change, it would lose
  // what it has learnt about loads and caches.
  const views = Array.from({ length: 600 }, (_, index) => view(index))
  const before = partialView('entry-17', views, 48)
  const domains = new Set(before.map((each) => each.failureDomain))
  assert.ok(before.length >= 45 && before.length <= 50)
  assert.equal(domains.size, 5)
  fc.assert(fc.property(fc.nat(599), (gone) => {
    const after = new Set(partialView('entry-17', views.filter((_, index) => index !== gone), 48).map((each) => each.name))
    assert.ok(before.filter((each) => !after.has(each.name)).length <= 2)
  }), { seed: 1, numRuns: 50 })
})
