/** Learning of demand, capacity and reclaim rates. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { capacityOf, emptyLearned, emptyReclaimHistory, learnCapacity, neededWork, observeDemand, observeReclaims, reclaimRate, recomputedPerLostWork, withRecomputed } from '../../src/capacity/index.js'
import type { Demand, InstanceCapacity } from '../../src/capacity/index.js'
import { HOUR, MINUTE, SECOND } from '../../src/clock.js'
import { failureDomainSchema, serviceNameSchema } from '../../src/identifiers.js'

const BETWEEN_TOKENS = 34
const ZONE = failureDomainSchema.parse('zone-a')

test('the need exceeds a steady demand only by its variation, and anticipates a growing one', () => {
  let steady: Demand | undefined
  let growing: Demand | undefined
  for (let step = 0; step <= 60; step += 1) {
    const at = step * 10 * SECOND
    steady = observeDemand(steady, { at, requestsPerSecond: 1, workPerSecond: 1_000 })
    growing = observeDemand(growing, { at, requestsPerSecond: 1, workPerSecond: 1_000 + step * 10 })
  }
  const options = { quantile: 0.95, leadTime: 5 * MINUTE }
  assert.ok(Math.abs(neededWork(steady!, options) - 1_000) < 1)
  assert.ok(neededWork(growing!, options) > 1_600 + 0.8 * 300)
})

// Guards against late answers after the loss of a zone: the planner took the load of an instance in a quiet hour for
// its full capacity, or assumed a capacity far beyond any observed load.
test('capacity at the target is predicted from quieter hours, and stays near the observed maximum', () => {
  fc.assert(fc.property(fc.double({ min: 5, max: 15, noNaN: true }), fc.double({ min: 0.2, max: 1.5, noNaN: true }), (single, perAnswer) => {
    const interval = (running: number) => single + perAnswer * running
    const limit = (BETWEEN_TOKENS - single) / perAnswer * SECOND / BETWEEN_TOKENS
    let known: InstanceCapacity | undefined
    let highest = 0
    for (let step = 0; step < 100; step += 1) {
      const running = 2 + 0.4 * ((BETWEEN_TOKENS - single) / perAnswer) * (step % 10) / 9
      const workPerSecond = running * SECOND / interval(running)
      highest = Math.max(highest, workPerSecond)
      known = learnCapacity(known, { workPerSecond, running, inTarget: 0.99, quantile: 0.95, queued: false })
    }
    const predicted = capacityOf(known!, BETWEEN_TOKENS, 3)
    assert.ok(predicted <= limit * 1.001 || predicted <= highest)
    assert.ok(predicted >= highest && predicted <= highest * 1.7)
  }), { seed: 1, numRuns: 50 })
})

test('late answers lower the capacity only if requests queued', () => {
  const known = learnCapacity(undefined, { workPerSecond: 600, running: 10, inTarget: 0.99, quantile: 0.95, queued: false })
  const late = { workPerSecond: 500, running: 10, inTarget: 0.5, quantile: 0.95 }
  assert.equal(learnCapacity(known, { ...late, queued: false }).highest, 600)
  assert.ok(learnCapacity(known, { ...late, queued: true }).highest < 500)
})

test('a series of reclaims raises a domain\'s rate, counts as one wave, and decays', () => {
  const prior = reclaimRate(emptyReclaimHistory(0), ZONE)
  let history = emptyReclaimHistory(0)
  for (let minute = 1; minute <= 4; minute += 1) {
    history = observeReclaims(history, minute * MINUTE, [{ failureDomain: ZONE, reclaimable: 10, reclaimed: 2 }])
  }
  assert.ok(reclaimRate(history, ZONE).perInstanceHour > 10 * prior.perInstanceHour)
  assert.ok(history.domains[0]!.waves < 1.001)
  const later = observeReclaims(history, 14 * 24 * HOUR, [])
  assert.ok(Math.abs(reclaimRate(later, ZONE).perInstanceHour - prior.perInstanceHour) < 0.01 * prior.perInstanceHour)
})

// Guards against moving to a domain that reclaims machines every hour: the reclaim was recorded at once, its
// recomputed tokens were reported minutes later, and the cost of the reclaim was learnt as zero.
test('recomputed tokens are attributed to reclaims even if reported later', () => {
  const service = serviceNameSchema.parse('plans')
  const prior = 40
  let learned = emptyLearned(0)
  for (let reclaim = 0; reclaim < 60; reclaim += 1) {
    learned = withRecomputed(learned, service, 0, [600])
    learned = withRecomputed(learned, service, 30_000, [])
  }
  assert.ok(Math.abs(recomputedPerLostWork(learned, service, prior) - 50) < 5)
})
