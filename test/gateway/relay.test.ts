/** Followers of the store and nodes that hear of it from them, against the direct key-value stand-in. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { follow, promptTerms } from '../../src/gateway/follow.js'
import { createRelay } from '../../src/gateway/relay.js'
import type { Relay } from '../../src/gateway/relay.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const DRAIN = 3 * SECOND
const REPORT_PERIOD: Milliseconds = 400
const STEP: Milliseconds = 50

describe('news of the store that an aggregator passes on', () => {
  function start (clock: ManualClock, seed: number) {
    const keys = createKeyValueStore(clock)
    const ending = new AbortController()
    setMaxListeners(0, ending.signal)
    let calls = 0

    function node (number: number) {
      const random = createRandom(seed + number)
      const faults = createFaultSwitch(clock, random)
      const store = createDirectKeyValue(keys, faults, clock)
      const relay = createRelay(clock)
      const known = new Map<string, string>()
      follow({ store: { ...store, list: (prefix, signal) => { calls += 1; return store.list(prefix, signal) } }, clock, random, log: LOG, signal: ending.signal, relay }, 'upstreams/', {
        replace: (entries) => {
          known.clear()
          for (const { key, value } of entries) known.set(key, value)
        },
        put: ({ key, value }) => { known.set(key, value) },
        remove: (key) => { known.delete(key) }
      }, promptTerms(DRAIN, 0))
      return { relay, store, faults: faults.faults, known }
    }

    return { keys, ending, node, listings: () => calls }
  }

  function report (member: Relay, aggregator: Relay, now: Milliseconds): void {
    member.take(aggregator.newsFor(member.known()), now)
  }

  it('keeps members from reading the store for themselves', async () => {
    const clock = createManualClock()
    const { keys, ending, node, listings } = start(clock, 1)
    const aggregator = node(1)
    const member = node(2)
    for (let now = 0; now < 30 * SECOND; now += STEP) {
      if (now % REPORT_PERIOD === 0) report(member.relay, aggregator.relay, clock.now())
      if (now % (5 * SECOND) === 0) keys.put('upstreams/i-1', `at ${now}`)
      await clock.advance(STEP)
    }
    assert.equal(member.known.get('upstreams/i-1'), 'at 25000')
    assert.ok(listings() <= 5, `${listings()} listings`)
    ending.abort()
  })

  // An upstream gives notice while the aggregator of some nodes is cut off from the store, or dies. They went on sending
  // it requests, since nobody told them, and these were lost with it.
  for (const [seed, fault] of [[1, 'cut'], [2, 'cut'], [3, 'dead'], [4, 'dead'], [5, 'silent']] as const) {
    it(`does not keep a notice from a member for longer than the drain, where the aggregator is ${fault} (seed ${seed})`, async () => {
      const clock = createManualClock()
      const random = createRandom(seed * 100)
      const { keys, ending, node } = start(clock, seed)
      const aggregator = node(1)
      const member = node(2)
      keys.put('upstreams/i-1', 'ready')
      let noticeAt = Infinity
      const brokenAt = 5 * SECOND + random.integer(2_000)
      for (let now = 0; now < 15 * SECOND; now += STEP) {
        const isBroken = now >= brokenAt
        aggregator.faults.down = isBroken && fault === 'cut'
        aggregator.faults.silent = isBroken && fault === 'silent'
        if (now % REPORT_PERIOD === 0 && !(isBroken && fault === 'dead')) report(member.relay, aggregator.relay, clock.now())
        if (noticeAt === Infinity && now >= brokenAt + 100 + random.integer(300)) {
          keys.put('upstreams/i-1', 'leaving')
          noticeAt = now
        }
        await clock.advance(STEP)
        if (now + STEP - noticeAt > DRAIN - 200) assert.equal(member.known.get('upstreams/i-1'), 'leaving', `${now - noticeAt} ms after the notice`)
      }
      ending.abort()
    })
  }

  // Guards against members that hear nothing for as long as the store's revisions, which went back, are below those that they had.
  for (const [seed, watches] of [[1, 'cut'], [2, 'cut'], [3, 'silent'], [4, 'silent']] as const) {
    it(`does not keep a notice from a member after the store came back from a copy, watches ${watches} (seed ${seed})`, async () => {
      const clock = createManualClock()
      const { keys, ending, node } = start(clock, seed)
      const aggregator = node(1)
      const member = node(2)
      let backup = keys.backUp()
      const restoredAt = 12 * SECOND
      const noticeAt = restoredAt + SECOND
      for (let now = 0; now < 18 * SECOND; now += STEP) {
        if (now === 6 * SECOND) backup = keys.backUp()
        if (now === restoredAt) keys.restore(backup, watches)
        if (now % REPORT_PERIOD === 0) report(member.relay, aggregator.relay, clock.now())
        // A node's renewals name the epoch too.
        if (now % SECOND === 0) for (const { store } of [aggregator, member]) await store.get('other')
        if (now % 200 === 0) keys.put('upstreams/i-2', `heartbeat ${now}`)
        if (now === noticeAt) keys.put('upstreams/i-1', 'leaving')
        await clock.advance(STEP)
        if (now + STEP - noticeAt > DRAIN - 200) assert.equal(member.known.get('upstreams/i-1'), 'leaving', `${now + STEP - noticeAt} ms after the notice`)
      }
      ending.abort()
    })
  }
})
