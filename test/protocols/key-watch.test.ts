/** Following a prefix while watches fail. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { followKeys } from '../../src/protocols/key-watch.js'
import type { KeyValueChange } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

test('changes during a failed watch are not missed', async () => {
  // Guards against missed changes: a watch fails after an idle time, and a new watch from the latest revision would skip the
  // changes in between. The prefix is therefore read again before the new watch.
  const clock = createManualClock()
  const store = createKeyValueStore(clock)
  const keyValue = createDirectKeyValue(store, createFaultSwitch(clock, createRandom(1)), clock)
  const owner = new AbortController()
  const values = new Map<string, string>()
  const watch = keyValue.watch
  let broken = false
  keyValue.watch = async function * (prefix, fromRevision, signal): AsyncIterable<readonly KeyValueChange[]> {
    for await (const changes of watch(prefix, fromRevision, signal)) {
      if (broken) throw new Error('silent for too long')
      yield changes
    }
  }
  followKeys({
    keyValue,
    prefix: 'a/',
    clock,
    random: createRandom(1),
    signal: owner.signal,
    wanted: () => true,
    load: async () => {
      const listing = await keyValue.list('a/')
      for (const entry of listing.entries) values.set(entry.key, entry.value)
      return listing.revision
    },
    changed: (changes) => changes.forEach((change) => change.kind === 'put' && values.set(change.entry.key, change.entry.value)),
    failed: () => {}
  }).catch(() => {})
  for (let step = 0; step < 5; step += 1) await clock.advance(1_000)
  store.put('a/1', 'seen')
  await clock.advance(10)
  assert.equal(values.get('a/1'), 'seen')
  broken = true
  store.put('a/1', 'missed')
  store.put('a/2', 'missed too')
  await clock.advance(10)
  broken = false
  for (let step = 0; step < 20; step += 1) await clock.advance(1_000)
  assert.deepEqual([...values], [['a/1', 'missed'], ['a/2', 'missed too']])
  owner.abort()
})
