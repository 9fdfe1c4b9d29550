/** Checkpoints of stream origins in the store: what they let other nodes know, and what they cost. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { CHECKPOINT_PREFIX, createOriginCheckpoints } from '../../src/gateway/origin-checkpoints.js'
import type { OriginCheckpoints } from '../../src/gateway/origin-checkpoints.js'
import { createVersionWatch } from '../../src/gateway/version-watch.js'
import type { VersionWatch } from '../../src/gateway/version-watch.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createOriginRecords } from '../../src/stream-origins/index.js'
import type { OriginRecords, StreamId, StreamOrigin } from '../../src/stream-origins/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import type { DirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { upstreamRecord } from '../placement/records.js'

const SERVICE = 'plans'
const STREAM = 's1'
const VIEW_AGE: Milliseconds = 4 * SECOND

/** Time within which a node has written or read. */
const SETTLED: Milliseconds = 500

interface Member {
  readonly keyValue: DirectKeyValue
  readonly key: string
  readonly versions: VersionWatch
  readonly streams: Map<StreamId, StreamOrigin>
  readonly records: OriginRecords
  readonly checkpoints: OriginCheckpoints
  present: readonly string[]
  kill (): void
}

/** Nodes with one store. Their view of the registry is as fresh as `isFollowing` says. */
function createNodes ({ nodeCount = 1, storeWriteRate = 400 } = {}) {
  const clock = createManualClock(1_000 * SECOND)
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, createRandom(1))
  const events: string[] = []
  const add = (event: string): void => { events.push(event) }
  let isFollowing = true
  let started = 0

  function start (firstStart = false, present: readonly string[] = ['v1'], wrap = (keyValue: DirectKeyValue): KeyValue => keyValue): Member {
    started += 1
    const controller = new AbortController()
    const keyValue = createDirectKeyValue(store, faultSwitch, clock)
    const upstreams = (): readonly ReturnType<typeof upstreamRecord>[] => member.present.map((version) => upstreamRecord(version, { service: SERVICE, version }))
    const versions = createVersionWatch({ clock, present: upstreams, maxAge: VIEW_AGE })
    versions.follow({ lastContactAt: () => isFollowing ? clock.now() : undefined })
    const records = createOriginRecords()
    const streams = new Map<StreamId, StreamOrigin>()
    const context = { store: wrap(keyValue), clock, random: createRandom(started), log: { info: add, warn: add, error: add }, signal: controller.signal }
    const member: Member = { keyValue, key: `${CHECKPOINT_PREFIX}node-${started}`, versions, streams, records, present, kill: () => controller.abort(), checkpoints: undefined as unknown as OriginCheckpoints }
    return Object.assign(member, { checkpoints: createOriginCheckpoints({ context, incarnation: `node-${started}`, firstStart, streams: () => streams, records, versions, nodeCount: () => nodeCount, storeWriteRate, onRecorded: () => {} }) })
  }

  return { clock, store, faultSwitch, events, start, follow: (is: boolean) => { isFollowing = is } }
}

function only (member: Member): string | undefined {
  return member.versions.only(SERVICE, VIEW_AGE)
}

