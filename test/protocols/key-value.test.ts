/** HTTP client of the key-value service. */
import assert from 'node:assert/strict'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { createServer } from 'node:http'
import { test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { addressSchema } from '../../src/identifiers.js'
import { createConnections, createFreshConnections } from '../../src/protocols/http.js'
import { ABSENT, createKeyValue } from '../../src/protocols/key-value.js'
import type { KeyValueChange } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { serveKeyValue } from '../../stand-ins/key-value.js'
import { listenOnFreePort } from '../listening.js'

/** Diagnostics channel on which undici reports each new connection. */
const CONNECTED = 'undici:client:connected'

test('compare-and-swap, leases and watches work over HTTP', async () => {
  const service = await serveKeyValue({ port: 0, clock: createSystemClock(), random: createRandom(1) })
  const connections = createConnections(4)
  const fresh = createFreshConnections(4)
  const keyValue = createKeyValue(connections, [service.address], fresh)
  const owner = new AbortController()
  try {
    const first = await keyValue.compareAndSwap('a/1', ABSENT, 'one')
    assert.equal(first.kind, 'swapped')
    const conflict = await keyValue.compareAndSwap('a/1', ABSENT, 'two')
    assert.deepEqual(conflict.kind === 'conflict' && conflict.current?.value, 'one')
    const stale = await keyValue.compareAndSwapAll([{ key: 'b/1', expectedRevision: ABSENT, value: 'new' }, { key: 'a/1', expectedRevision: ABSENT, value: 'two' }])
    assert.deepEqual(stale.kind === 'conflict' && stale.current.map((entry) => entry?.value), [undefined, 'one'])
    assert.equal(await keyValue.get('b/1'), undefined)
    const both = await keyValue.compareAndSwapAll([{ key: 'b/1', expectedRevision: ABSENT, value: 'new' }, { key: 'a/1', expectedRevision: first.kind === 'swapped' ? first.revision : ABSENT, value: 'two' }])
    assert.deepEqual([(await keyValue.get('b/1'))?.revision, (await keyValue.get('a/1'))?.revision], both.kind === 'swapped' ? [both.revision, both.revision] : [])
    const listing = await keyValue.list('a/')
    const seen: KeyValueChange[] = []
    const watching = (async () => {
      for await (const changes of keyValue.watch('a/', listing.revision + 1, owner.signal)) {
        seen.push(...changes)
        if (seen.length === 2) return
      }
    })()
    const lease = await keyValue.grantLease(60_000)
    await keyValue.put('a/2', 'leased', { lease })
    assert.ok(await keyValue.keepAlive(lease) > 0)
    await keyValue.revokeLease(lease)
    await watching
    assert.deepEqual(seen.map((change) => change.kind), ['put', 'delete'])
    assert.equal(await keyValue.keepAlive(lease), 0)
  } finally {
    owner.abort()
    await Promise.all([connections.destroy(), fresh.destroy(), service.kill()])
  }
})

test('a watch is never opened on a used connection', async () => {
  // Guards against a watch that receives nothing for minutes: the network has dropped the state of the pooled connections. The
  // watch fails after 30 s without a message, and would receive nothing on the next pooled connection either.
  const service = await serveKeyValue({ port: 0, clock: createSystemClock(), random: createRandom(1) })
  const connections = createConnections(4)
  const fresh = createFreshConnections(4)
  const keyValue = createKeyValue(connections, [service.address], fresh)
  let opened = 0
  const count = (): void => { opened += 1 }
  try {
    await Promise.all([keyValue.get('a/1'), keyValue.get('a/2')])
    subscribe(CONNECTED, count)
    for (let turn = 1; turn <= 3; turn += 1) {
      const before = opened
      const owner = new AbortController()
      const first = await keyValue.watch('a/', 1, owner.signal)[Symbol.asyncIterator]().next()
      assert.deepEqual(first.value, [])
      owner.abort()
      assert.ok(opened > before, `watch ${turn} used an old connection`)
    }
  } finally {
    unsubscribe(CONNECTED, count)
    await Promise.all([connections.destroy(), fresh.destroy(), service.kill()])
  }
})

// Guards against a process that follows nothing more because of one odd item among sound ones, whose revision was no number or made the
// whole answer unusable.
test('odd items of an answer are passed over, and the others are used', async () => {
  const encode = (text: string): string => Buffer.from(text).toString('base64')
  const odd = ['7', 'null', '{}', '{"key":7}', `${'['.repeat(50_000)}${']'.repeat(50_000)}`, ...['"no number"', '""', '1e999', '1e300', '"9007199254740993"', '-1', '1.5', '{}'].map((revision) => `{"key":"${encode('a/x')}","value":"eA==","mod_revision":${revision}}`)]
  const items = [`{"key":"${encode('a/1')}","value":"${encode('one')}","mod_revision":"5"}`, ...odd, `{"key":"${encode('a/2')}","value":"${encode('two')}","mod_revision":"6"}`]
  const server = createServer((request, response) => {
    const events = items.map((item) => `{"kv":${item}}`).join(',')
    response.end(request.url === '/v3/watch' ? `{"result":{"header":{"revision":"7"},"events":[${events}]}}\n` : `{"header":{"revision":"7"},"kvs":[${items.join(',')}]}`)
  })
  const connections = createConnections(1)
  const keyValue = createKeyValue(connections, [addressSchema.parse(await listenOnFreePort(server))])
  const expected = [{ key: 'a/1', value: 'one', revision: 5 }, { key: 'a/2', value: 'two', revision: 6 }]
  try {
    assert.deepEqual(await keyValue.list('a/'), { entries: expected, revision: 7 })
    const { value: changes } = await keyValue.watch('a/', 1, new AbortController().signal)[Symbol.asyncIterator]().next() as { value: KeyValueChange[] }
    assert.deepEqual(changes, expected.map((entry) => ({ kind: 'put', entry })))
  } finally {
    await connections.destroy()
    server.close()
  }
})
