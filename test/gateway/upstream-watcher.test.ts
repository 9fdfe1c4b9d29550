/** The watch of upstream records, with notices in listings, corrupted records and a restored registry. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createRegistry } from '../../platform/registry.js'
import { createStore } from '../../platform/store.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { watchUpstreams } from '../../src/gateway/upstream-watcher.js'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import type { UpstreamView } from '../../src/gateway/upstream-view.js'
import { incarnationOf } from '../../src/placement/index.js'
import { createFreshConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { serveMetadataStore } from '../../stand-ins/machines/metadata-store.js'
import type { MetadataStoreStandIn } from '../../stand-ins/machines/metadata-store.js'
import { upstreamRecord } from '../placement/records.js'

/** Timeout in milliseconds. A failing test would otherwise wait forever for a state that is never reached. */
const TEST_TIMEOUT = 20_000

const VALID_RECORD = { service: 's', address: '127.0.0.1:9', zone: 'a', slots: 6, state: 'ready', born: 1_790_000_000_000 }

describe('the watch of upstreams', { timeout: TEST_TIMEOUT }, () => {
  const clock = createSystemClock()
  let server: MetadataStoreStandIn
  let connections: Connections
  let shutdown: AbortController
  let view: UpstreamView
  let leavingIds: string[]
  let lines: string[]

  beforeEach(async () => {
    server = await serveMetadataStore(clock, createRandom(1))
    connections = createFreshConnections(4)
    shutdown = new AbortController()
    view = createUpstreamView()
    leavingIds = []
    lines = []
  })

  afterEach(async () => {
    shutdown.abort()
    await connections.destroy()
    await server.kill()
  })

  function followUpstreams (): void {
    const note = (event: string): void => { lines.push(event) }
    const context = { store: createStore(connections, () => server.address), clock, random: createRandom(2), log: { info: note, warn: note, error: note }, signal: shutdown.signal }
    const noConnections = { start: async () => ({ kind: 'broken' as const, reason: '' }), closeExcept: () => {}, open: () => 0, setConnectionLimit: () => {}, close: async () => {} }
    watchUpstreams(context, createRegistry(), view, noConnections, { drain: 50, onSeen: () => {}, onLeaving: ({ id }) => { leavingIds.push(id) } })
  }

  function write (id: string, record: object | string): void {
    server.store.put(`servers/${id}`, typeof record === 'string' ? record : JSON.stringify(record))
  }

  function usable (): string[] {
    return view.candidates('s', new Set(), clock.now()).map(({ upstream }) => upstream.id).sort()
  }

  async function until (condition: () => boolean): Promise<void> {
    while (!condition()) await clock.sleep(5)
  }

  // Failure guarded against: a node reads a notice of leaving in a listing, after the store was unavailable, and does not
  // move the runs of that upstream, which are then cut off.
  it('reports a leaving upstream whose notice is first seen in a listing', async () => {
    write('i-1', { ...VALID_RECORD, state: 'draining' })
    write('i-2', VALID_RECORD)
    view.put(upstreamRecord('i-1', { incarnation: incarnationOf('i-1', VALID_RECORD.born), address: VALID_RECORD.address }), 0)
    followUpstreams()
    await until(() => view.all().length === 2)
    assert.deepEqual([leavingIds, usable()], [['i-1'], ['i-2']])
  })

  // Failure guarded against: a record is overwritten with unreadable bytes, the node keeps using the previous record, and
  // requests hang at an address where nothing answers.
  it('does not use an upstream with a corrupted record until the record is written again, and keeps the others', async () => {
    write('i-1', VALID_RECORD)
    write('i-2', VALID_RECORD)
    followUpstreams()
    await until(() => usable().length === 2)
    for (const spoilt of ['\u0000\u0001', '{"service":"s"}', JSON.stringify({ ...VALID_RECORD, state: 'resting' })]) {
      write('i-1', spoilt)
      await until(() => usable().length === 1)
      assert.deepEqual([usable(), leavingIds], [['i-2'], []])
      write('i-1', VALID_RECORD)
      await until(() => usable().length === 2)
    }
    assert.equal(lines.filter((event) => event === 'upstream-record-unusable').length, 3)
  })

  it('logs a corrupted record once, however often the record is read', async () => {
    write('i-1', 'spoilt')
    write('i-2', VALID_RECORD)
    followUpstreams()
    await until(() => usable().length === 1)
    for (let count = 0; count < 5; count += 1) write('i-1', 'spoilt')
    write('i-3', VALID_RECORD)
    await until(() => usable().length === 2)
    assert.equal(lines.filter((event) => event === 'upstream-record-unusable').length, 1)
  })

  // Guards against as many log lines as reads times odd records, which cost a node the time for its requests. The reasons of 50 were remembered.
  it('logs each of hundreds of odd records once, however often they are read', async () => {
    const odd = Array.from({ length: 300 }, (_, index) => `odd-${index}`)
    for (const id of odd) write(id, '{')
    write('sound', VALID_RECORD)
    followUpstreams()
    await until(() => usable().length === 1)
    for (let round = 0; round < 3; round += 1) {
      for (const id of odd) write(id, '{')
      write(`later-${round}`, VALID_RECORD)
      await until(() => usable().length === round + 2)
    }
    assert.equal(lines.filter((event) => event === 'upstream-record-unusable').length, odd.length)
  })
})

