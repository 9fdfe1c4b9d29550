import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { boundSignal } from '../src/bound-signal.js'
import { createSystemClock } from '../src/clock.js'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void
const clock = createSystemClock()

describe('a bound signal', () => {
  // An operator stops a node while the key-value service is away. Minutes later the process still runs and
  // warns four times a second that its last report isn't written. The signal that bounds the last report
  // was joined from one of AbortSignal.timeout, which the garbage collector took away with its timer.
  it('aborts after its time, also when the garbage collector runs before', async () => {
    const parent = new AbortController()
    const signal = boundSignal(50, parent.signal)
    while (!signal.aborted) {
      collect()
      await clock.sleep(10)
    }
    assert.equal((signal.reason as Error).name, 'TimeoutError')
  })

  it('aborts with its parent and for its reason', () => {
    const parent = new AbortController()
    const before = boundSignal(60_000, parent.signal)
    parent.abort('stopped')
    assert.equal(before.reason, 'stopped')
    assert.equal(boundSignal(60_000, parent.signal).reason, 'stopped')
  })
})
