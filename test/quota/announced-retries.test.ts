import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { createAnnouncedRetries } from '../../src/quota/announced-retries.js'
import { createRandom } from '../../src/random.js'
import { fullestWindow, playFleet, surgeAt } from './fleet-model.js'

const RATE = 10_000

const refusal = fc.record({ after: fc.nat(400), cost: fc.integer({ min: 200, max: 50_000 }), earliest: fc.nat(8_000) })

describe('announced retries', () => {
  it('are between 100 ms and 5 s away, and not before any request can be admitted', () => {
    fc.assert(fc.property(fc.integer(), fc.array(refusal, { maxLength: 40, size: 'max' }), (seed, refusals) => {
      const retries = createAnnouncedRetries(createRandom(seed))
      let now = 0
      for (const { after, cost, earliest } of refusals) {
        now += after
        const retryAfter = retries.announce(cost, RATE, earliest, now)
        assert.ok(retryAfter >= 100 && retryAfter <= 5 * SECOND, `${retryAfter}`)
        assert.ok(retryAfter >= Math.min(earliest, 4 * SECOND), `${retryAfter} before ${earliest}`)
      }
    }))
  })

  // Guards against refused callers that return together: half of them were told to retry within 100 ms, while those before
  // them need the rate for seconds.
  it('leave the share of the rate for those announced before', () => {
    const retries = createAnnouncedRetries(createRandom(1))
    let booked = 0
    for (let count = 0; count < 30; count += 1) {
      const retryAfter = retries.announce(1_000, RATE, 0, 0)
      assert.ok(retryAfter >= booked / RATE * SECOND, `${retryAfter} after ${booked} units`)
      assert.ok(retryAfter <= Math.max(100, (booked + 500) / RATE * SECOND) * 1.25, `${retryAfter} after ${booked} units`)
      booked += 1_000
    }
  })

  // Guards against a large request that is told to wait until its own cost is refilled, and is refused then all the same.
  it('do not depend on the size of the request', () => {
    fc.assert(fc.property(fc.array(refusal, { maxLength: 10, size: 'max' }), (refusals) => {
      const times = [200, 50_000].map((last) => {
        const retries = createAnnouncedRetries(createRandom(1))
        for (const { cost, earliest } of refusals) retries.announce(cost, RATE, earliest, 0)
        return retries.announce(last, RATE, 0, 0)
      })
      assert.equal(times[0], times[1])
    }))
  })

  // Guards against times that grow for as long as an overload lasts: what was announced is over at its time.
  it('are over at their time', () => {
    const retries = createAnnouncedRetries(createRandom(1))
    for (let count = 0; count < 100; count += 1) retries.announce(1_000, RATE, 0, 0)
    assert.ok(retries.announce(1_000, RATE, 0, 0) >= 4 * SECOND)
    assert.ok(retries.announce(1_000, RATE, 0, 5 * SECOND) <= 125)
  })

  // Guards against retries without a chance: with the level's own time, 28 % of the retries of callers that wait were granted
  // at 77 nodes.
  it('are granted more often where callers wait', () => {
    let retried = 0
    let granted = 0
    for (const seed of [1, 2, 3, 4]) {
      const attempts = playFleet({ nodes: 77, rate: 423_522, seed, length: 22 * SECOND, callerWait: 5 * SECOND, loadAt: surgeAt(10 * SECOND, 5 * SECOND) })
      assert.ok(fullestWindow(attempts, 423_522) <= 1)
      const retries = attempts.filter(({ isRetry }) => isRetry)
      retried += retries.length
      granted += retries.filter(({ isGranted }) => isGranted).length
    }
    assert.ok(granted >= 0.32 * retried, `${granted} of ${retried}`)
  })
})
