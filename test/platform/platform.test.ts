/** Adapters of the platform: store client, headers, records and settings file. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createRequestFormat } from '../../platform/format.js'
import { createRegistry } from '../../platform/registry.js'
import { STORE_PATH } from '../../platform/names.js'
import { gatewaySettingsSchema } from '../../platform/settings.js'
import { createStore } from '../../platform/store.js'
import { createSystemClock } from '../../src/clock.js'
import { createConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { ABSENT } from '../../src/protocols/key-value.js'
import type { KeyValue, KeyValueChange } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { parseSettings } from '../../src/settings.js'
import { ServingError } from '../../src/verdict.js'
import { serveMetadataStore } from '../../stand-ins/machines/metadata-store.js'
import type { MetadataStoreStandIn } from '../../stand-ins/machines/metadata-store.js'
import { listenOnFreePort } from '../listening.js'

describe('the client of the metadata store', () => {
  let server: MetadataStoreStandIn
  let connections: Connections
  let store: KeyValue

  beforeEach(async () => {
    server = await serveMetadataStore(createSystemClock(), createRandom(1))
    connections = createConnections(4)
    store = createStore(connections, () => server.address)
  })

  afterEach(async () => {
    await connections.destroy()
    await server.kill()
  })

  it('reads, writes, and swaps and deletes on a condition', async () => {
    assert.equal(await store.get('a'), undefined)
    const created = await store.compareAndSwap('a', ABSENT, 'café')
    assert.equal(created.kind, 'swapped')
    assert.equal((await store.get('a'))?.value, 'café')
    const conflict = await store.compareAndSwap('a', ABSENT, 'other')
    assert.deepEqual([conflict.kind, conflict.kind === 'conflict' && conflict.current?.value], ['conflict', 'café'])
    const removed = await store.compareAndDelete('a', (await store.get('a'))!.revision)
    assert.equal(removed.kind, 'swapped')
    assert.equal(await store.get('a'), undefined)
  })

  // Guards against a node that follows nothing more because of one odd item among sound ones: the whole answer was refused at each read, or
  // one revision was higher than all to come.
  it('passes over odd items of an answer, and uses the others', async () => {
    const sound = (key: string, revision: number): object => ({ key, value: Buffer.from(`value of ${key}`).toString('base64'), revision })
    const odd = ['{}', '[]', 'null', '"p/x"', '7', '{"key":"p/x","value":"eA==","revision":1e999}', '{"key":"p/x","value":"eA==","revision":1e300}', '{"key":"p/x","value":"eA==","revision":9007199254740993}', '{"key":"p/x","value":"eA==","revision":-1}', '{"key":"p/x","value":"eA==","revision":1.5}', '{"key":"p/x","value":"eA==","revision":"7"}', '{"key":"p/x","value":{},"revision":7}', '{"key":["p/x"],"value":"","revision":7}', `{"key":"p/x","value":${'['.repeat(50_000)}${']'.repeat(50_000)},"revision":7}`]
    const items = [JSON.stringify(sound('p/a', 5)), ...odd, JSON.stringify(sound('p/b', 9))].join(',')
    const answers = createServer((request, response) => { response.end(request.url!.startsWith(STORE_PATH.watch) ? `{"events":[${items}],"asOf":12}` : `{"items":[${items}],"asOf":12}`) })
    const faulty = createStore(connections, () => oddAddress)
    const oddAddress = await listenOnFreePort(answers)
    try {
      const expected = ['p/a', 'p/b'].map((key) => `value of ${key}`)
      const { entries, revision } = await faulty.list('p/')
      assert.deepEqual([entries.map(({ value }) => value), revision], [expected, 12])
      const { value: changes } = await faulty.watch('p/', 1, new AbortController().signal)[Symbol.asyncIterator]().next() as { value: KeyValueChange[] }
      assert.deepEqual(changes.map((change) => change.kind === 'put' && change.entry.value), expected)
    } finally {
      answers.close()
      answers.closeAllConnections()
    }
  })

  it('lists a prefix over several pages', async () => {
    for (let index = 0; index < 1_234; index += 1) server.store.put(`p/${String(index).padStart(4, '0')}`, 'x')
    server.store.put('q', 'x')
    const { entries, revision } = await store.list('p/')
    assert.equal(entries.length, 1_234)
    assert.equal(revision, server.store.revision())
  })

  it('watches from a revision and continues after each change', async () => {
    const { revision } = await store.list('p/')
    const ending = new AbortController()
    const seen: string[] = []
    server.store.put('p/1', 'before')
    for await (const changes of store.watch('p/', revision + 1, ending.signal)) {
      for (const change of changes) seen.push(change.kind === 'put' ? change.entry.value : `deleted ${change.key}`)
      if (seen.length === 1) server.store.put('p/1', 'after')
      if (seen.length === 2) server.store.compareAndDelete('p/1', server.store.get('p/1')!.revision)
      if (seen.length === 3) break
    }
    assert.deepEqual(seen, ['before', 'after', 'deleted p/1'])
  })

  it('keeps keys for as long as their lease, and reports an ended lease', async () => {
    const lease = await store.grantLease(60_000)
    await store.put('leased', 'x', { lease })
    assert.ok(await store.keepAlive(lease) > 0)
    await store.revokeLease(lease)
    assert.equal(await store.get('leased'), undefined)
    assert.equal(await store.keepAlive(lease), 0)
  })

  it('reports a restore from a backup once, before the answer that carries the new epoch is used', async () => {
    const backup = server.store.backUp()
    const restores: string[] = []
    store.epochs.onRestore(({ before, epoch }) => restores.push(`${before} to ${epoch}`))
    await store.put('a', 'x')
    assert.deepEqual(restores, [])
    server.store.restore(backup)
    assert.equal(await store.get('a').then((entry) => `${entry?.value} after ${restores.join()}`), 'undefined after 0 to 1')
    await store.get('a')
    assert.deepEqual(restores, ['0 to 1'])
  })

  it('distinguishes a refused call from a call whose answer is lost', async () => {
    server.faultSwitch.faults.down = true
    await assert.rejects(store.put('a', 'x'), (error: ServingError) => error.verdict === 'not-run')
    server.faultSwitch.faults.down = false
    server.faultSwitch.faults.lostReplies = 1
    await assert.rejects(store.put('a', 'x'), (error: ServingError) => error.verdict === 'may-have-run')
    server.faultSwitch.faults.lostReplies = 0
    assert.equal((await store.get('a'))?.value, 'x')
  })
})

describe('headers of a request', () => {
  it('are forwarded to an upstream except hop-by-hop headers and those that only the system sets', () => {
    const raw = ['Host', 'a.example', 'Connection', 'X-Private, Host', 'X-Private', '1', 'X-Other', '2', 'Api-Key', 'k', 'Transfer-Encoding', 'chunked', 'X-Hornbeamgap-Tenant', 'forged', 'Kv-Fetch', '1.2.3.4:5']
    const headers = createRequestFormat().upstreamHeaders(raw, { deadline: 1_234.5, upstream: 'i-1', organisation: undefined, urgency: undefined, memory: undefined, lastEvent: '7' })
    assert.deepEqual(headers, ['Host', 'a.example', 'X-Other', '2', 'x-hornbeamgap-deadline-ms', '1234', 'x-hornbeamgap-expect-instance', 'i-1', 'last-event-id', '7'])
  })

  it('are parsed, and malformed ones are ignored', () => {
    const { readRequest } = createRequestFormat()
    const head = readRequest({ 'x-hornbeamgap-token-usage': '1460,80', 'x-hornbeamgap-prompt-prefix': '5c1e07a2:800, 91bd3f06:410', 'x-hornbeamgap-deadline-ms': '15000' })
    assert.deepEqual([head.tokens, head.parts.length, head.deadline, head.id], [{ prompt: 1_460, generated: 80 }, 2, 15_000, undefined])
    const malformed = readRequest({ 'x-hornbeamgap-token-usage': '1460', 'x-hornbeamgap-prompt-prefix': 'zz:1,aa:2', 'x-hornbeamgap-deadline-ms': '-1' })
    assert.deepEqual([malformed.tokens, malformed.parts, malformed.deadline], [undefined, [], undefined])
  })

  // Guards against a part that crashes upstreams and hides in a list that is malformed elsewhere, is written in other letters, or comes twice.
  it('name the parts that other requests may share, also in a malformed list', () => {
    const sharedParts = (list: string): readonly string[] => createRequestFormat().readRequest({ 'x-hornbeamgap-prompt-prefix': list }).sharedParts
    assert.deepEqual(sharedParts('5c1e07a2:800,91bd3f06:410,e4402b7d:250'), ['5c1e07a2', '91bd3f06'])
    assert.deepEqual(sharedParts('zz:1, 5C1E07A2:many ,,5c1e07a2,91bd3f06:1:2,e4402b7d:250'), ['5c1e07a2', '91bd3f06'])
    assert.deepEqual(sharedParts('e4402b7d:250'), [])
    assert.deepEqual(createRequestFormat().readRequest({}).sharedParts, [])
  })
})

describe('headers of an answer', () => {
  const signalsOf = (status: number, headers: Record<string, string>): unknown => createRequestFormat().readAnswer(headers, status).signals
  const nothing = { leaving: false, rateLimit: undefined, maxRefusals: undefined, retryAfter: undefined }

  it('carry the upstream\'s signals to its callers', () => {
    assert.deepEqual(signalsOf(200, { 'server-limit': '1.5', 'server-leaving': '1' }), { ...nothing, leaving: true, rateLimit: 1.5 })
    assert.deepEqual(signalsOf(503, { 'retry-after': '0.25' }), { ...nothing, retryAfter: 250 })
  })

  it('carry no signal if they are malformed, or if the request was not rejected', () => {
    assert.deepEqual(signalsOf(200, { 'server-limit': 'few', 'server-leaving': '0', 'retry-after': '3' }), nothing)
    assert.deepEqual(signalsOf(503, { 'server-limit': '-1', 'retry-after': 'Thu, 01 Jan 2026 00:00:00 GMT' }), nothing)
  })
})

describe('records of the operator and of upstreams', () => {
  const registry = createRegistry()

  it('are converted into the gateway\'s types, with defaults for missing values', () => {
    const read = registry.readConfiguration(JSON.stringify({
      version: 7,
      routes: [{ name: 'r', host: 'A.example', prefix: '/p/', kind: 'streaming', timeoutMs: 3_000, targetLatencyMs: 800, targetGapMs: 500, service: 's', unheardOf: 1 }],
      services: [{ name: 's', maxConns: 370, scaling: { minReplicas: 1, maxReplicas: 8, bootTimeS: 4, spotPrice: 0.18, zonePrices: { a: 0.85 } } }],
      tenants: [{ name: 'o', apiKeys: ['k'], unit: 'tokens', plainTokens: 200, ratePerS: 5, burst: 6 }]
    }))
    assert.deepEqual(read.routes[0], {
      name: 'r', host: 'a.example', prefix: '/p/', kind: 'stream', resumable: false, timeLimit: 3_000, target: 800, maxPause: 500, maxAttempts: 1, priority: 0, anonymous: false, destinations: [{ service: 's', weight: 1 }]
    })
    assert.deepEqual(read.services[0]?.scaling, { minUpstreams: 1, maxUpstreams: 8, bootTime: 4_000, reclaimablePrice: 0.18, prices: { a: 0.85 } })
    assert.deepEqual(read.organisations?.[0]?.quota, { unit: 'tokens', rate: 5, burst: 6, plainCost: 200 })
    assert.equal(read.limits.headerBytes, 16_384)
  })

  it('are rejected if they are invalid', () => {
    assert.throws(() => registry.readConfiguration('{'))
    assert.throws(() => registry.readConfiguration('{"version":"1","routes":[],"services":[]}'))
  })

  it('state whether an upstream is leaving, and which incarnation of the upstream they describe', () => {
    const read = (state: string, more: object = {}) => {
      const result = registry.readUpstream('i', JSON.stringify({ service: 's', address: '1.2.3.4:5', zone: 'z', state, spot: true, leaves_ms: 2_000, ...more }))
      assert.ok(result.kind === 'usable')
      return result.record
    }
    assert.equal(read('ready').leaving, false)
    assert.deepEqual([read('draining').leaving, read('draining').leavesIn, read('draining').reclaimable], [true, 2_000, true])
    assert.equal(read('ready', { born: 1 }).incarnation, read('draining', { born: 1 }).incarnation)
    assert.notEqual(read('ready', { born: 1 }).incarnation, read('ready', { born: 2 }).incarnation)
  })

  // Guards against requests to an address where nothing listens, and against moving runs away from a healthy engine: another
  // writer has overwritten the engine's record, and the readable part of the record was used.
  it('are unusable if another writer has corrupted them', () => {
    const good = { service: 's', address: '1.2.3.4:5', zone: 'z', slots: 64, state: 'ready', born: 1_790_000_000_000 }
    const malformed = [
      '', '{', 'null', '[]', '"ready"', '\uFFFD\uFFFD', JSON.stringify({ ...good, born: '1' }), JSON.stringify({ ...good, born: 1.5 }),
      ...(['service', 'address', 'zone', 'state'] as const).flatMap((field) => [JSON.stringify({ ...good, [field]: undefined }), JSON.stringify({ ...good, [field]: 7 }), JSON.stringify({ ...good, [field]: '' })]),
      JSON.stringify({ ...good, state: 'other' }), JSON.stringify({ ...good, address: 'nowhere' }), JSON.stringify({ ...good, slots: '64' }), JSON.stringify({ ...good, slots: -1 }), JSON.stringify({ ...good, spot: 'yes' })
    ]
    assert.equal(registry.readUpstream('i', JSON.stringify(good)).kind, 'usable')
    for (const value of malformed) assert.equal(registry.readUpstream('i', value).kind, 'unusable', value)
    for (const id of ['', 'a b', 'a\r\nx: y', 'é']) assert.equal(registry.readUpstream(id, JSON.stringify(good)).kind, 'unusable', id)
  })
})

describe('the platform\'s settings file', () => {
  const text = `
nodeName = "front-a-1"
ip = "10.1.0.16"
zone = "a"
internalPorts = [7500, 7515]
newField = "ignored"
[listen]
front = "10.1.0.16:8360"
ready = "10.1.0.16:8365"
[limits]
memoryMb = 350
maxFds = 4100
[platform]
address = "10.200.1.7:8361"
`

  it('is parsed with defaults for missing values', () => {
    const settings = parseSettings(gatewaySettingsSchema, text, 'boot.toml')
    assert.deepEqual(settings.front, { host: '10.1.0.16', port: 8360 })
    assert.deepEqual([settings.firstStart, settings.bounds.grace, settings.cloud], [false, 8_000, undefined])
    assert.deepEqual(settings.failureDomains, ['a'], 'the failure domain of this node is used if the file names none')
  })

  it('is rejected with the name of the missing or invalid key', () => {
    const read = (from: string, to: string) => () => parseSettings(gatewaySettingsSchema, text.replace(from, to), 'boot.toml')
    assert.throws(read('nodeName = "front-a-1"', ''), /boot\.toml: nodeName: /)
    assert.throws(read('"10.1.0.16:8360"', '"10.1.0.16"'), /listen\.front: must be an IP number and a port/)
    assert.throws(read('maxFds = 4100', 'maxFds = "many"'), /limits\.maxFds: /)
  })
})
