import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RequestHead } from '../../src/gateway/ports.js'
import { mayBegin } from '../../src/gateway/stopping-rule.js'
import { ASSUMED_SPEED } from '../../src/placement/index.js'
import type { Route } from '../../src/routing/index.js'
import { routeTo } from '../placement/records.js'

const route = (kind: Route['kind'], target: number): Route => routeTo('s', { kind, timeLimit: 15_000, target })

const head = (prompt: number, generated: number): RequestHead => ({ id: 'r', deadline: 15_000, key: undefined, tokens: { prompt, generated }, parts: [], lastEvent: undefined })

const stop = { since: 0, cutOff: 7_600 }

describe('what a stopping node begins', () => {
  // A technician's plan breaks off in the middle: its node was asked to stop six seconds before, took the
  // plan all the same, and was killed while the plan still ran.
  it('is no plan that would run into the kill', () => {
    const plan = head(12_000, 380)
    assert.equal(mayBegin({ ...stop, now: 5_800 }, route('stream', 1_200), plan, ASSUMED_SPEED), false)
    assert.equal(mayBegin({ ...stop, now: 3_000 }, route('stream', 1_200), plan, ASSUMED_SPEED), true)
  })

  it('is what ends soon, for as long as that fits', () => {
    assert.equal(mayBegin({ ...stop, now: 6_900 }, route('once', 200), head(0, 0), ASSUMED_SPEED), true)
    assert.equal(mayBegin({ ...stop, now: 7_100 }, route('once', 200), head(0, 0), ASSUMED_SPEED), false)
    assert.equal(mayBegin({ ...stop, now: 6_500 }, route('stream', 800), head(1_500, 50), ASSUMED_SPEED), true)
  })

  it('is everything in the first seconds, when callers can\'t know yet', () => {
    assert.equal(mayBegin({ ...stop, now: 2_400 }, route('stream', 1_200), head(60_000, 1_000), ASSUMED_SPEED), true)
  })
})
