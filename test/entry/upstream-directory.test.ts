/** Upstream directory: notices apply to an upstream at its address. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { test } from 'node:test'
import { createUpstreamDirectory } from '../../src/entry/upstream-directory.js'
import { addressSchema, upstreamNameSchema } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import { createConnections } from '../../src/protocols/http.js'
import { createInstanceList } from '../../src/protocols/instance-list.js'
import { instanceSchema } from '../../src/upstream/index.js'
import type { Instance } from '../../src/upstream/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { listenOnFreePort } from '../listening.js'

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

// Guards against a node that takes up no change of the instances because of one odd entry among sound ones: the whole list was refused.
test('an odd entry of the instance list is passed over and logged once, and the others are followed', async () => {
  const odd = ['7', 'null', '{}', '{"name":"m"}', `${'['.repeat(50_000)}${']'.repeat(50_000)}`, JSON.stringify({ ...instanceAt(1), address: '127.0.0.1:65536' }), JSON.stringify({ ...instanceAt(1), role: { kind: 'entry', peerAddress: '256.0.0.1:1' } }), JSON.stringify({ ...instanceAt(1), name: 'x'.repeat(100_000) })]
  let port = 1
  const server = createServer((_request, response) => { response.end(`{"instances":[${[...odd, JSON.stringify(instanceAt(port)), ...odd].join(',')}]}`) })
  const address = addressSchema.parse(await listenOnFreePort(server))
  const connections = createConnections(1)
  const lines: string[] = []
  const log = { ...createLog('test', 'silent', () => 0), warn: (event: string) => { lines.push(event) } }
  try {
    const instanceList = createInstanceList(connections, address, log)
    for (port = 1; port <= 3; port += 1) assert.deepEqual((await instanceList.read()).map((instance) => instance.address), [`127.0.0.1:${port}`])
    assert.deepEqual(lines, ['instances-unusable'])
  } finally {
    await connections.destroy()
    server.close()
  }
})
