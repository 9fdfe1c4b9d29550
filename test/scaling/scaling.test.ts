import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { addOtherVersions, offeredLoad, createLoadEstimator, createOrderTracker, createWorkMeter, planPools, sumWork } from '../../src/scaling/index.js'
import type { Pool, PresentUpstream, ScalingInput } from '../../src/scaling/index.js'

const facts = { minUpstreams: 1, maxUpstreams: 8, bootTime: 4_000, reclaimablePrice: 0.18, prices: { a: 0.85, b: 1.2, c: 1 } }
const domains = ['a', 'b', 'c']

const scalingInput = (more: Partial<ScalingInput> = {}): ScalingInput => ({
  facts, failureDomains: domains, present: [], load: 4, assumeReclaimableRunning: false, unavailableUntil: () => 0, now: 0, ...more
})

/** No attempt has ended yet. */
const measured = { span: 0, attempts: 0, tokens: 0, held: 0 }

const running = (reclaimable: boolean, ...counts: number[]): PresentUpstream[] =>
  counts.flatMap((count, index) => Array.from({ length: count }, () => ({ failureDomain: domains[index]!, reclaimable, leaving: false })))

const total = (sizes: readonly (Pool & { desired: number })[], reclaimable: boolean): number =>
  sizes.filter((pool) => pool.reclaimable === reclaimable).reduce((sum, pool) => sum + pool.desired, 0)

describe('on-demand upstreams', () => {
  // Failure guarded against: on-demand upstreams that replace missing reclaimable ones are spread evenly over failure
  // domains whose prices differ by half. A calm day on which reclaimable ones are missing half of the time then costs a
  // fifth more.
  it('replace missing ones in the cheapest failure domain, and run in at least one other once there are four', () => {
    for (let load = 1; load <= 8; load += 0.5) {
      const onDemand = planPools(scalingInput({ load })).filter(({ reclaimable }) => !reclaimable)
      const paid = onDemand.reduce((sum, { failureDomain, desired }) => sum + desired * facts.prices[failureDomain as 'a'], 0)
      const count = onDemand.reduce((sum, { desired }) => sum + desired, 0)
      const mean = Object.values(facts.prices).reduce((sum, price) => sum + price, 0) / domains.length
      if (count <= facts.maxUpstreams) assert.ok(paid <= count * mean * 0.95, `load ${load}: ${paid} for ${count}`)
      if (count >= 4) assert.ok(onDemand.filter(({ desired }) => desired > 0).length >= 2, `load ${load}`)
    }
  })
})

describe('an order while two versions run', () => {
  // Failure guarded against: an order counts the upstreams of the new version as well. If the ordered size does not
  // include them, as many upstreams that carry the traffic are stopped, and callers wait during a roll-out.
  it('counts both', () => {
    const size = { failureDomain: 'a', reclaimable: true, desired: 4 }
    assert.deepEqual(addOtherVersions([size], running(true, 3, 2), 8).map(({ desired }) => desired), [7])
    assert.deepEqual(addOtherVersions([size], running(true, 6), 8).map(({ desired }) => desired), [8])
    assert.deepEqual(addOtherVersions([size], running(false, 6), 8).map(({ desired }) => desired), [4])
  })
})

describe('a plan of pools', () => {
  it('respects the bounds of each failure domain for any load and any running upstreams', () => {
    const present = fc.array(fc.record({ failureDomain: fc.constantFrom(...domains), reclaimable: fc.boolean(), leaving: fc.boolean() }), { maxLength: 30 })
    fc.assert(fc.property(fc.double({ min: 0, max: 60, noNaN: true }), present, (load, upstreams) => {
      const sizes = planPools(scalingInput({ load, present: upstreams }))
      for (const domain of domains) {
        const both = sizes.filter((pool) => pool.failureDomain === domain).reduce((sum, pool) => sum + pool.desired, 0)
        assert.ok(both >= facts.minUpstreams, `${domain}: ${both}`)
        for (const pool of sizes) assert.ok(pool.desired <= facts.maxUpstreams)
      }
    }))
  })

  // Failure guarded against: all reclaimable upstreams of a failure domain are reclaimed, the platform has no others for
  // a while, and requests queue for the remaining ones.
  it('orders on-demand upstreams as soon as reclaimable ones leave, and releases them when these are back', () => {
    const calm = scalingInput({ present: [...running(true, 3, 2, 2), ...running(false, 2, 1, 2)] })
    const afterReclaim = scalingInput({ present: [...running(true, 0, 0, 0), ...running(false, 2, 1, 2)] })
    assert.ok(total(planPools(afterReclaim), false) > total(planPools(calm), false))
    assert.equal(total(planPools(afterReclaim), true), total(planPools(calm), true))
  })

  // Failure guarded against: at the maximum size, running reclaimable upstreams are given back while the load rises, and
  // their on-demand replacements take seconds to boot.
  it('keeps all running upstreams while the load is more than the maximum size is meant for', () => {
    for (let load = 3; load <= 20; load += 1) {
      const sizes = planPools(scalingInput({ load, present: [...running(true, 7, 7, 0), ...running(false, 1, 1, 0)] }))
      const reclaimableIn = (domain: string): number => sizes.find(({ failureDomain, reclaimable }) => reclaimable && failureDomain === domain)?.desired ?? 0
      if (load >= 5) assert.deepEqual([reclaimableIn('a') >= 7, reclaimableIn('b') >= 7], [true, true], `load ${load}`)
    }
  })

  // Failure guarded against: the plan moves an on-demand upstream to another failure domain while requests queue for all
  // upstreams that run, and nothing serves in its place until the new one has booted.
  it('gives no on-demand upstream back while more work is offered than the running ones can take', () => {
    const present = fc.tuple(...[0, 1, 2, 3, 4, 5].map(() => fc.integer({ min: 0, max: 4 })))
    fc.assert(fc.property(present, fc.double({ min: 1, max: 3, noNaN: true }), ([a, b, c, d, e, f], factor) => {
      const upstreams = [...running(true, a!, b!, c!), ...running(false, d!, e!, f!)]
      const sizes = planPools(scalingInput({ load: upstreams.length * factor, present: upstreams }))
      for (const [index, count] of [d!, e!, f!].entries()) {
        assert.ok(sizes.some(({ failureDomain, reclaimable, desired }) => !reclaimable && failureDomain === domains[index] && desired >= count), domains[index])
      }
    }), { seed: 1 })
  })

  // Failure guarded against: on-demand upstreams are ordered in the cheapest failure domain, where reclaimable ones have
  // taken all places, and none where a reclaim has just freed all of them.
  it('orders on-demand upstreams where there is room for them', () => {
    const sizes = planPools(scalingInput({ load: 12, present: [...running(true, 7, 7, 0), ...running(false, 1, 1, 0)] }))
    const onDemandIn = (domain: string): number => sizes.find(({ failureDomain, reclaimable }) => !reclaimable && failureDomain === domain)?.desired ?? 0
    assert.ok(onDemandIn('c') >= 5, `${onDemandIn('c')}`)
    assert.ok(onDemandIn('a') <= 1, `${onDemandIn('a')}`)
  })

  it('does not count upstreams that are leaving', () => {
    const leaving = running(true, 3, 2, 2).map((upstream) => ({ ...upstream, leaving: true }))
    assert.equal(total(planPools(scalingInput({ present: leaving })), false), total(planPools(scalingInput()), false))
  })

  it('orders no reclaimable upstreams if the service has none', () => {
    const sizes = planPools(scalingInput({ facts: { ...facts, reclaimablePrice: undefined } }))
    assert.equal(total(sizes, true), 0)
  })
})

