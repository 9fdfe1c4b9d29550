/** When a second attempt of an idempotent request is due. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createAnswerTimes, incarnationOf } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'

const upstream = incarnationOf('i', 1)

describe('an overdue answer', () => {
  // Failure guarded against: a few answers determine the quantile, and each further request gets a second attempt.
  it('is not known before there are twenty samples of the upstream and the route', () => {
    const answerTimes = createAnswerTimes()
    for (let count = 0; count < 19; count += 1) answerTimes.observe(upstream, 'lookups', 40, count)
    assert.equal(answerTimes.overdueAfter(upstream, 'lookups', 200, 50), undefined)
    answerTimes.observe(upstream, 'lookups', 40, 20)
    assert.equal(answerTimes.overdueAfter(upstream, 'lookups', 200, 50), 60)
    assert.equal(answerTimes.overdueAfter(upstream, 'bookings', 200, 50), undefined)
    assert.equal(answerTimes.overdueAfter(incarnationOf('i', 2), 'lookups', 200, 50), undefined)
  })

  // Failure guarded against: an upstream becomes slower for good. All its requests are given up after the time that was usual
  // before, no further answer is observed, and all of them are sent twice.
  it('follows an upstream that has become slower, although its attempts are given up', () => {
    const answerTimes = createAnswerTimes()
    const random = createRandom(9)
    let givenUp = 0
    for (let count = 0; count < 600; count += 1) {
      const duration = (count < 100 ? 40 : 100) * (0.7 + 0.6 * random.fraction())
      const limit = answerTimes.overdueAfter(upstream, 'lookups', 200, 50) ?? 120
      if (duration > limit) givenUp += 1
      answerTimes.observe(upstream, 'lookups', Math.min(duration, limit), count * 100)
    }
    assert.ok(givenUp > 0 && givenUp < 30, `${givenUp} of 600`)
  })

  // Failure guarded against: answers usually take 3 ms, and each pause of the node's processor causes second attempts.
  it('is never so before a quarter of the target or the predicted time has passed', () => {
    const answerTimes = createAnswerTimes()
    for (let count = 0; count < 20; count += 1) answerTimes.observe(upstream, 'lookups', 3, count)
    assert.equal(answerTimes.overdueAfter(upstream, 'lookups', 200, 10), 50)
    assert.equal(answerTimes.overdueAfter(upstream, 'lookups', 200, 90), 90)
  })

  // Failure guarded against: an upstream loses its answers, each attempt that is given up counts as an answer of that time, and the
  // time after which the next one is given up grows without end.
  it('is overdue well before the target although all answers are lost', () => {
    const answerTimes = createAnswerTimes()
    for (let count = 0; count < 20; count += 1) answerTimes.observe(upstream, 'lookups', 40, count)
    let limit = 0
    for (let count = 0; count < 600; count += 1) {
      limit = answerTimes.overdueAfter(upstream, 'lookups', 200, 50) ?? 120
      answerTimes.observe(upstream, 'lookups', limit, 100 + count)
    }
    assert.ok(limit <= 150, `${limit}`)
  })

  it('is forgotten when the upstream was not used for a minute', () => {
    const answerTimes = createAnswerTimes()
    for (let count = 0; count < 20; count += 1) answerTimes.observe(upstream, 'lookups', 40, count)
    answerTimes.observe(incarnationOf('j', 1), 'lookups', 40, 70_000)
    assert.equal(answerTimes.overdueAfter(upstream, 'lookups', 200, 50), undefined)
  })
})
