/** The clock that waits together with its process. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { MAX_STEP, startPacedClock } from '../../stand-ins/paced-clock.js'
import type { PacedClock } from '../../stand-ins/paced-clock.js'

/** Time for which the process gets no turn. */
const BLOCKED = 100

describe('a paced clock', () => {
  let clock: PacedClock

  beforeEach(() => { clock = startPacedClock() })

  afterEach(() => clock.stop())

  // Guards against a measured time that is the wait of the process for its turn.
  it('goes no further than a step while the process gets no turn', () => {
    const start = clock.now()
    const end = performance.now() + BLOCKED
    while (performance.now() < end);
    assert.ok(clock.now() - start <= MAX_STEP)
  })

  it('wakes sleepers in the order of their times, none before its own', async () => {
    const woken: number[] = []
    const start = clock.now()
    await Promise.all([30, 10, 0, 20].map(async (delay) => {
      await clock.sleep(delay)
      assert.ok(clock.now() - start >= delay)
      woken.push(delay)
    }))
    assert.deepEqual(woken, [0, 10, 20, 30])
  })

  it('wakes no sleeper that was cancelled or aborted, also by one that is due at the same turn', async () => {
    const called: string[] = []
    const cancel = clock.schedule(6, () => called.push('cancelled'))
    clock.schedule(5, cancel)
    const controller = new AbortController()
    const aborted = clock.sleep(5, controller.signal)
    controller.abort(new Error('left'))
    await assert.rejects(aborted, /left/)
    await assert.rejects(clock.sleep(5, controller.signal), /left/)
    await clock.sleep(20)
    assert.deepEqual(called, [])
  })
})
