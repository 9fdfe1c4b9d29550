import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import * as fc from 'fast-check'
import { bestEffortEnd, mayBegin } from '../../src/gateway/stopping-rule.js'
import type { UnsentRequest } from '../../src/gateway/stopping-rule.js'

const stop = { since: 0, cutOff: 7_600, closedAt: undefined }

/** A plan may take 15 s, a question 3 s, a booking 1 s. */
const plan = (acceptedAt: number): UnsentRequest => ({ acceptedAt, limitEnd: acceptedAt + 15_000 })
const question = (acceptedAt: number): UnsentRequest => ({ acceptedAt, limitEnd: acceptedAt + 3_000 })
const booking = (acceptedAt: number): UnsentRequest => ({ acceptedAt, limitEnd: acceptedAt + 1_000 })

describe('a stopping node', () => {
  // Guards against a plan that is cut off: a node admits it, since it is expected to end in time, and it takes longer.
  it('sends no plan that could outlast the stop while another node is ready', () => {
    for (const now of [0, 500, 3_000, 4_000, 5_800]) assert.equal(mayBegin(stop, plan(now), true, now), false)
    assert.equal(mayBegin({ ...stop, cutOff: 29_600 }, plan(14_000), true, 14_000), true)
  })

  it('sends requests whose own limit ends before the cut-off', () => {
    assert.equal(mayBegin(stop, booking(6_500), true, 6_500), true)
    assert.equal(mayBegin(stop, booking(6_700), true, 6_700), false)
    assert.equal(mayBegin(stop, question(4_500), true, 4_500), true)
    assert.equal(mayBegin(stop, question(4_700), true, 4_700), false)
  })

  it('sends every request during the first seconds that came before the stop, or that no other node could take', () => {
    assert.equal(mayBegin(stop, plan(-100), true, 2_400), true)
    assert.equal(mayBegin(stop, plan(-100), true, 2_600), false)
    assert.equal(mayBegin(stop, plan(2_400), false, 2_400), true)
    assert.equal(mayBegin(stop, plan(2_600), false, 2_600), false)
  })

  // Guards against a request that is broken off: it came after the node had looked for requests in progress.
  it('sends nothing that came once it had closed, and what came before as if it were open', () => {
    const time = fc.integer({ min: 0, max: 20_000 })
    fc.assert(fc.property(fc.integer({ min: 1, max: 60_000 }), time, time, time, time, fc.boolean(), (grace, closedAt, acceptedAt, limit, now, hasOtherNode) => {
      const open = { since: 0, cutOff: grace, closedAt: undefined }
      const request = { acceptedAt, limitEnd: acceptedAt + limit }
      assert.equal(mayBegin({ ...open, closedAt }, request, hasOtherNode, now), acceptedAt < closedAt && mayBegin(open, request, hasOtherNode, now))
    }), { seed: 1 })
  })

  // Guards against cut requests where the grace period is shorter than the usual one.
  it('after a third of the time until the cut-off sends nothing that could outlast it, whatever the grace period', () => {
    const time = fc.integer({ min: 0, max: 100_000 })
    fc.assert(fc.property(time, fc.integer({ min: 1, max: 60_000 }), time, time, time, fc.boolean(), (since, grace, acceptedAt, limit, now, hasOtherNode) => {
      const times = { since, cutOff: since + grace, closedAt: undefined }
      assert.ok(bestEffortEnd(times) <= since + grace / 3)
      const limitEnd = acceptedAt + limit
      if (now >= bestEffortEnd(times) || (acceptedAt >= since && hasOtherNode)) assert.equal(mayBegin(times, { acceptedAt, limitEnd }, hasOtherNode, now), limitEnd <= times.cutOff)
    }), { seed: 1 })
  })
})
