/** Timeout signals. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createTimeoutSignal, startCallTimeout } from '../src/timeout-signal.js'
import { createSystemClock } from '../src/clock.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void
const clock = createSystemClock()

/** Timeout of a call that the busy process outlasts, in milliseconds. */
const TIMEOUT = 30

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

  // Guards against calls of a busy process that fail although they were answered in time.
  it('does not abort when the answer has arrived while the process was busy', async () => {
    const server = createServer((socket) => socket.end('answer'))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    await once(socket, 'connect')
    const call = startCallTimeout(TIMEOUT)
    const busyUntil = performance.now() + 3 * TIMEOUT
    while (performance.now() < busyUntil);
    await once(socket, 'data')
    call.end()
    socket.destroy()
    server.close()
    await clock.sleep(TIMEOUT)
    assert.equal(call.signal.aborted, false)
  })
})
