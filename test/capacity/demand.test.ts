/** What is learnt about demand, capacity and reclaims. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { emptyReclaimHistory, learnCapacity, neededWork, observeDemand, observeReclaims, reclaimRate, sampleBetween } from '../../src/capacity/index.js'
import type { Demand } from '../../src/capacity/index.js'
import { HOUR, MINUTE, SECOND } from '../../src/clock.js'
import { failureDomainSchema } from '../../src/identifiers.js'

const ZONE = failureDomainSchema.parse('zone-a')

// The fleet is halved at noon although nobody went home: a node was replaced, the sum of the
// counters went back, and the difference was taken for a demand of nothing.
test('counters that go back or come late are a gap, not a demand', () => {
  const before = { at: 0, requests: 100, work: 9_000 }
  assert.equal(sampleBetween(before, { at: 10 * SECOND, requests: 60, work: 9_500 }), undefined)
  assert.equal(sampleBetween(before, { at: HOUR, requests: 200, work: 10_000 }), undefined)
  assert.equal(sampleBetween(before, { at: 10 * SECOND, requests: 120, work: 14_000 })?.workPerSecond, 500)
})

test('the need lies above a steady demand only by its variation, and ahead of a growing one', () => {
  let steady: Demand | undefined
  let growing: Demand | undefined
  for (let step = 0; step <= 60; step += 1) {
    const at = step * 10 * SECOND
    steady = observeDemand(steady, { at, requestsPerSecond: 1, workPerSecond: 1_000 })
    growing = observeDemand(growing, { at, requestsPerSecond: 1, workPerSecond: 1_000 + step * 10 })
  }
  const options = { quantile: 0.95, lead: 5 * MINUTE }
  assert.ok(Math.abs(neededWork(steady!, options) - 1_000) < 1)
  assert.ok(neededWork(growing!, options) > 1_600 + 0.8 * 300)
})

test('capacity is learnt to within a tenth of the true limit, from either side', () => {
  fc.assert(fc.property(fc.integer({ min: 100, max: 2_000 }), fc.double({ min: 0.3, max: 3, noNaN: true }), (limit, firstGuess) => {
    let known = limit * firstGuess
    for (let step = 0; step < 120; step += 1) {
      const workPerSecond = Math.min(known, limit * 1.1)
      const over = workPerSecond > limit
      known = learnCapacity(known, { workPerSecond, inTarget: over ? 0.8 : 0.99, quantile: 0.95, queued: over })
    }
    assert.ok(known > limit * 0.9 && known < limit * 1.1, `${known} for ${limit}`)
  }), { seed: 1, numRuns: 50 })
})

test('late answers without a queue do not lower the capacity', () => {
  assert.equal(learnCapacity(600, { workPerSecond: 100, inTarget: 0.5, quantile: 0.95, queued: false }), 600)
})

test('a storm raises a domain\'s rate, is one wave, and is forgotten', () => {
  const calm = reclaimRate(emptyReclaimHistory(0), ZONE)
  let history = emptyReclaimHistory(0)
  for (let minute = 1; minute <= 4; minute += 1) {
    history = observeReclaims(history, minute * MINUTE, [{ failureDomain: ZONE, reclaimable: 10, reclaimed: 2 }])
  }
  assert.ok(reclaimRate(history, ZONE).perInstanceHour > 10 * calm.perInstanceHour)
  assert.ok(history.domains[0]!.waves < 1.001)
  const later = observeReclaims(history, 14 * 24 * HOUR, [])
  assert.ok(Math.abs(reclaimRate(later, ZONE).perInstanceHour - calm.perInstanceHour) < 0.01 * calm.perInstanceHour)
})
