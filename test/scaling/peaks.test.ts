/** Replays of bursts, lasting rises, waves and reclaims against the estimate of the load and the plan. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createLoadEstimator } from '../../src/scaling/index.js'
import { BOOT_TIME, delayed, held, replay, TICK } from './replay.js'
import type { Day } from './replay.js'

const BASE = 7
const PEAK = 19
const WINDOW: Milliseconds = 30 * SECOND

const earlier = held(8 * SECOND)

const burst = (length: Milliseconds): Day => ({ load: (time) => time >= 0 && time < length ? PEAK : BASE, length: WINDOW })
const rise = (level: number): Day => ({ load: (time) => time >= 0 ? level : BASE, length: WINDOW })
const waves: Day = { load: (time) => BASE * (1 + 0.3 * Math.sin(time / (40 * SECOND) * 2 * Math.PI)), length: 80 * SECOND }
const reclaimInBurst: Day = { ...burst(5 * SECOND), reclaimAt: 2_400, outage: 10 * SECOND }

/** Engine-seconds that the fleet would have ordered without the burst. */
const calm = replay({ load: () => BASE, length: WINDOW }).engineSeconds

describe('capacity for a burst', () => {
  // Failure guarded against: the load rises from 7 to 19 engines for 3 to 6 s. The engines that are ordered for it are
  // ready when it is over, and are then kept for 8 s and more.
  for (const [length, bound] of [[3, 0.6], [4, 0.6], [5, 0.7], [6, 0.8]] as const) {
    it(`of ${length} s is not kept after the burst`, (test) => {
      const day = burst(length * SECOND)
      const now = replay(day)
      const before = replay(day, earlier)
      const extra = (rule: typeof earlier): number => replay(day, rule).engineSeconds - calm
      test.diagnostic(`engine-seconds beyond the calm fleet: ${now.engineSeconds - calm}; held for 8 s: ${extra(earlier)}; not held: ${extra(held(TICK))}; ordered after a boot time: ${extra(delayed(BOOT_TIME))}`)
      assert.ok(now.engineSeconds - calm < bound * (before.engineSeconds - calm))
      const afterwards = Math.ceil((length + 4) * SECOND / TICK)
      assert.ok(now.ordered[afterwards]! < 0.8 * now.maxOrdered, `${now.ordered[afterwards]} of ${now.maxOrdered} engines 4 s after the burst`)
      assert.deepEqual([now.overloaded, now.tight], [before.overloaded, before.tight])
    })
  }

  it('that is twice as long as a boot is provided for as before', () => {
    const [now, before] = [replay(burst(2 * BOOT_TIME)), replay(burst(2 * BOOT_TIME), earlier)]
    assert.ok(now.estimates.every((estimate, tick) => tick * TICK >= 2 * BOOT_TIME || estimate >= before.estimates[tick]! - 0.01))
  })

  // Failure guarded against: half of the engines are reclaimed in the middle of a burst and the platform has none for
  // 10 s. Shorter provision for the burst must not leave fewer engines for the load.
  it('is not missed after a reclaim of half of the engines without replacement', (test) => {
    const [now, before] = [replay(reclaimInBurst), replay(reclaimInBurst, earlier)]
    test.diagnostic(`overloaded for ${now.overloaded} s, ${before.overloaded} s with a hold of 8 s; up to ${now.maxOrdered} and ${before.maxOrdered} engines`)
    assert.deepEqual([now.overloaded, now.tight], [before.overloaded, before.tight])
    assert.ok(now.engineSeconds <= before.engineSeconds)
  })
})

describe('capacity for a rise', () => {
  // Failure guarded against: a rule that waits until a rise has lasted orders engines seconds too late, and short
  // requests with a target of half a second wait until these have booted.
  for (const level of [9, 14, 20]) {
    it(`from ${BASE} to ${level} that lasts is ordered within one tick of the earlier rule, at each level`, () => {
      const [now, before] = [replay(rise(level)), replay(rise(level), earlier)]
      before.ordered.forEach((count, tick) => {
        assert.ok(Math.max(now.ordered[tick]!, now.ordered[tick + 1] ?? 0) >= count, `${now.ordered[tick]} instead of ${count} engines after ${tick * TICK} ms`)
      })
      assert.ok(now.engineSeconds < before.engineSeconds * 1.02)
    })
  }

  it('is ordered later by a rule that waits for the boot time', (test) => {
    const [late, now, before] = [replay(rise(14), delayed(BOOT_TIME)), replay(rise(14)), replay(rise(14), earlier)]
    test.diagnostic(`engine-seconds: ${now.engineSeconds}; held for 8 s: ${before.engineSeconds}; ordered after a boot time: ${late.engineSeconds}`)
    const tick = BOOT_TIME / TICK
    test.diagnostic(`engines ordered after ${BOOT_TIME} ms: ${now.ordered[tick]}; held for 8 s: ${before.ordered[tick]}; ordered after a boot time: ${late.ordered[tick]}`)
    assert.ok(late.ordered[tick]! < now.ordered[tick]!)
  })

  // Failure guarded against: a load that comes in waves is taken for a series of bursts, and the fleet lags behind.
  it('in waves of 40 s is followed as before, with as many engines', () => {
    const [now, before] = [replay(waves), replay(waves, earlier)]
    assert.deepEqual(now.ordered, before.ordered)
    assert.equal(now.overloaded, 0)
  })

  // Failure guarded against: after a low expectation or an idle time the mean is far below the load, and all of the load
  // looks like a peak. It must be provided for completely soon.
  it('from a far too low expectation is followed within half a minute', () => {
    const estimator = createLoadEstimator(0.5)
    for (let now = 0; now <= 30 * SECOND; now += TICK) estimator.observe(10, BOOT_TIME, now)
    assert.ok(estimator.value() > 9 && estimator.value() < 10.5, `${estimator.value()}`)
  })
})
