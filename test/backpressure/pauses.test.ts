import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createRequestedPauses } from '../../src/backpressure/index.js'
import { lifeOf } from '../../src/placement/index.js'

const LIFE = lifeOf('i-1', 1)

describe('pauses that upstreams ask for', () => {
  it('last as long as the longest that was asked for, and are of one life', () => {
    const pauses = createRequestedPauses()
    pauses.heard(LIFE, 3_000, 0)
    pauses.heard(LIFE, 1_000, 500)
    assert.deepEqual([pauses.wait(LIFE, 1_000), pauses.wait(LIFE, 3_000)], [2_000, 0])
    assert.equal(pauses.wait(lifeOf('i-1', 2), 1_000), 0)
  })
})
