import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createDepartures } from '../../src/backpressure/index.js'
import { SECOND } from '../../src/clock.js'
import { lifeOf } from '../../src/placement/index.js'

const LIFE = lifeOf('i-1', 1)

describe('departures that answers tell of', () => {
  it('are news once, and hold for good', () => {
    const departures = createDepartures()
    assert.equal(departures.heard(LIFE, 0), true)
    assert.equal(departures.heard(LIFE, 10), false)
    assert.equal(departures.has(LIFE), true)
    assert.equal(departures.has(lifeOf('i-1', 2)), false, 'the next life is another')
  })

  it('are told by those that heard them from the upstream, and for a time', () => {
    const [first, second] = [createDepartures(), createDepartures()]
    first.heard(LIFE, 0)
    assert.deepEqual(second.observe([first.told(100), first.told(100)]), [LIFE])
    assert.deepEqual(second.told(100), [])
    assert.deepEqual(first.told(60 * SECOND), [])
    assert.deepEqual([first.has(LIFE), second.has(LIFE)], [true, true])
  })
})