describe('the order tracker', () => {
  const size = { failureDomain: 'a', reclaimable: true, desired: 2 }

  it('orders a size once, repeats it without an answer, and repeats it if too few upstreams run for long', () => {
    const orders = createOrderTracker()
    assert.equal(orders.due([size], () => 0, 0).length, 1)
    orders.answered(size, undefined, 0)
    assert.equal(orders.due([size], () => 0, 500).length, 0)
    assert.equal(orders.due([size], () => 0, 1_000).length, 1)
    orders.answered(size, 'accepted', 1_000)
    assert.equal(orders.due([size], () => 0, 5_000).length, 0)
    assert.equal(orders.due([size], () => 0, 9_000).length, 1)
    assert.equal(orders.due([size], () => 2, 9_000).length, 0)
    assert.equal(orders.due([{ ...size, desired: 3 }], () => 2, 1_001).length, 1)
  })

  it('pauses the orders of a pool for which the platform has no upstreams', () => {
    const orders = createOrderTracker()
    orders.answered(size, 'unavailable', 0)
    assert.ok(orders.unavailableUntil(size) > 0)
    assert.equal(orders.unavailableUntil({ ...size, reclaimable: false }), 0)
    orders.reset()
    assert.equal(orders.unavailableUntil(size), 0)
  })
})

describe('offered work', () => {
  it('is measured as a rate and summed over nodes', () => {
    const meter = createWorkMeter()
    for (let now = 0; now < 30_000; now += 100) meter.add('plans', 20, 40, now)
    const { plans } = meter.rates(30_000)
    assert.ok(plans !== undefined && Math.abs(plans.reading - 200) < 10 && Math.abs(plans.requests - 10) < 1)
    assert.equal(sumWork([{ plans }, { plans }]).plans?.reading, plans.reading * 2)
    assert.deepEqual(meter.rates(90_000), {})
  })

  it('raises the estimate within a second and lowers it after a while', () => {
    const estimator = createLoadEstimator(0)
    for (let now = 0; now <= 1_000; now += 400) estimator.observe(5, now)
    assert.ok(estimator.value(1_000) >= 4, `${estimator.value(1_000)}`)
    for (let now = 1_400; now <= 60_000; now += 400) estimator.observe(1, now)
    assert.ok(Math.abs(estimator.value(60_000) - 1) < 0.1, `${estimator.value(60_000)}`)
  })

  // Failure guarded against: by chance few long prompts arrive in the first seconds and the fleet shrinks from eighteen
  // engines to five. All reclaimable engines are then reclaimed as the usual load arrives, and short requests wait for
  // seconds.
  it('does not lower the estimate much during some seconds with few long prompts', () => {
    const estimator = createLoadEstimator(5)
    // Load every 0.4 s as at the start of a simulated day: low for six seconds, then at its usual level.
    for (let now = 0; now < 6_000; now += 400) estimator.observe(1.7, now)
    assert.ok(estimator.value(6_000) > 3, `${estimator.value(6_000)} after the lull`)
    for (let now = 6_000; now < 16_000; now += 400) estimator.observe(4 + Math.sin(now / 700), now)
    assert.ok(estimator.value(16_000) > 3.3 && estimator.value(16_000) < 5, `${estimator.value(16_000)}`)
  })

  it('counts prefill, or the slots that streams occupy if these would fill the batches', () => {
    assert.equal(offeredLoad({ requests: 40, reading: 2_900, generatedTokens: 5_000, measured }, 64), 2.9)
    assert.ok(offeredLoad({ requests: 40, reading: 100, generatedTokens: 60_000, measured }, 64) > 5)
  })
})