describe('checkpoints of stream origins', () => {
  it('tell the successors of all nodes where streams began, and at which versions', async () => {
    const { clock, start } = createNodes()
    const before = start(true, ['v1', 'v2'])
    before.streams.set(STREAM, { service: SERVICE, version: 'v1' })
    await clock.advance(SETTLED)
    before.kill()
    const after = start(false, ['v2'])
    await clock.advance(SETTLED)
    assert.deepEqual(after.records.find(STREAM, clock.now()), { service: SERVICE, version: 'v1' })
    assert.equal(only(after), undefined)
    assert.ok(after.versions.isComplete())
  })

  it('let a node that starts beside others infer the only version at once', async () => {
    const { clock, start } = createNodes()
    start(true)
    await clock.advance(SETTLED)
    const late = start()
    await clock.advance(SETTLED)
    assert.equal(only(late), 'v1')
  })

  // Guards against versions that are forgotten when their nodes are killed again and again.
  it('hand the versions of before on over several kills of all nodes', async () => {
    const { clock, start } = createNodes()
    const first = start(true, ['v1'])
    await clock.advance(SETTLED)
    first.kill()
    const second = start(false, ['v2'])
    await clock.advance(25 * SECOND)
    second.kill()
    const third = start(false, ['v2'])
    await clock.advance(25 * SECOND)
    assert.equal(only(third), undefined)
  })

  // Guards against streams of two versions: upstreams that serve on, of which nothing changes in the registry, are forgotten beside one that has just started.
  it('name a version for as long as upstreams of it serve', async () => {
    const { clock, start } = createNodes()
    const node = start(true, ['v1', 'v2'])
    await clock.advance(SETTLED)
    await clock.advance(60 * SECOND)
    node.versions.seen(upstreamRecord('again', { service: SERVICE, version: 'v1' }))
    assert.equal(only(node), undefined)
  })

  // Guards against an empty store that is taken for a system without a past.
  it('that are missing leave the past unknown, unless the system starts for the first time', async () => {
    const { clock, start } = createNodes()
    const others = [start(), start()]
    await clock.advance(SETTLED)
    assert.deepEqual(others.map(only), [undefined, undefined])
    await clock.advance(30 * SECOND)
    assert.deepEqual(others.map(only), ['v1', 'v1'])
  })

  // Guards against a store that comes back from a copy: what its nodes wrote after the copy is gone.
  it('of an earlier epoch of the store do not tell all', async () => {
    const { clock, store, start } = createNodes()
    const before = start(true)
    await clock.advance(SETTLED)
    const backup = store.backUp()
    before.kill()
    store.restore(backup)
    const after = start()
    await clock.advance(SETTLED)
    assert.equal(only(after), undefined)
  })

  it('are written again by nodes that live on when the store comes back from a copy', async () => {
    const { clock, store, start } = createNodes()
    const backup = store.backUp()
    const living = start(true)
    await clock.advance(SETTLED)
    store.restore(backup)
    await clock.advance(30 * SECOND)
    const late = start()
    await clock.advance(SETTLED)
    assert.equal(only(living), 'v1')
    assert.equal(only(late), 'v1')
  })

  // Guards against a write that the store carries out seconds after its call was given up, under a lease that nobody renews.
  it('stay in the store while their node lives, also where a write was carried out late', async () => {
    const { clock, store, start } = createNodes()
    const node = start(true)
    await clock.advance(SETTLED)
    node.present = ['v1', 'v2']
    node.keyValue.direct.lateBy = 3 * SECOND
    await clock.advance(250)
    node.keyValue.direct.lateBy = 0
    await clock.advance(90 * SECOND)
    assert.match(store.get(node.key)?.value ?? '', /"v2"/)
  })

  // Guards against the same write in place of a later one.
  it('name what their node has written last, also where an earlier write was carried out after it', async () => {
    const { clock, store, start } = createNodes()
    const node = start(true)
    await clock.advance(SETTLED)
    node.streams.set('early', { service: SERVICE, version: 'v1' })
    node.keyValue.direct.lateBy = 3 * SECOND
    await clock.advance(250)
    node.keyValue.direct.lateBy = 0
    node.present = ['v1', 'v2']
    await clock.advance(10 * SECOND)
    assert.match(store.get(node.key)?.value ?? '', /"v2"/)
  })

  // Guards against an empty store that counts as a first start once more, after the checkpoints of the others have lapsed.
  it('that have lapsed leave the past unknown, also to a process of the first start', async () => {
    const { clock, start, follow } = createNodes()
    const node = start(true)
    const other = start(true)
    await clock.advance(SETTLED)
    follow(false)
    await clock.advance(5 * SECOND)
    other.kill()
    await clock.advance(70 * SECOND)
    follow(true)
    await clock.advance(SETTLED)
    assert.equal(only(node), undefined)
  })

  it('are written by a node that cannot read those of the others', async () => {
    const { clock, store, start } = createNodes()
    const node = start(false, ['v1'], (keyValue) => ({ ...keyValue, list: () => Promise.reject(new Error('status 429')) }))
    await clock.advance(SETTLED)
    await clock.advance(20 * SECOND)
    assert.notEqual(store.get(node.key), undefined)
  })

  // Guards against versions that nodes name to each other for good after they have left.
  it('forget a version after it has left, also where nodes read them now and then', async () => {
    const { clock, start } = createNodes()
    const nodes = [start(true, ['v1', 'v2']), start(true, ['v1', 'v2'])]
    await clock.advance(SETTLED)
    for (const node of nodes) node.present = ['v2']
    for (let round = 0; round < 12; round += 1) {
      await clock.advance(10 * SECOND)
      for (const node of nodes) await node.checkpoints.refresh()
    }
    assert.deepEqual(nodes.map(only), ['v2', 'v2'])
  })

  it('that cannot be read leave the past unknown, and one line', async () => {
    const { clock, store, start, events } = createNodes()
    start(true)
    await clock.advance(SETTLED)
    store.put(`${CHECKPOINT_PREFIX}odd`, '{"epoch":"x"}')
    const late = start()
    await clock.advance(3 * SECOND)
    assert.equal(only(late), undefined)
    assert.equal(events.filter((event) => event === 'stream-origins-unreadable').length, 1)
  })

  it('are tried again while the store is away, and the past is unknown until then', async () => {
    const { clock, start, faultSwitch } = createNodes()
    start(true).kill()
    await clock.advance(SETTLED)
    faultSwitch.faults.down = true
    const after = start()
    await clock.advance(5 * SECOND)
    assert.equal(only(after), undefined)
    const calls = faultSwitch.calls()
    await clock.advance(20 * SECOND)
    assert.ok(faultSwitch.calls() - calls <= 30, `${faultSwitch.calls() - calls} calls in 20 s`)
  })

  // Guards against versions that come and go while a node does not hear of the registry.
  it('are read again when the registry has not been followed for a while', async () => {
    const { clock, start, follow, events } = createNodes()
    start(true)
    await clock.advance(SETTLED)
    const node = start()
    await clock.advance(SETTLED)
    follow(false)
    await clock.advance(SETTLED)
    assert.equal(only(node), undefined)
    const reads = events.filter((event) => event === 'stream-origins-read').length
    follow(true)
    await clock.advance(2 * SECOND)
    assert.ok(events.filter((event) => event === 'stream-origins-read').length > reads)
  })

  it('say at which versions streams may begin only once the store has them', async () => {
    const { clock, start, faultSwitch } = createNodes()
    const node = start(true)
    assert.equal(node.checkpoints.mayBegin(SERVICE, 'v1'), false)
    await clock.advance(SETTLED)
    assert.equal(node.checkpoints.mayBegin(SERVICE, 'v1'), true)
    faultSwitch.faults.down = true
    node.present = ['v1', 'v2']
    await clock.advance(SECOND)
    assert.equal(node.checkpoints.mayBegin(SERVICE, 'v2'), false)
    faultSwitch.faults.down = false
    await clock.advance(SECOND)
    assert.equal(node.checkpoints.mayBegin(SERVICE, 'v2'), true)
  })

  // Guards against upstreams of a new version that stay idle for as long as the store takes no writes, while those of the other one fail.
  it('hold streams back from a version for two seconds at most', async () => {
    const { clock, start, faultSwitch } = createNodes()
    const node = start(true)
    await clock.advance(SETTLED)
    faultSwitch.faults.down = true
    node.present = ['v1', 'v2']
    await clock.advance(3 * SECOND)
    assert.equal(node.checkpoints.mayBegin(SERVICE, 'v2'), true)
  })

  it('end a minute after their nodes', async () => {
    const { clock, store, start } = createNodes()
    const node = start(true)
    await clock.advance(SETTLED)
    await clock.advance(50 * SECOND)
    assert.equal(store.list(CHECKPOINT_PREFIX, `${CHECKPOINT_PREFIX}~`).entries.length, 1)
    node.kill()
    await clock.advance(35 * SECOND)
    assert.equal(store.list(CHECKPOINT_PREFIX, `${CHECKPOINT_PREFIX}~`).entries.length, 1)
    await clock.advance(60 * SECOND)
    store.expire()
    assert.equal(store.list(CHECKPOINT_PREFIX, `${CHECKPOINT_PREFIX}~`).entries.length, 0)
  })

  for (const { nodeCount, storeWriteRate } of [{ nodeCount: 9, storeWriteRate: 400 }, { nodeCount: 77, storeWriteRate: 1_200 }, { nodeCount: 300, storeWriteRate: 1_200 }]) {
    // Guards against checkpoints that take the store's rate from all else: each node has new streams all the time.
    it(`take a fourth of the store's writes at most, at ${nodeCount} nodes`, async () => {
      const { clock, start, faultSwitch } = createNodes({ nodeCount, storeWriteRate })
      const node = start(true, ['v1', 'v2'])
      await clock.advance(SETTLED)
      const calls = faultSwitch.calls()
      for (let tick = 0; tick < 600; tick += 1) {
        node.streams.set(`s${tick}`, { service: SERVICE, version: 'v1' })
        await clock.advance(SECOND / 10)
      }
      const callsPerSecond = (faultSwitch.calls() - calls) / 60 * nodeCount
      assert.ok(callsPerSecond <= storeWriteRate / 4 * 1.1, `${callsPerSecond} calls a second`)
    })
  }

  it('cost next to nothing while there is one version', async () => {
    const { clock, start, faultSwitch } = createNodes()
    start(true)
    await clock.advance(SETTLED)
    const calls = faultSwitch.calls()
    await clock.advance(60 * SECOND)
    assert.ok(faultSwitch.calls() - calls <= 3, `${faultSwitch.calls() - calls} calls in a minute`)
  })
})
