import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { createQuotaLevel, createQuotaLimiter, createRetryBudget, createTokenBucket, shareOf } from '../../src/quota/index.js'
import { createRandom } from '../../src/random.js'
import type { Milliseconds } from '../../src/clock.js'
import type { QuotaLimiter } from '../../src/quota/index.js'
import type { Organisation } from '../../src/routing/index.js'

/** Margin by which the sum of all nodes may exceed a quota in these tests. */
const MARGIN = { window: 8 * SECOND, overshoot: 0.1, slack: 140_000 }

const organisation = (rate: number, burst: number): Organisation => ({
  name: 'tejo', keys: [], priority: undefined, quota: { unit: 'tokens', rate, burst, plainCost: 200 }
})

describe('the level of a quota', () => {
  it('grants at most the refill, the size and one request in any interval', () => {
    const request = fc.record({ after: fc.nat(400), cost: fc.integer({ min: 1, max: 2_000 }) })
    fc.assert(fc.property(fc.array(request, { maxLength: 60, size: 'max' }), (requests) => {
      const level = createQuotaLevel(1_000, 500, 1, 0)
      let now = 0
      let taken = 0
      let largest = 0
      for (const { after, cost } of requests) {
        now += after
        largest = Math.max(largest, cost)
        if (level.admitProbability({ offered: 0, offeredToOthers: 0, grantedByOthers: 0 }, now) === 1) {
          level.take(cost)
          taken += cost
        }
        assert.ok(taken <= 500 + now + largest, `${taken} by ${now}`)
      }
    }))
  })

  it('admits a request of any size once the debt of the previous request is refilled', () => {
    const level = createQuotaLevel(1_000, 500, 1, 0)
    const calm = { offered: 500, offeredToOthers: 300, grantedByOthers: 0 }
    level.take(1_500)
    assert.equal(level.admitProbability(calm, 0), 0)
    const wait = level.wait(calm)
    assert.equal(level.admitProbability(calm, wait - 2), 0)
    assert.equal(level.admitProbability(calm, wait + 1), 1)
  })
})

describe('shares of a quota', () => {
  it('add up to 1 over all nodes for any demands', () => {
    fc.assert(fc.property(fc.array(fc.nat(10_000), { minLength: 1, maxLength: 64 }), (demands) => {
      const sum = demands.reduce((total, own) => total + shareOf(own, { demand: demands.reduce((all, demand) => all + demand, 0) - own, nodes: demands.length - 1 }, demands.length), 0)
      assert.ok(Math.abs(sum - 1) < 1e-9, `${sum}`)
    }))
  })
})

describe('a token bucket', () => {
  it('grants at most the refill, the size and one request in any interval', () => {
    const request = fc.record({ after: fc.nat(400), cost: fc.integer({ min: 1, max: 2_000 }) })
    fc.assert(fc.property(fc.array(request, { maxLength: 60, size: 'max' }), (requests) => {
      const bucket = createTokenBucket(1_000, 500, 0)
      let now = 0
      let taken = 0
      let largest = 0
      for (const { after, cost } of requests) {
        now += after
        largest = Math.max(largest, cost)
        if (bucket.take(cost, now)) taken += cost
        assert.ok(taken <= 500 + now + largest, `${taken} by ${now}`)
      }
    }))
  })

  it('computes when it admits the next request', () => {
    const bucket = createTokenBucket(1_000, 500, 0)
    assert.ok(bucket.take(1_500, 0))
    assert.equal(bucket.take(1, 0), false)
    const wait = bucket.wait(0)
    assert.equal(bucket.take(1, wait - 2), false)
    assert.ok(bucket.take(1, wait + 1))
  })
})

