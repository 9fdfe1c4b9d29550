/** Upstream directory: notices apply to an upstream at its address. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createUpstreamDirectory } from '../../src/entry/upstream-directory.js'
import { upstreamNameSchema } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import { instanceSchema } from '../../src/upstream/index.js'
import type { Instance } from '../../src/upstream/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const name = upstreamNameSchema.parse('engine-1')

function instanceAt (port: number, state: 'live' | 'leaving' = 'live'): Instance {
  return instanceSchema.parse({
    name: `machine-${port}`,
    failureDomain: 'zone-a',
    machineClass: 'accelerated',
    address: `127.0.0.1:${port}`,
    role: { kind: 'upstream', upstream: name, service: 'assistant', protocol: 'model' },
    state
  })
}

/*
 * Failure guarded against: an engine is reclaimed and its replacement starts under the same name. The instance list
 * switches from the first to the second without a gap, and the replacement never receives any work. The cause was that
 * the notice was stored by name alone. A list that lags behind and still shows the first as live must not cancel the
 * notice either.
 */
test('a notice applies to an upstream at its address, and not to its replacement', async () => {
  const clock = createManualClock()
  const owner = new AbortController()
  let listed = instanceAt(1)
  const directory = createUpstreamDirectory({ instanceList: { read: async () => [listed] }, clock, log: createLog('test', 'silent', clock.wall), signal: owner.signal })
  await directory.refresh()
  directory.markLeaving(name, 'cloud')
  await directory.refresh()
  assert.equal(directory.find(name)?.leaving, true)
  listed = instanceAt(2)
  await directory.refresh()
  owner.abort()
  assert.equal(directory.find(name)?.leaving, false)
})
