/** Pauses that upstreams request when they refuse a request. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createRequestedPauses } from '../../src/backpressure/index.js'
import { incarnationOf } from '../../src/placement/index.js'

const INCARNATION = incarnationOf('i-1', 1)

describe('pauses requested by upstreams', () => {
  it('last until the latest requested end, and apply to one incarnation', () => {
    const pauses = createRequestedPauses()
    pauses.heard(INCARNATION, 3_000, 0)
    pauses.heard(INCARNATION, 1_000, 500)
    assert.deepEqual([pauses.wait(INCARNATION, 1_000), pauses.wait(INCARNATION, 3_000)], [2_000, 0])
    assert.equal(pauses.wait(incarnationOf('i-1', 2), 1_000), 0)
  })
})
