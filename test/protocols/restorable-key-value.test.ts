/** Revisions, leases and watches from before a restore of the service from a backup. */
import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { ABSENT } from '../../src/protocols/key-value.js'
import type { KeyValueEntry } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import type { ServingError } from '../../src/verdict.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import type { DirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { Backup, KeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

describe('a key-value service that was restored from a backup', () => {
  let clock: ManualClock
  let service: KeyValueStore
  let store: DirectKeyValue
  let backup: Backup

  beforeEach(async () => {
    clock = createManualClock()
    service = createKeyValueStore(clock)
    store = createDirectKeyValue(service, createFaultSwitch(clock, createRandom(1)), clock)
    await store.put('a', 'before')
    backup = service.backUp()
  })

  const read = async (key: string): Promise<KeyValueEntry> => (await store.get(key))!

  // Guards against a swap that overwrites another value because the service has assigned the expected revision again.
  it('does not accept an earlier revision that was assigned again', async () => {
    await store.put('a', 'lost')
    const { revision } = await read('a')
    service.restore(backup)
    service.put('a', 'of another node')
    await read('b').catch(() => {})
    assert.deepEqual(await store.compareAndSwap('a', revision, 'mine'), { kind: 'conflict', current: await read('a') })
    assert.equal((await read('a')).value, 'of another node')
  })

  // The same if the answer to the swap is the first to carry the new epoch.
  it('does not confirm a swap that was requested before the restore and carried out after it', async () => {
    const { revision } = await read('a')
    service.restore(backup)
    await assert.rejects(store.compareAndSwap('a', revision, 'mine'), (error: ServingError) => error.verdict === 'may-have-run')
  })

  // Guards against entries that are considered older than the state known before the restore.
  it('reports entries with higher revisions than before the restore', async () => {
    for (let index = 0; index < 10; index += 1) await store.put('a', `lost ${index}`)
    const { revision } = await read('a')
    service.restore(backup)
    assert.ok((await read('a')).revision > revision)
    assert.ok((await store.list('a')).revision > revision)
  })

  // Guards against a node that renews the lease of another node while its own record is lost.
  it('does not renew an earlier lease whose id was assigned again', async () => {
    const lease = await store.grantLease(5 * SECOND)
    service.restore(backup)
    const other = createDirectKeyValue(service, createFaultSwitch(clock, createRandom(2)), clock)
    await other.grantLease(5 * SECOND)
    assert.equal(await store.keepAlive(lease), 0)
    await assert.rejects(store.put('a', 'leased', { lease }), (error: ServingError) => error.code === 'gone' && error.verdict === 'not-run')
    await assert.rejects(store.compareAndSwap('c', ABSENT, 'leased', { lease }), (error: ServingError) => error.code === 'gone')
  })

  // Guards against missed changes, whose revisions are lower than the one that the watch waits for.
  it('ends earlier watches, including those that wait for changes', async () => {
    for (let index = 0; index < 10; index += 1) await store.put('a', `lost ${index}`)
    const { revision } = await store.list('a')
    const ending = new AbortController()
    const waiting = assert.rejects(async () => { for await (const changes of store.watch('a', revision + 1, ending.signal)) assert.deepEqual(changes, []) })
    await clock.advance(SECOND)
    service.restore(backup)
    await read('a')
    await clock.advance(10 * SECOND)
    await waiting
    for (let index = 0; index < 20; index += 1) service.put('a', `anew ${index}`)
    await assert.rejects(async () => { for await (const changes of store.watch('a', revision + 1, ending.signal)) assert.fail(`changes: ${changes.length}`) }, (error: ServingError) => error.code === 'gone')
  })
})
