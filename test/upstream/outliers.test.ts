/** Outlier detection among the upstreams of one service. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { upstreamNameSchema } from '../../src/identifiers.js'
import { createOutlierDetector, LARGEST_EJECTED_SHARE } from '../../src/upstream/outliers.js'
import type { OutlierDetector } from '../../src/upstream/outliers.js'

const names = Array.from({ length: 10 }, (_, index) => upstreamNameSchema.parse(`engine-${index}`))
const [first, second] = names as [(typeof names)[0], (typeof names)[0]]

function start (): OutlierDetector {
  const outliers = createOutlierDetector()
  outliers.keep(names)
  return outliers
}

test('one lost connection does not eject an upstream', () => {
  // A switch forgets one connection and the request on it fails; all others to the upstream go on.
  const outliers = start()
  outliers.struck(first, 0)
  assert.equal(outliers.health(first, 0), 'suspect')
  outliers.progressed(first)
  outliers.struck(first, 100)
  assert.equal(outliers.health(first, 100), 'suspect')
})

test('an upstream that fails twice without progress is out, and comes back by a probe', () => {
  // A half-dead upstream recovers after a minute. Nobody may send it work on trust, and it must not
  // stay out for good.
  const outliers = start()
  outliers.struck(first, 0)
  outliers.struck(first, 10)
  assert.equal(outliers.health(first, 20), 'ejected')
  assert.equal(outliers.health(first, 3_020), 'probe')
  outliers.sent(first)
  assert.equal(outliers.health(first, 3_020), 'ejected', 'one probe at a time')
  outliers.struck(first, 3_030)
  assert.equal(outliers.health(first, 6_040), 'ejected', 'a failed probe doubles the time')
  assert.equal(outliers.health(first, 9_040), 'probe')
  outliers.sent(first)
  outliers.progressed(first)
  assert.equal(outliers.health(first, 9_050), 'healthy')
})

test('one upstream that is much slower than the others is out; slowness of all ejects nobody', () => {
  // One engine runs at a quarter of its speed: every answer there is late though none fails.
  const outliers = start()
  for (let index = 0; index < 20; index += 1) {
    outliers.measured(first, 4, index)
    outliers.measured(second, 1, index)
  }
  assert.equal(outliers.health(first, 30), 'ejected')
  assert.equal(outliers.health(second, 30), 'healthy')
})

test('never more than a part of the upstreams is out, whatever happens', () => {
  // Overload makes every upstream fail and stall. Ejecting them one by one would leave the last few
  // with all the work, and then none.
  const event = fc.record({ upstream: fc.nat(names.length - 1), kind: fc.constantFrom('struck', 'slow', 'progressed', 'sent'), pause: fc.nat(2_000) })
  fc.assert(fc.property(fc.array(event, { maxLength: 200, size: 'max' }), (history) => {
    const outliers = start()
    let now = 0
    for (const { upstream, kind, pause } of history) {
      now += pause
      const name = names[upstream] as (typeof names)[0]
      if (kind === 'struck') outliers.struck(name, now)
      if (kind === 'slow') outliers.measured(name, 10, now)
      if (kind === 'progressed') outliers.progressed(name)
      if (kind === 'sent') outliers.sent(name)
      const out = names.filter((each) => ['ejected', 'probe'].includes(outliers.health(each, now)))
      assert.ok(out.length <= names.length * LARGEST_EJECTED_SHARE)
    }
  }), { seed: 1, numRuns: 200 })
})
