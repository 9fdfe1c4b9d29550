import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { eventTimeout, firstAnswerTimeout, startWatchdog } from '../../src/gateway/response-watchdog.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { routeTo } from '../placement/records.js'

const streamRoute = routeTo('s', { kind: 'stream', resumable: true, target: 500, maxPause: 500 })

describe('the response watchdog', () => {
  // Guards against needless second attempts when engines are few: a request that is queued behind a long prompt is
  // started again after a third of its target, and the duplicates delay the following requests.
  it('waits as long as a second attempt would still be in time', () => {
    const usualTime = 60 + 10
    const bound = firstAnswerTimeout(streamRoute, 10, 60)
    assert.ok(bound > 0.5 * streamRoute.target, `${bound}`)
    assert.ok(bound + 2 * usualTime < streamRoute.target, `${bound} leaves no time for the second attempt`)
  })

  it('waits for queued prompts even if they take longer than the target', () => {
    const prefill = 2_000
    assert.ok(firstAnswerTimeout(streamRoute, prefill, 60) > prefill)
  })

  // Guards against a pause longer than the route allows: a stream stops, and the node waits too long before another
  // engine continues it.
  it('times out in the middle of a stream before the maximum pause of the route', () => {
    assert.ok(eventTimeout(streamRoute) < streamRoute.maxPause)
  })

  it('fires once, after the timeout set with the latest data', async () => {
    const clock = createManualClock()
    let timeouts = 0
    const watch = startWatchdog(clock, 100, () => { timeouts += 1 })
    await clock.advance(90)
    watch.heard(50)
    await clock.advance(45)
    assert.equal(timeouts, 0)
    await clock.advance(10)
    assert.equal(timeouts, 1)
    await clock.advance(1_000)
    assert.equal(timeouts, 1)
  })

  // Failure guarded against: the first answer may take two seconds, the stream then stalls, and the stall is noticed only when
  // the first timeout has passed.
  it('fires after a later timeout that is shorter than what is left of the first one', async () => {
    const clock = createManualClock()
    let timeouts = 0
    const watch = startWatchdog(clock, 2_000, () => { timeouts += 1 })
    await clock.advance(10)
    watch.heard(375)
    await clock.advance(374)
    assert.equal(timeouts, 0)
    await clock.advance(2)
    assert.equal(timeouts, 1)
    await clock.advance(3_000)
    assert.equal(timeouts, 1)
  })

  it('does not fire after it was stopped', async () => {
    const clock = createManualClock()
    let timeouts = 0
    startWatchdog(clock, 100, () => { timeouts += 1 }).stop()
    await clock.advance(1_000)
    assert.equal(timeouts, 0)
  })
})
