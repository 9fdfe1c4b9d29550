import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ASSUMED_SPEED, assumedSlotTime, chooseUpstream, createUpstreamHealth, ENGINE_COSTS, prefillTime, sharedTokens } from '../../src/placement/index.js'
import type { Candidate, PlacementRequest } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import { upstreamRecord } from './records.js'

const times = { speed: ASSUMED_SPEED, slotTime: assumedSlotTime(true) }

const node = { name: 'entry-1', failureDomain: 'a' }

const candidate = (id: string, prefill = 0, requests = 0): Candidate => ({
  upstream: upstreamRecord(id),
  load: { requests, reading: prefill, unanswered: prefill > 0 ? 1 : 0 },
  delay: 0,
  slowness: 1
})

const requestFor = (subject: string, unsharedTokens: number): PlacementRequest => ({
  service: 's', parts: [{ id: 'common', tokens: 500 }, { id: subject, tokens: 4_800 }, { id: 'own', tokens: unsharedTokens }], promptTokens: 5_300 + unsharedTokens, target: 800, lostOnReclaim: false, streams: true
})

describe('the choice of an upstream', () => {
  const idle = Array.from({ length: 9 }, (_, index) => candidate(`i-${index}`))

  it('sends requests about one subject to one upstream, from all nodes and in any order of the candidates', () => {
    const first = chooseUpstream(requestFor('subject', 100), idle, node, ENGINE_COSTS, times, createRandom(1))
    const other = chooseUpstream(requestFor('subject', 6_000), [...idle].reverse(), { name: 'entry-7', failureDomain: 'a' }, ENGINE_COSTS, times, createRandom(1))
    assert.equal(first?.upstream.id, other?.upstream.id)
  })

  it('spreads subjects evenly over the upstreams', () => {
    const chosen = Array.from({ length: 300 }, (_, index) => chooseUpstream(requestFor(`subject-${index}`, 100), idle, node, ENGINE_COSTS, times, createRandom(1))?.upstream.id)
    for (const { upstream } of idle) {
      const count = chosen.filter((id) => id === upstream.id).length
      assert.ok(count > 15 && count < 55, `${upstream.id}: ${count}`)
    }
  })

  // Guards against placement by request count: three requests, one of them with a prompt of 60,000 tokens, delay the next
  // one by two seconds, while ten requests whose prefill is finished hardly delay it.
  it('depends on the queued prefill rather than on the number of requests', () => {
    const busy = idle.map(({ upstream }, index) => candidate(upstream.id, index === 4 ? 0 : 1_500, index === 4 ? 10 : 3))
    for (let subject = 0; subject < 50; subject += 1) {
      assert.equal(chooseUpstream(requestFor(`subject-${subject}`, 1_000), busy, node, ENGINE_COSTS, times, createRandom(1))?.upstream.id, 'i-4')
    }
  })

  // Guards against nodes with the same old information that all send their requests to the upstream that was idle one second ago.
  it('spreads requests without shared parts over nearly equal upstreams, by their free slots', () => {
    const random = createRandom(3)
    const counts = new Map<string, number>()
    const candidates = [candidate('full', 5, 63), candidate('half', 0, 32), candidate('idle', 8, 0), candidate('queue', 400, 0)].map((one): Candidate => ({ ...one, upstream: { ...one.upstream, slots: 64 } }))
    const request: PlacementRequest = { service: 's', parts: [], promptTokens: 0, target: 800, lostOnReclaim: false, streams: true }
    for (let count = 0; count < 1_000; count += 1) {
      const id = chooseUpstream(request, candidates, node, { ...ENGINE_COSTS, perRequest: 0 }, times, random)!.upstream.id
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    assert.equal(counts.get('queue'), undefined)
    assert.ok(counts.get('idle')! > 620 && counts.get('idle')! < 700, `${counts.get('idle')} of 1,000 at 64 of 97 free slots`)
    assert.ok(counts.get('full')! < 30, `${counts.get('full')} of 1,000 at 1 of 97 free slots`)
  })

  // Guards against placement at random that gives up cached prompts or leaves the own failure domain.
  it('prefers the home of cached parts and the own failure domain among nearly equal upstreams', () => {
    const far = idle.map((one): Candidate => ({ ...one, upstream: { ...one.upstream, failureDomain: 'b' } }))
    const request: PlacementRequest = { service: 's', parts: [], promptTokens: 0, target: 800, lostOnReclaim: false, streams: true }
    for (let count = 0; count < 50; count += 1) {
      assert.equal(chooseUpstream(request, [...far, candidate('near')], node, ENGINE_COSTS, times, createRandom(count))?.upstream.id, 'near')
      assert.equal(chooseUpstream(requestFor('subject', 100), idle, node, ENGINE_COSTS, times, createRandom(count))?.cached, 5_300)
    }
  })

  it('chooses one of the candidates if there is any', () => {
    fc.assert(fc.property(fc.array(fc.nat(5_000), { maxLength: 8 }), (queuedPrefills) => {
      const candidates = queuedPrefills.map((prefill, index) => candidate(`i-${index}`, prefill))
      const choice = chooseUpstream({ service: 's', parts: [], promptTokens: 0, target: 800, lostOnReclaim: false, streams: true }, candidates, node, ENGINE_COSTS, times, createRandom(1))
      assert.equal(choice === undefined, queuedPrefills.length === 0)
    }))
  })
})

describe('prefill time', () => {
  it('grows with the prompt, and less with the cached tokens before it', () => {
    assert.ok(prefillTime(12_000, 0, ASSUMED_SPEED) > prefillTime(6_000, 6_000, ASSUMED_SPEED))
    assert.ok(prefillTime(6_000, 6_000, ASSUMED_SPEED) > prefillTime(6_000, 0, ASSUMED_SPEED))
    assert.equal(prefillTime(0, 5_000, ASSUMED_SPEED), 0)
  })

  it('counts all parts but the last as shared', () => {
    assert.equal(sharedTokens(requestFor('s', 100).parts), 5_300)
    assert.equal(sharedTokens([{ id: 'x', tokens: 7 }]), 0)
    assert.equal(sharedTokens([]), 0)
  })
})

describe('health of upstreams', () => {
  it('pauses an upstream for longer after each failure, and ends the pause at a complete answer', () => {
    const health = createUpstreamHealth()
    const { incarnation } = upstreamRecord('i')
    health.failed(incarnation, 0)
    assert.equal(health.usable(incarnation, 399), false)
    assert.equal(health.usable(incarnation, 400), true)
    health.failed(incarnation, 400)
    assert.equal(health.usable(incarnation, 1_100), false)
    for (let count = 0; count < 20; count += 1) health.failed(incarnation, 2_000)
    assert.equal(health.usable(incarnation, 5_001), true)
    health.failed(incarnation, 6_000)
    health.answered(incarnation)
    assert.equal(health.usable(incarnation, 6_000), true)
  })
})
