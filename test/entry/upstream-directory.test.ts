/** The directory of upstreams: whom a notice is about. */
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
 * An engine is reclaimed and its replacement starts under the same name. The instance list goes from the
 * one to the other without a gap, and the replacement is paid for and gets no work. Cause: the notice was
 * remembered by name alone. A lagging list that still shows the former as live must not undo the notice.
 */
test('a notice holds for an upstream at its address, and not for its replacement', async () => {
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