describe('the upstreams of a registry that was restored from a backup', () => {
  const STEP: Milliseconds = 50

  function createFixture () {
    const clock = createManualClock()
    const random = createRandom(1)
    const keys = createKeyValueStore(clock)
    const shutdown = new AbortController()
    const store = createDirectKeyValue(keys, createFaultSwitch(clock, random), clock)
    const view = createUpstreamView()
    const noConnections = { start: async () => ({ kind: 'broken' as const, reason: '' }), closeExcept: () => {}, open: () => 0, setConnectionLimit: () => {}, close: async () => {} }
    watchUpstreams({ store, clock, random, log: { info: () => {}, warn: () => {}, error: () => {} }, signal: shutdown.signal }, createRegistry(), view, noConnections, { drain: 2_000, onSeen: () => {}, onLeaving: () => {} })
    return {
      keys,
      write: (id: string) => { keys.put(`servers/${id}`, JSON.stringify(VALID_RECORD)) },
      end: (id: string) => { keys.compareAndDelete(`servers/${id}`, keys.get(`servers/${id}`)!.revision) },
      advance: async (duration: Milliseconds) => { for (let passed = 0; passed < duration; passed += STEP) await clock.advance(STEP) },
      usable: () => view.candidates('s', new Set(), clock.now()).map(({ upstream }) => upstream.id).sort(),
      stop: () => shutdown.abort()
    }
  }

  // Failure guarded against: an upstream has ended after the backup, which has its record as ready. The node sends requests
  // to the address, where nothing answers.
  it('do not include an upstream that had ended, until its record proves to be alive', async () => {
    const fixture = createFixture()
    for (const id of ['i-1', 'i-2', 'i-3']) fixture.write(id)
    await fixture.advance(SECOND)
    const backup = fixture.keys.backUp()
    for (const id of ['i-1', 'i-2']) fixture.end(id)
    await fixture.advance(2 * SECOND)
    assert.deepEqual(fixture.usable(), ['i-3'])
    fixture.keys.restore(backup)
    for (let passed = 0; passed < 3 * SECOND; passed += STEP) {
      await fixture.advance(STEP)
      assert.deepEqual(fixture.usable(), ['i-3'], `${passed} ms after the restore`)
    }
    fixture.end('i-1')
    await fixture.advance(4 * SECOND)
    assert.deepEqual(fixture.usable(), ['i-2', 'i-3'])
    fixture.stop()
  })
})
