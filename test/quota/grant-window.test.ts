import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { createQuotaLevel } from '../../src/quota/index.js'
import { BUCKET, createGrantWindow } from '../../src/quota/grant-window.js'

const WINDOW = 8 * SECOND

describe('grants of a window', () => {
  // Guards against a sum that forgets grants of the window: buckets that are reused too early, or time that jumps.
  it('include all grants of the window, and none older than a bucket more', () => {
    const grant = fc.record({ after: fc.nat(3_000), units: fc.integer({ min: 1, max: 50_000 }) })
    fc.assert(fc.property(fc.nat(10_000), fc.array(grant, { maxLength: 40, size: 'max' }), (start, grants) => {
      const window = createGrantWindow(WINDOW, start)
      const added: { at: number, units: number }[] = []
      let now = start
      for (const { after, units } of grants) {
        now += after
        window.add(units, now)
        added.push({ at: now, units })
        const since = (from: number): number => added.filter(({ at }) => at >= from).reduce((sum, one) => sum + one.units, 0)
        assert.ok(window.sum(now) >= since(now - WINDOW) - 1e-6)
        assert.ok(window.sum(now) <= since(now - WINDOW - BUCKET) + 1e-6)
      }
    }))
  })

  // Guards against a rate that fits now and exceeds the allowance before the present grants have left the window.
  it('leave room for the sustainable rate until they have left', () => {
    const grant = fc.record({ after: fc.nat(800), units: fc.integer({ min: 1, max: 50_000 }) })
    fc.assert(fc.property(fc.array(grant, { maxLength: 30, size: 'max' }), fc.integer({ min: 1, max: 1_000_000 }), (grants, allowance) => {
      const window = createGrantWindow(WINDOW, 0)
      let now = 0
      for (const { after, units } of grants) window.add(units, now += after)
      const before = window.sum(now)
      const { sustainable } = window.headroom(allowance, 0, 0, 6 * SECOND, now)
      for (const end = now + 6 * SECOND - BUCKET; now < end; now += BUCKET) {
        window.addRate(sustainable, now, now + BUCKET)
        assert.ok(window.sum(now + BUCKET - 1) <= Math.max(allowance, before) + 1e-3)
      }
    }))
  })

  it('are reduced by what was not used, the latest first', () => {
    const window = createGrantWindow(WINDOW, 0)
    window.add(100, 0)
    window.add(100, 1_000)
    window.remove(150)
    assert.equal(window.sum(7_900), 50)
    assert.equal(window.sum(8_600), 0)
  })
})

describe('the debt of a level', () => {
  // Guards against starvation: other nodes granted many times the rate before their reports arrived, and the level refuses
  // all requests until that is paid back.
  it('that other nodes cause is limited', () => {
    const level = createQuotaLevel(1_000, 500, 1, 0)
    level.admitProbability({ offered: 6_000, offeredToOthers: 6_000, grantedByOthers: 6_000 }, 4 * SECOND)
    const probability = level.admitProbability({ offered: 1_500, offeredToOthers: 1_500, grantedByOthers: 0 }, 4 * SECOND + 1)
    assert.ok(probability >= 0.5, `${probability}`)
  })

  // Guards against debts that grow on: the limit applies to other nodes, not to what this node grants itself.
  it('that the node causes itself is paid back in full', () => {
    const level = createQuotaLevel(1_000, 500, 1, 0)
    level.take(5_500)
    const calm = { offered: 500, offeredToOthers: 0, grantedByOthers: 0 }
    assert.equal(level.admitProbability(calm, 4_990), 0)
    assert.equal(level.admitProbability(calm, 5_010), 1)
  })
})
