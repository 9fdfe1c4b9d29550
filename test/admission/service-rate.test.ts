/** The rate at which a service takes work from a node, measured while attempts wait. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createServiceRate } from '../../src/admission/service-rate.js'

test('short queues show the same rate as long ones', () => {
  // Attempts wait half a second each and are dispatched one by one; the queue is empty in between. An
  // estimate that starts anew with each queue never sees a dispatch, and callers are refused for it.
  const rate = createServiceRate()
  rate.value(1)
  for (let now = 0; now < 60_000; now += 1_000) {
    rate.passed(false, now)
    rate.passed(true, now + 500)
    rate.dispatched(250)
  }
  assert.ok(rate.value(1) > 0.4 && rate.value(1) < 0.6, `rate ${rate.value(1)}`)
})
