/** Timeout signals. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createTimeoutSignal } from '../src/timeout-signal.js'
import { createSystemClock } from '../src/clock.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void
const clock = createSystemClock()

describe('a timeout signal', () => {
  // Guards against a node that cannot be stopped while the key-value service is unavailable. A signal that combines
  // AbortSignal.timeout by AbortSignal.any never aborts once the garbage collector has removed the source signal
  // together with its timer. The node then retries its final report forever.
  it('aborts after the timeout, even if the garbage collector runs before', async () => {
    const parent = new AbortController()
    const signal = createTimeoutSignal(50, parent.signal)
    while (!signal.aborted) {
      collectGarbage()
      await clock.sleep(10)
    }
    assert.equal((signal.reason as Error).name, 'TimeoutError')
  })

  it('aborts together with its parent, and for the same reason', () => {
    const parent = new AbortController()
    const before = createTimeoutSignal(60_000, parent.signal)
    parent.abort('stopped')
    assert.equal(before.reason, 'stopped')
    assert.equal(createTimeoutSignal(60_000, parent.signal).reason, 'stopped')
  })
})
