import assert from 'node:assert/strict'
import { getEventListeners } from 'node:events'
import { describe, it } from 'node:test'
import { onAbort } from '../src/abort-listeners.js'
import { createSystemClock } from '../src/clock.js'
import { createTimeoutSignal, startCallTimeout } from '../src/timeout-signal.js'

const clock = createSystemClock()

function listenerCount (signal: AbortSignal): number {
  return getEventListeners(signal, 'abort').length
}

describe('callbacks for the abort of a signal', () => {
  // Guards against MaxListenersExceededWarning and the cost of listeners: the calls of a node to the store and to other
  // nodes, and its sleeps, all depend on the signal of its shutdown.
  it('share one listener, however many calls and sleeps depend on the signal', async () => {
    const controller = new AbortController()
    const ended: string[] = []
    const sleeps = Array.from({ length: 20 }, () => clock.sleep(60_000, controller.signal).catch((reason) => { ended.push(String(reason)) }))
    const signals = Array.from({ length: 20 }, () => createTimeoutSignal(60_000, controller.signal))
    assert.equal(listenerCount(controller.signal), 1)
    controller.abort('stopped')
    await Promise.all(sleeps)
    assert.deepEqual(new Set(ended), new Set(['stopped']))
    assert.equal(ended.length, 20)
    assert.ok(signals.every((signal) => signal.reason === 'stopped'))
  })

  // Guards against a leak: a combined signal with a listener is never collected, and each watch of the store makes one.
  it('leave no listener once all have been removed', async () => {
    const { signal } = new AbortController()
    const removals = [onAbort(signal, () => {}), onAbort(signal, () => {})]
    const timeout = startCallTimeout(60_000, signal)
    const sleep = clock.sleep(1, signal)
    for (const remove of removals) remove()
    timeout.end()
    await sleep
    assert.equal(listenerCount(signal), 0)
  })

  it('can be added again after all have been removed', () => {
    const controller = new AbortController()
    let calls = 0
    const remove = onAbort(controller.signal, () => { calls += 1 })
    remove()
    remove()
    onAbort(controller.signal, () => { calls += 1 })
    remove()
    controller.abort()
    assert.equal(calls, 1)
  })

  it('are called at once for a signal that has aborted', () => {
    let calls = 0
    onAbort(AbortSignal.abort(), () => { calls += 1 })
    assert.equal(calls, 1)
  })

  it('do not call a callback that an earlier callback has removed', () => {
    const controller = new AbortController()
    let calls = 0
    let remove = (): void => {}
    onAbort(controller.signal, () => remove())
    remove = onAbort(controller.signal, () => { calls += 1 })
    controller.abort()
    assert.equal(calls, 0)
  })
})
