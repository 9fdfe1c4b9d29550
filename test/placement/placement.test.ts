import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ASSUMED_SPEED, chooseUpstream, createUpstreamHealth, ENGINE_COSTS, readingTime, sharedTokens } from '../../src/placement/index.js'
import type { Candidate, Work } from '../../src/placement/index.js'
import { upstreamRecord } from './records.js'

const node = { name: 'entry-1', failureDomain: 'a' }

const candidate = (id: string, reading = 0, requests = 0): Candidate => ({
  upstream: upstreamRecord(id),
  load: { requests, reading }
})

const work = (subject: string, own: number): Work => ({
  service: 's', parts: [{ id: 'common', tokens: 500 }, { id: subject, tokens: 4_800 }, { id: 'own', tokens: own }], promptTokens: 5_300 + own, target: 800, bound: false
})

describe('the choice of an upstream', () => {
  const idle = Array.from({ length: 9 }, (_, index) => candidate(`i-${index}`))

  it('sends requests about one subject to one upstream, from all nodes, in whatever order these are known', () => {
    const first = chooseUpstream(work('subject', 100), idle, node, ENGINE_COSTS, ASSUMED_SPEED)
    const other = chooseUpstream(work('subject', 6_000), [...idle].reverse(), { name: 'entry-7', failureDomain: 'a' }, ENGINE_COSTS, ASSUMED_SPEED)
    assert.equal(first?.upstream.id, other?.upstream.id)
  })

  it('spreads subjects', () => {
    const chosen = Array.from({ length: 300 }, (_, index) => chooseUpstream(work(`subject-${index}`, 100), idle, node, ENGINE_COSTS, ASSUMED_SPEED)?.upstream.id)
    for (const { upstream } of idle) {
      const count = chosen.filter((id) => id === upstream.id).length
      assert.ok(count > 15 && count < 55, `${upstream.id}: ${count}`)
    }
  })

  // Questions of a thousand tokens wait for two seconds at an engine that has three requests, while others
  // with ten answer at once: one of the three is a prompt of 60,000 tokens.
  it('goes by what is still to be read, not by the number of requests', () => {
    const busy = idle.map(({ upstream }, index) => candidate(upstream.id, index === 4 ? 0 : 1_500, index === 4 ? 10 : 3))
    for (let subject = 0; subject < 50; subject += 1) {
      assert.equal(chooseUpstream(work(`subject-${subject}`, 1_000), busy, node, ENGINE_COSTS, ASSUMED_SPEED)?.upstream.id, 'i-4')
    }
  })

  it('chooses one of the candidates if there is any', () => {
    fc.assert(fc.property(fc.array(fc.nat(5_000), { maxLength: 8 }), (readings) => {
      const candidates = readings.map((reading, index) => candidate(`i-${index}`, reading))
      const choice = chooseUpstream({ service: 's', parts: [], promptTokens: 0, target: 800, bound: false }, candidates, node, ENGINE_COSTS, ASSUMED_SPEED)
      assert.equal(choice === undefined, readings.length === 0)
    }))
  })
})

describe('reading time', () => {
  it('grows with the prompt and less with what is cached', () => {
    assert.ok(readingTime(12_000, 0, ASSUMED_SPEED) > readingTime(6_000, 6_000, ASSUMED_SPEED))
    assert.ok(readingTime(6_000, 6_000, ASSUMED_SPEED) > readingTime(6_000, 0, ASSUMED_SPEED))
    assert.equal(readingTime(0, 5_000, ASSUMED_SPEED), 0)
  })

  it('counts all parts but the last as shared', () => {
    assert.equal(sharedTokens(work('s', 100).parts), 5_300)
    assert.equal(sharedTokens([{ id: 'x', tokens: 7 }]), 0)
    assert.equal(sharedTokens([]), 0)
  })
})

describe('health of upstreams', () => {
  it('pauses one that failed, for longer each time, and ends the pause at a whole answer', () => {
    const health = createUpstreamHealth()
    const { life } = upstreamRecord('i')
    health.failed(life, 0)
    assert.equal(health.usable(life, 399), false)
    assert.equal(health.usable(life, 400), true)
    health.failed(life, 400)
    assert.equal(health.usable(life, 1_100), false)
    for (let count = 0; count < 20; count += 1) health.failed(life, 2_000)
    assert.equal(health.usable(life, 5_001), true)
    health.failed(life, 6_000)
    health.answered(life)
    assert.equal(health.usable(life, 6_000), true)
  })
})
