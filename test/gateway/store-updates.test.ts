/** An aggregator that reads the store and a member that receives updates from it, against the direct key-value stand-in. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { boundedDelaySettings, followPrefix } from '../../src/gateway/follow.js'
import { createStoreUpdateExchange } from '../../src/gateway/store-updates.js'
import type { StoreUpdateExchange } from '../../src/gateway/store-updates.js'
import { storeUpdateSchema } from '../../src/gossip/index.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const DRAIN_TIME = 3 * SECOND
const REPORT_PERIOD: Milliseconds = 400
const STEP: Milliseconds = 50

describe('store updates from an aggregator', () => {
  function start (clock: ManualClock, seed: number) {
    const keys = createKeyValueStore(clock)
    const controller = new AbortController()
    setMaxListeners(0, controller.signal)
    let listCalls = 0

    function node (number: number) {
      const random = createRandom(seed + number)
      const faults = createFaultSwitch(clock, random)
      const store = createDirectKeyValue(keys, faults, clock)
      const storeUpdates = createStoreUpdateExchange(clock)
      const known = new Map<string, string>()
      followPrefix({ store: { ...store, list: (prefix, signal) => { listCalls += 1; return store.list(prefix, signal) } }, clock, random, log: LOG, signal: controller.signal, storeUpdates }, 'upstreams/', {
        replace: (entries) => {
          known.clear()
          for (const { key, value } of entries) known.set(key, value)
        },
        put: ({ key, value }) => { known.set(key, value) },
        remove: (key) => { known.delete(key) }
      }, boundedDelaySettings(DRAIN_TIME, 0))
      return { storeUpdates, store, faults: faults.faults, known }
    }

    return { keys, controller, node, listCount: () => listCalls }
  }

  function report (member: StoreUpdateExchange, aggregator: StoreUpdateExchange, now: Milliseconds): void {
    member.receive(aggregator.updatesFor(member.known()), now)
  }

  it('keep members from reading the store themselves', async () => {
    const clock = createManualClock()
    const { keys, controller, node, listCount } = start(clock, 1)
    const aggregator = node(1)
    const member = node(2)
    for (let now = 0; now < 30 * SECOND; now += STEP) {
      if (now % REPORT_PERIOD === 0) report(member.storeUpdates, aggregator.storeUpdates, clock.now())
      if (now % (5 * SECOND) === 0) keys.put('upstreams/i-1', `at ${now}`)
      await clock.advance(STEP)
    }
    assert.equal(member.known.get('upstreams/i-1'), 'at 25000')
    assert.ok(listCount() <= 5, `${listCount()} list calls`)
    controller.abort()
  })

  // Guards against requests that members dispatch to a leaving upstream, and that are lost with it, because their
  // aggregator has died or lost its connection to the store before the upstream announces its departure.
  for (const [seed, fault] of [[1, 'cut'], [2, 'cut'], [3, 'dead'], [4, 'dead'], [5, 'silent']] as const) {
    it(`reach a member within the drain time where the aggregator is ${fault} (seed ${seed})`, async () => {
      const clock = createManualClock()
      const random = createRandom(seed * 100)
      const { keys, controller, node } = start(clock, seed)
      const aggregator = node(1)
      const member = node(2)
      keys.put('upstreams/i-1', 'ready')
      let noticeAt = Infinity
      const faultAt = 5 * SECOND + random.integer(2_000)
      for (let now = 0; now < 15 * SECOND; now += STEP) {
        const isFaulty = now >= faultAt
        aggregator.faults.down = isFaulty && fault === 'cut'
        aggregator.faults.silent = isFaulty && fault === 'silent'
        if (now % REPORT_PERIOD === 0 && !(isFaulty && fault === 'dead')) report(member.storeUpdates, aggregator.storeUpdates, clock.now())
        if (noticeAt === Infinity && now >= faultAt + 100 + random.integer(300)) {
          keys.put('upstreams/i-1', 'leaving')
          noticeAt = now
        }
        await clock.advance(STEP)
        if (now + STEP - noticeAt > DRAIN_TIME - 200) assert.equal(member.known.get('upstreams/i-1'), 'leaving', `${now - noticeAt} ms after the notice`)
      }
      controller.abort()
    })
  }

  // Guards against members that ignore updates after a restore, because the store's revisions have gone back below theirs.
  for (const [seed, watches] of [[1, 'cut'], [2, 'cut'], [3, 'silent'], [4, 'silent']] as const) {
    it(`reach a member within the drain time after the store is restored from a backup, watches ${watches} (seed ${seed})`, async () => {
      const clock = createManualClock()
      const { keys, controller, node } = start(clock, seed)
      const aggregator = node(1)
      const member = node(2)
      let backup = keys.backUp()
      const restoredAt = 12 * SECOND
      const noticeAt = restoredAt + SECOND
      for (let now = 0; now < 18 * SECOND; now += STEP) {
        if (now === 6 * SECOND) backup = keys.backUp()
        if (now === restoredAt) keys.restore(backup, watches)
        if (now % REPORT_PERIOD === 0) report(member.storeUpdates, aggregator.storeUpdates, clock.now())
        // Calls such as the renewal of a lease tell a node the store's epoch too.
        if (now % SECOND === 0) for (const { store } of [aggregator, member]) await store.get('other')
        if (now % 200 === 0) keys.put('upstreams/i-2', `heartbeat ${now}`)
        if (now === noticeAt) keys.put('upstreams/i-1', 'leaving')
        await clock.advance(STEP)
        if (now + STEP - noticeAt > DRAIN_TIME - 200) assert.equal(member.known.get('upstreams/i-1'), 'leaving', `${now + STEP - noticeAt} ms after the notice`)
      }
      controller.abort()
    })
  }

  // Guards against a member that follows nothing more: a revision that another node passes on is higher than all to come.
  it('are refused as a whole if a revision is none that a store has', () => {
    const update = { prefix: 'a/', revision: 7, isWhole: false, entries: [{ key: 'a/1', value: '{', revision: 7 }], removed: [{ key: 'a/2', revision: 6 }], age: 0 }
    assert.equal(storeUpdateSchema.safeParse(update).success, true)
    for (const revision of [1e300, 2 ** 53, -1, 1.5, '7', null]) {
      for (const odd of [{ revision }, { entries: [{ key: 'a/1', value: '', revision }] }, { removed: [{ key: 'a/2', revision }] }]) assert.equal(storeUpdateSchema.safeParse({ ...update, ...odd }).success, false, JSON.stringify(odd))
    }
  })
})
