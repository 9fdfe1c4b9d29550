/** Measurement of the rate at which the upstreams of a service accept work from a node. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createServiceRate } from '../../src/queueing/index.js'

test('short queues give the same rate as long ones', () => {
  // Failure guarded against: attempts wait half a second each, are dispatched one at a time, and the queue is empty in
  // between. A measurement that starts anew with each queue misses every dispatch, and callers are refused without need.
  const rate = createServiceRate()
  rate.value(1)
  for (let now = 0; now < 60_000; now += 1_000) {
    rate.update(false, now)
    rate.update(true, now + 500)
    rate.dispatched(250)
  }
  assert.ok(rate.value(1) > 0.4 && rate.value(1) < 0.6, `rate ${rate.value(1)}`)
})
