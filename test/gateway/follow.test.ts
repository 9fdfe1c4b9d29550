/** Following a prefix: a first read that may be stale, and the changes that the watch delivers after it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { boundedDelaySettings, followPrefix } from '../../src/gateway/follow.js'
import type { KeyValue, KeyValueChange } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

/** A store whose stale reads lack the latest change, and whose next watch can be made to fail. */
function createStaleStore () {
  const clock = createManualClock()
  const random = createRandom(1)
  const store = createKeyValueStore(clock)
  const direct = createDirectKeyValue(store, createFaultSwitch(clock, random), clock)
  store.put('a/1', 'old')
  const staleResult = store.list('a/', 'a0')
  store.put('a/1', 'new')
  const staleFlags: boolean[] = []
  const watchFailure = { next: false }
  async function * watch (...call: Parameters<KeyValue['watch']>): AsyncGenerator<KeyValueChange[]> {
    if (watchFailure.next) {
      watchFailure.next = false
      throw new Error('revision compacted')
    }
    for await (const changes of direct.watch(...call)) yield [...changes]
  }
  const keyValue: KeyValue = {
    ...direct,
    list: async (prefix, signal, mayBeStale = false) => {
      staleFlags.push(mayBeStale)
      return mayBeStale ? staleResult : direct.list(prefix, signal)
    },
    watch
  }
  return { clock, random, keyValue, staleFlags, watchFailure }
}

function followPrefixA ({ clock, random, keyValue }: ReturnType<typeof createStaleStore>, signal: AbortSignal) {
  const values = new Map<string, string>()
  const subscription = followPrefix({ store: keyValue, clock, random, log: LOG, signal }, 'a/', {
    replace: (entries) => { for (const { key, value } of entries) values.set(key, value) },
    put: ({ key, value }) => { values.set(key, value) },
    remove: (key) => { values.delete(key) }
  }, boundedDelaySettings(2 * SECOND, 0))
  return { values, subscription }
}

describe('a followed prefix', () => {
  it('receives the changes that a stale first read lacks from the watch, and reports its contact time from then on', async () => {
    const stale = createStaleStore()
    const controller = new AbortController()
    const { values, subscription } = followPrefixA(stale, controller.signal)
    assert.equal(subscription.lastContactAt(), undefined)
    await stale.clock.advance(100)
    assert.equal(values.get('a/1'), 'new')
    assert.ok(subscription.lastContactAt() !== undefined)
    controller.abort()
  })

  // Guards against a node that keeps a stale configuration after its start. The store has compacted the history since the
  // revision of the first, stale read, so the watch fails, and a second stale read returns the same old revision.
  it('is read again without staleness if the watch after the first read fails', async () => {
    const stale = createStaleStore()
    stale.watchFailure.next = true
    const controller = new AbortController()
    const { values } = followPrefixA(stale, controller.signal)
    // The watch fails, and the next read follows after a pause.
    await stale.clock.advance(10)
    await stale.clock.advance(SECOND)
    assert.deepEqual(stale.staleFlags, [true, false])
    assert.equal(values.get('a/1'), 'new')
    controller.abort()
  })
})
