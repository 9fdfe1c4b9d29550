import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { eventBound, firstAnswerBound, watchSilence } from '../../src/gateway/silence.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { routeTo } from '../placement/records.js'

const question = routeTo('s', { kind: 'stream', resumable: true, target: 500, longestPause: 500 })

describe('the silence of an upstream', () => {
  // Questions come late when engines are few: each waits a little behind a long prompt, is taken for lost after a third
  // of its target and begun a second time, and the second runs make the next ones wait.
  it('is no silence while a second send would still be in time', () => {
    const usual = 60 + 10
    const bound = firstAnswerBound(question, 10, 60)
    assert.ok(bound > 0.5 * question.target, `${bound}`)
    assert.ok(bound + 2 * usual < question.target, `${bound} leaves the second send no time`)
  })

  it('is waited for where the prompts before take longer than the target', () => {
    const known = 2_000
    assert.ok(firstAnswerBound(question, known, 60) > known)
  })

  // A cleaner reads half a sentence and looks at it for a second: the stream had stopped, and the node waited for
  // longer than the route allows before it let another engine go on.
  it('in the middle of a stream ends before the pause that the route allows is over', () => {
    assert.ok(eventBound(question) < question.longestPause)
  })

  it('is told once, after the bound of what was heard last', async () => {
    const clock = createManualClock()
    let told = 0
    const watch = watchSilence(clock, 100, () => { told += 1 })
    await clock.advance(90)
    watch.heard(50)
    await clock.advance(45)
    assert.equal(told, 0)
    await clock.advance(10)
    assert.equal(told, 1)
    await clock.advance(1_000)
    assert.equal(told, 1)
  })

  it('is not told of an exchange that is over', async () => {
    const clock = createManualClock()
    let told = 0
    watchSilence(clock, 100, () => { told += 1 }).stop()
    await clock.advance(1_000)
    assert.equal(told, 0)
  })
})
