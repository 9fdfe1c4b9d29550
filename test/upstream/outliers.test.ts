/** Outlier detection among the upstreams of one service. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { upstreamNameSchema } from '../../src/identifiers.js'
import { createOutlierDetector, MAX_EJECTED_SHARE } from '../../src/upstream/outliers.js'
import type { OutlierDetector } from '../../src/upstream/outliers.js'

const names = Array.from({ length: 10 }, (_, index) => upstreamNameSchema.parse(`engine-${index}`))
const [first, second] = names as [(typeof names)[0], (typeof names)[0]]

function createDetector (): OutlierDetector {
  const outliers = createOutlierDetector()
  outliers.retainOnly(names)
  return outliers
}

test('one lost connection does not eject an upstream', () => {
  // A switch drops one connection and the request on it fails, while all other connections to the upstream work.
  const outliers = createDetector()
  outliers.failureObserved(first, 0)
  assert.equal(outliers.health(first, 0), 'suspect')
  outliers.progressed(first)
  outliers.failureObserved(first, 100)
  assert.equal(outliers.health(first, 100), 'suspect')
})

test('an upstream that fails twice without progress is ejected, and reinstated by a probe', () => {
  // A partly working upstream recovers after a minute. Until a probe succeeds it must not get normal requests, and it
  // must not stay ejected forever.
  const outliers = createDetector()
  outliers.failureObserved(first, 0)
  outliers.failureObserved(first, 10)
  assert.equal(outliers.health(first, 20), 'ejected')
  assert.equal(outliers.health(first, 3_020), 'probe')
  outliers.sent(first)
  assert.equal(outliers.health(first, 3_020), 'ejected', 'one probe at a time')
  outliers.failureObserved(first, 3_030)
  assert.equal(outliers.health(first, 6_040), 'ejected', 'a failed probe doubles the ejection time')
  assert.equal(outliers.health(first, 9_040), 'probe')
  outliers.sent(first)
  outliers.progressed(first)
  assert.equal(outliers.health(first, 9_050), 'healthy')
})

test('an upstream that is much slower than the others is ejected, and the others are not', () => {
  // One engine runs at a quarter of its speed. Every answer there is late although none fails.
  const outliers = createDetector()
  for (let index = 0; index < 20; index += 1) {
    outliers.tokenTimeObserved(first, 4, index)
    outliers.tokenTimeObserved(second, 1, index)
  }
  assert.equal(outliers.health(first, 30), 'ejected')
  assert.equal(outliers.health(second, 30), 'healthy')
})

test('the share of ejected upstreams never exceeds the maximum', () => {
  // Overload makes every upstream fail and stall. Ejecting them one by one would leave the last few with all
  // requests, and finally none.
  const event = fc.record({ upstream: fc.nat(names.length - 1), kind: fc.constantFrom('struck', 'slow', 'progressed', 'sent'), pause: fc.nat(2_000) })
  fc.assert(fc.property(fc.array(event, { maxLength: 200, size: 'max' }), (history) => {
    const outliers = createDetector()
    let now = 0
    for (const { upstream, kind, pause } of history) {
      now += pause
      const name = names[upstream] as (typeof names)[0]
      if (kind === 'struck') outliers.failureObserved(name, now)
      if (kind === 'slow') outliers.tokenTimeObserved(name, 10, now)
      if (kind === 'progressed') outliers.progressed(name)
      if (kind === 'sent') outliers.sent(name)
      const out = names.filter((each) => ['ejected', 'probe'].includes(outliers.health(each, now)))
      assert.ok(out.length <= names.length * MAX_EJECTED_SHARE)
    }
  }), { seed: 1, numRuns: 200 })
})
