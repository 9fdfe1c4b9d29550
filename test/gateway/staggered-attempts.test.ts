import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { startStaggered } from '../../src/gateway/staggered-attempts.js'
import type { StaggeredAttempt } from '../../src/gateway/staggered-attempts.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

/** An attempt whose end the test decides. */
interface OpenAttempt {
  readonly index: number
  readonly startedAt: number
  readonly signal: AbortSignal
  readonly succeed: (result: string) => void
  readonly fail: (error: Error) => void
}

function createWorld (delays: readonly number[]) {
  const clock = createManualClock()
  const started: OpenAttempt[] = []
  const disposed: string[] = []
  const attempts = delays.map((delay, index): StaggeredAttempt<string> => ({
    delay,
    start: (signal) => new Promise((resolve, reject) => { started.push({ index, startedAt: clock.now(), signal, succeed: resolve, fail: reject }) })
  }))
  const result = startStaggered(clock, attempts, (late) => { disposed.push(late) })
  result.catch(() => {})
  return { clock, started, disposed, result }
}

describe('staggered attempts', () => {
  it('start one after another, each after its delay, and end with the first success', async () => {
    const { clock, started, disposed, result } = createWorld([0, 100, 50])
    await clock.advance(120)
    assert.deepEqual(started.map(({ startedAt }) => startedAt), [0, 100])
    await clock.advance(30)
    started[1]!.succeed('second')
    assert.equal(await result, 'second')
    assert.ok(started.every(({ signal }) => signal.aborted))
    started[0]!.succeed('first')
    await clock.advance(1)
    assert.deepEqual(disposed, ['first'])
  })

  it('start at once when all before them have failed', async () => {
    const { clock, started, result } = createWorld([0, 100, 50])
    started[0]!.fail(new Error('refused'))
    await clock.advance(0)
    assert.deepEqual(started.map(({ startedAt }) => startedAt), [0, 0])
    started[1]!.fail(new Error('refused too'))
    await clock.advance(0)
    started[2]!.succeed('third')
    assert.equal(await result, 'third')
  })

  it('fail with the error of the first when all have failed, in any order', async () => {
    const { clock, started, result } = createWorld([0, 10])
    await clock.advance(10)
    started[1]!.fail(new Error('of the second'))
    started[0]!.fail(new Error('of the first'))
    await assert.rejects(result, /of the first/)
  })

  it('start no further attempt after a success', async () => {
    const { clock, started, result } = createWorld([0, 100])
    started[0]!.succeed('first')
    await result
    await clock.advance(200)
    assert.equal(started.length, 1)
  })
})
