import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { startStaggered } from '../../src/gateway/staggered-attempts.js'
import type { StaggeredAttempt } from '../../src/gateway/staggered-attempts.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

/** Delay of the second attempt where the process is busy. */
const HEAD_START = 20

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

  // Guards against paths that a busy node takes for lost: the connection opened in time, but the timer of the next attempt runs first.
  it('do not start the next one when the result of the first has arrived while the process was busy', async () => {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    let isNextStarted = false
    const opened = startStaggered<Socket>(createSystemClock(), [
      { delay: 0, start: () => new Promise((resolve, reject) => { const socket = connect(port, '127.0.0.1', () => resolve(socket)).once('error', reject) }) },
      { delay: HEAD_START, start: () => { isNextStarted = true; return Promise.reject(new Error('not needed')) } }
    ], (late) => late.destroy())
    const busyUntil = performance.now() + 3 * HEAD_START
    while (performance.now() < busyUntil);
    const socket = await opened
    socket.destroy()
    server.close()
    assert.equal(isNextStarted, false)
  })
})