describe('a quota over several nodes', () => {
  // Guards against a quota per node: an organisation sends four times its rate to all nodes. If each of the nine nodes granted
  // the whole rate, the sum would be nine times the quota, at the expense of other organisations.
  it('is kept by the sum of all nodes that exchange reports, in every window', () => {
    const limiters = Array.from({ length: 9 }, () => createQuotaLimiter(createRandom(1), MARGIN))
    const granted: { at: number, cost: number }[] = []
    const tejo = organisation(100_000, 100_000)
    for (let now = 0; now < 20 * SECOND; now += 20) {
      if (now % 400 === 0) {
        const reports = limiters.map((limiter) => ({ nodes: 1, demand: limiter.demand(now), granted: limiter.granted(now) }))
        limiters.forEach((limiter, index) => limiter.observe(reports.filter((_, other) => other !== index), 9, now))
      }
      const limiter = limiters[(now / 20) % 9]!
      if (limiter.take(tejo, 8_000, now).kind === 'granted') granted.push({ at: now, cost: 8_000 })
    }
    for (const { at } of granted) {
      const window = granted.filter((one) => one.at >= at && one.at < at + 8 * SECOND).reduce((sum, one) => sum + one.cost, 0)
      assert.ok(window <= (100_000 * 8 + 100_000) * 1.1 + 140_000, `${window} from ${at}`)
    }
    const total = granted.reduce((sum, one) => sum + one.cost, 0)
    assert.ok(total >= 0.85 * 100_000 * 20, `${total}`)
  })

  // Guards against excess grants after a restart: all processes are killed at once under four times the usual load. Each new
  // process knows no other node at first and grants the whole rate, so the sum is nine times the rate.
  it('is kept while nodes that have just started discover each other one by one', () => {
    const tejo = organisation(100_000, 100_000)
    let taken = 0
    const limiters = Array.from({ length: 9 }, () => createQuotaLimiter(createRandom(1), MARGIN))
    for (let now = 0; now < 3 * SECOND; now += 20) {
      const known = Math.min(9, Math.floor(now / 300))
      if (now % 400 === 0 && known > 0) limiters.forEach((limiter) => limiter.observe(limiters.slice(1, known).map((other) => ({ nodes: 1, demand: other.demand(now), granted: other.granted(now) })), 9, now))
      for (const limiter of limiters) if (limiter.take(tejo, 2_000, now).kind === 'granted') taken += 2_000
    }
    assert.ok(taken <= 100_000 * 3 + 100_000, `${taken}`)
  })

  it('gives an equal share to a node without reports of others', () => {
    const limiter = createQuotaLimiter(createRandom(1), MARGIN)
    limiter.observe([], 9, 0)
    const tejo = organisation(90_000, 9_000)
    let taken = 0
    for (let now = 0; now < 10 * SECOND; now += 10) if (limiter.take(tejo, 500, now).kind === 'granted') taken += 500
    assert.ok(taken <= 90_000 * 10 / 9 + 9_000, `${taken}`)
  })

  it('has no limit at a rate of 0', () => {
    const limiter = createQuotaLimiter(createRandom(1), MARGIN)
    for (let now = 0; now < 100; now += 1) assert.equal(limiter.take(organisation(0, 0), 1e6, now).kind, 'granted')
  })

  it('refunds requests that did not run', () => {
    const limiter = createQuotaLimiter(createRandom(1), { ...MARGIN, slack: 0 })
    limiter.observe([], 1, 0)
    const tejo = organisation(10, 1_000)
    while (limiter.take(tejo, 400, 0).kind === 'granted');
    assert.equal(limiter.take(tejo, 400, 0).kind, 'over')
    limiter.refund(tejo, 400, 0, 0)
    limiter.refund(tejo, 400, 0, 0)
    assert.equal(limiter.take(tejo, 400, 0).kind, 'granted')
  })
})

