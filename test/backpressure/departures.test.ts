/** Departures that upstreams announce, and how nodes share them. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createDepartures } from '../../src/backpressure/index.js'
import { SECOND } from '../../src/clock.js'
import { incarnationOf } from '../../src/placement/index.js'

const INCARNATION = incarnationOf('i-1', 1)

describe('departures announced in responses', () => {
  it('are reported as new once, and are never revoked', () => {
    const departures = createDepartures()
    assert.equal(departures.heard(INCARNATION, 0), true)
    assert.equal(departures.heard(INCARNATION, 10), false)
    assert.equal(departures.isLeaving(INCARNATION), true)
    assert.equal(departures.isLeaving(incarnationOf('i-1', 2)), false, 'the next incarnation is not leaving')
  })

  it('are reported for a limited time by nodes that learnt them from the upstream', () => {
    const [first, second] = [createDepartures(), createDepartures()]
    first.heard(INCARNATION, 0)
    assert.deepEqual(second.observe([first.told(100), first.told(100)]), [INCARNATION])
    assert.deepEqual(second.told(100), [])
    assert.deepEqual(first.told(60 * SECOND), [])
    assert.deepEqual([first.isLeaving(INCARNATION), second.isLeaving(INCARNATION)], [true, true])
  })
})
