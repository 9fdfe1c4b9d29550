/** Upstreams that a node follows in the registry, with records of restarts and of other writers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createRegistry } from '../../platform/registry.js'
import { createStore } from '../../platform/store.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { keepUpstreams } from '../../src/gateway/upstream-keeper.js'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import type { UpstreamView } from '../../src/gateway/upstream-view.js'
import { lifeOf } from '../../src/placement/index.js'
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

/** Bound on a story in milliseconds: without what it is about, it would wait for ever for a state that never comes. */
const LONGEST_STORY = 20_000

const GOOD = { service: 's', address: '127.0.0.1:9', zone: 'a', slots: 6, state: 'ready', born: 1_790_000_000_000 }

describe('the upstreams that a node follows', { timeout: LONGEST_STORY }, () => {
  const clock = createSystemClock()
  let server: MetadataStoreStandIn
  let connections: Connections
  let ending: AbortController
  let view: UpstreamView
  let left: string[]
  let lines: string[]

  beforeEach(async () => {
    server = await serveMetadataStore(clock, createRandom(1))
    connections = createFreshConnections(4)
    ending = new AbortController()
    view = createUpstreamView()
    left = []
    lines = []
  })

  afterEach(async () => {
    ending.abort()
    await connections.destroy()
    await server.kill()
  })

  function followUpstreams (): void {
    const note = (event: string): void => { lines.push(event) }
    const context = { store: createStore(connections, () => server.address), clock, random: createRandom(2), log: { info: note, warn: note, error: note }, signal: ending.signal }
    const none = { start: async () => ({ kind: 'broken' as const, reason: '' }), keep: () => {}, open: () => 0, limit: () => {}, close: async () => {} }
    keepUpstreams(context, createRegistry(), view, none, 50, ({ id }) => { left.push(id) })
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

  // Plans are cut off though their engine gave notice: a node read the notice in a listing, after the store had been
  // away, and began no move of the runs there.
  it('gives notice of one whose leaving it learns by a listing', async () => {
    write('i-1', { ...GOOD, state: 'draining' })
    write('i-2', GOOD)
    view.put(upstreamRecord('i-1', { life: lifeOf('i-1', GOOD.born), address: GOOD.address }), 0)
    followUpstreams()
    await until(() => view.all().length === 2)
    assert.deepEqual([left, usable()], [['i-1'], ['i-2']])
  })

  // Requests hang at an address where nothing answers: the engine's record was overwritten with bytes that can't be
  // read, and the node went on with the record before.
  it('does not use one whose record was spoilt until it is written anew, and holds the others', async () => {
    write('i-1', GOOD)
    write('i-2', GOOD)
    followUpstreams()
    await until(() => usable().length === 2)
    for (const spoilt of ['\u0000\u0001', '{"service":"s"}', JSON.stringify({ ...GOOD, state: 'resting' })]) {
      write('i-1', spoilt)
      await until(() => usable().length === 1)
      assert.deepEqual([usable(), left], [['i-2'], []])
      write('i-1', GOOD)
      await until(() => usable().length === 2)
    }
    assert.equal(lines.filter((event) => event === 'upstream-record-unusable').length, 3)
  })

  it('tells of a spoilt record once, however often it is read', async () => {
    write('i-1', 'spoilt')
    write('i-2', GOOD)
    followUpstreams()
    await until(() => usable().length === 1)
    for (let count = 0; count < 5; count += 1) write('i-1', 'spoilt')
    write('i-3', GOOD)
    await until(() => usable().length === 2)
    assert.equal(lines.filter((event) => event === 'upstream-record-unusable').length, 1)
  })
})

describe('the upstreams of a registry that comes back from a copy', () => {
  const STEP: Milliseconds = 50

  function createWorld () {
    const clock = createManualClock()
    const random = createRandom(1)
    const keys = createKeyValueStore(clock)
    const ending = new AbortController()
    const store = createDirectKeyValue(keys, createFaultSwitch(clock, random), clock)
    const view = createUpstreamView()
    const none = { start: async () => ({ kind: 'broken' as const, reason: '' }), keep: () => {}, open: () => 0, limit: () => {}, close: async () => {} }
    keepUpstreams({ store, clock, random, log: { info: () => {}, warn: () => {}, error: () => {} }, signal: ending.signal }, createRegistry(), view, none, 2_000, () => {})
    return {
      keys,
      write: (id: string) => { keys.put(`servers/${id}`, JSON.stringify(GOOD)) },
      end: (id: string) => { keys.compareAndDelete(`servers/${id}`, keys.get(`servers/${id}`)!.revision) },
      pass: async (duration: Milliseconds) => { for (let passed = 0; passed < duration; passed += STEP) await clock.advance(STEP) },
      usable: () => view.candidates('s', new Set(), clock.now()).map(({ upstream }) => upstream.id).sort(),
      stop: () => ending.abort()
    }
  }

  // Guards against requests to an upstream that has left, since the copy has it as ready.
  it('lack one that had ended, until it turns out to be there', async () => {
    const world = createWorld()
    for (const id of ['i-1', 'i-2', 'i-3']) world.write(id)
    await world.pass(SECOND)
    const backup = world.keys.backUp()
    for (const id of ['i-1', 'i-2']) world.end(id)
    await world.pass(2 * SECOND)
    assert.deepEqual(world.usable(), ['i-3'])
    world.keys.restore(backup)
    for (let passed = 0; passed < 3 * SECOND; passed += STEP) {
      await world.pass(STEP)
      assert.deepEqual(world.usable(), ['i-3'], `${passed} ms after the return`)
    }
    world.end('i-1')
    await world.pass(4 * SECOND)
    assert.deepEqual(world.usable(), ['i-2', 'i-3'])
    world.stop()
  })
})