describe('a quota of one node', () => {
  // Failure guarded against: a request without tokens is the first of its organisation, the estimate of its surges divides by
  // zero, and all later requests of the organisation are refused.
  it('serves requests after one that costs nothing', () => {
    const limiter = createQuotaLimiter(createRandom(1), MARGIN)
    limiter.observe([], 1, 0)
    const tejo = organisation(50_000, 50_000)
    assert.equal(limiter.take(tejo, 0, 0).kind, 'granted')
    limiter.observe([], 1, 4 * SECOND)
    for (let now = 5 * SECOND; now < 60 * SECOND; now += SECOND) assert.equal(limiter.take(tejo, 1_400, now).kind, 'granted')
  })

  // Failure guarded against: after an operator lowers a rate, an organisation that keeps to the new rate is refused for
  // seconds, since what it was granted under the old one counts against the new one.
  it('serves an organisation that keeps to a rate that was lowered', () => {
    const limiter = createQuotaLimiter(createRandom(1), MARGIN)
    limiter.observe([], 1, 0)
    for (let now = 0; now < 20 * SECOND; now += 20) limiter.take(organisation(500_000, 500_000), 6_000, now)
    const lowered = organisation(50_000, 50_000)
    let refused = 0
    for (let now = 20 * SECOND; now < 40 * SECOND; now += 100) if (limiter.take(lowered, 2_500, now).kind === 'over') refused += 1
    assert.ok(refused <= 10, `${refused} of 200`)
  })

  // Failure guarded against: a node that can reach no upstream reports grants that never ran, and the other nodes refuse the
  // organisation.
  it('does not report grants that were returned', () => {
    const limiter = createQuotaLimiter(createRandom(1), MARGIN)
    limiter.observe([], 1, 0)
    const tejo = organisation(50_000, 50_000)
    for (let now = 0; now < 2 * SECOND; now += 100) {
      limiter.take(tejo, 2_000, now)
      limiter.refund(tejo, 2_000, now, now + 50)
    }
    assert.deepEqual(limiter.granted(2 * SECOND), {})
  })

  // Failure guarded against: a request that waited for longer than the window is returned, and units of others that did run
  // are taken out of the window in its place.
  it('keeps to the window when units come back late', () => {
    const margin = { ...MARGIN, slack: 0 }
    const limiter = createQuotaLimiter(createRandom(1), margin)
    limiter.observe([], 1, 0)
    const tejo = organisation(1_000, 8_000)
    let early = 0
    while (limiter.take(tejo, 100, 20 * SECOND).kind === 'granted') early += 1
    let granted = 0
    for (let now = 29 * SECOND; now < 37 * SECOND; now += 10) {
      if (now === 29.5 * SECOND) for (let index = 0; index < early; index += 1) limiter.refund(tejo, 100, 20 * SECOND, now)
      for (let index = 0; index < 5; index += 1) if (limiter.take(tejo, 100, now).kind === 'granted') granted += 100
    }
    assert.ok(granted <= (1_000 * margin.window / SECOND + 8_000) * (1 + margin.overshoot), `${granted}`)
  })
})

describe('the retry budget', () => {
  it('keeps the sum of all nodes within ratio and extra in every window', () => {
    const step = fc.record({ node: fc.nat(4), after: fc.nat(300), retries: fc.nat(4) })
    fc.assert(fc.property(fc.array(step, { maxLength: 200, size: 'max' }), (steps) => {
      const budgets = Array.from({ length: 5 }, () => createRetryBudget({ ratio: 0.2, extra: 20, window: 10 * SECOND }, -Infinity))
      for (const budget of budgets) budget.setNodeCount(5)
      const requests: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { node, after, retries: wanted } of steps) {
        now += after
        budgets[node]!.request(now)
        requests.push(now)
        for (let count = 0; count < wanted; count += 1) if (budgets[node]!.take(now)) retries.push(now)
        const from = now - 10 * SECOND
        const seen = retries.filter((at) => at >= from).length
        assert.ok(seen <= 0.2 * requests.filter((at) => at >= from).length + 20, `${seen} at ${now}`)
      }
    }))
  })
})

describe('a refusal', () => {
  const tejo = organisation(10_000, 10_000)

  function causesOf (limiter: QuotaLimiter, cost: number, from: Milliseconds, until: Milliseconds): Set<string> {
    const causes = new Set<string>()
    for (let now = from; now < until; now += 20) {
      const decision = limiter.take(tejo, cost, now)
      if (decision.kind === 'over') causes.add(decision.cause)
    }
    return causes
  }

  // Guards against operators who raise a rate in vain: the log names the limit that applied.
  it('names the rate, the window or the share of the node', () => {
    const alone = createQuotaLimiter(createRandom(1), { ...MARGIN, slack: 0 })
    alone.observe([], 1, 0)
    causesOf(alone, 20, 0, 20 * SECOND)
    assert.deepEqual([...causesOf(alone, 300, 20 * SECOND, 24 * SECOND)], ['rate'])

    const late = createQuotaLimiter(createRandom(1), { ...MARGIN, slack: 0 })
    for (let now = 0; now <= 8 * SECOND; now += 400) late.observe([{ nodes: 8, demand: { tejo: 60_000 }, granted: { tejo: now < 4 * SECOND ? 60_000 : 2_000 } }], 9, now)
    assert.deepEqual([...causesOf(late, 20, 8 * SECOND, 8.5 * SECOND)], ['window'])
    assert.ok(late.windowFractions().tejo! > 1)

    const small = createQuotaLimiter(createRandom(1), { ...MARGIN, slack: 4_000 })
    small.observe([{ nodes: 8, demand: { tejo: 3_000 }, granted: { tejo: 3_000 } }], 9, 0)
    assert.deepEqual([...causesOf(small, 2_000, 9 * SECOND, 9.2 * SECOND)], ['node'])
  })
})
