/** Copies of a prefix that nodes build from the store and from each other's updates. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createPrefixReplica } from '../../src/gateway/replica.js'
import type { PrefixReplica } from '../../src/gateway/replica.js'
import type { KeyValueEntry } from '../../src/protocols/key-value.js'

/** A copy, and the revisions by key that its handler has received. */
function createFollowedCopy (): { readonly replica: PrefixReplica, readonly told: Map<string, number> } {
  const received = new Map<string, number>()
  const replica = createPrefixReplica({
    replace: (entries) => {
      received.clear()
      for (const { key, revision } of entries) received.set(key, revision)
    },
    put: ({ key, revision }) => { received.set(key, revision) },
    remove: (key) => { received.delete(key) }
  })
  return { replica, told: received }
}

describe('a copy of a prefix that is shared with other nodes', () => {
  // Guards against a member that removes the entry of an upstream's present incarnation when it receives the removal of the
  // previous incarnation. The member has read the store itself and receives updates from two aggregators that lag behind.
  it('ends with the content of the store, whichever aggregators send updates in whichever order', () => {
    const step = fc.record({ key: fc.integer({ min: 0, max: 5 }), kind: fc.constantFrom('put', 'put', 'remove', 'hear-a', 'hear-b', 'tell-a', 'tell-b', 'list'), count: fc.integer({ min: 1, max: 4 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => {
      const store = new Map<string, KeyValueEntry>()
      const history: (KeyValueEntry | { readonly key: string, readonly revision: number })[] = []
      const aggregators = { a: { ...createFollowedCopy(), at: 0 }, b: { ...createFollowedCopy(), at: 0 } }
      const member = createFollowedCopy()
      let revision = 1
      for (const name of ['a', 'b'] as const) aggregators[name].replica.replaceAt([], revision)

      const deliverChanges = (name: 'a' | 'b', count: number): void => {
        const aggregator = aggregators[name]
        for (const change of history.slice(aggregator.at, aggregator.at + count)) {
          if ('value' in change) aggregator.replica.put(change)
          else aggregator.replica.remove(change.key, change.revision)
        }
        aggregator.at = Math.min(history.length, aggregator.at + count)
      }
      const sendUpdate = (name: 'a' | 'b'): void => {
        const { replica } = aggregators[name]
        member.replica.apply({ prefix: '', age: 0, ...replica.since(member.replica.revision()) })
      }
      for (const { key: number, kind, count } of steps) {
        const key = `key-${number}`
        switch (kind) {
          case 'put':
            revision += 1
            store.set(key, { key, value: String(revision), revision })
            history.push(store.get(key)!)
            break
          case 'remove':
            if (!store.delete(key)) break
            revision += 1
            history.push({ key, revision })
            break
          case 'hear-a': deliverChanges('a', count); break
          case 'hear-b': deliverChanges('b', count); break
          case 'tell-a': sendUpdate('a'); break
          case 'tell-b': sendUpdate('b'); break
          case 'list': member.replica.replaceAt([...store.values()], revision)
        }
      }
      deliverChanges('a', history.length)
      sendUpdate('a')
      assert.deepEqual(new Map([...member.told].sort()), new Map([...store.values()].map((entry) => [entry.key, entry.revision] as const).sort()))
    }), { numRuns: 300 })
  })

  it('is sent as a whole to a node that lacks removals which are no longer kept', () => {
    const { replica } = createFollowedCopy()
    replica.replaceAt([{ key: 'old', value: '', revision: 1 }], 1)
    for (let revision = 2; revision < 1_200; revision += 2) {
      replica.put({ key: `k${revision}`, value: '', revision })
      replica.remove(`k${revision}`, revision + 1)
    }
    assert.deepEqual(replica.since(1), { revision: 1_199, isWhole: true, entries: [{ key: 'old', value: '', revision: 1 }], removed: [] })
    assert.equal(replica.since(1_190).isWhole, false)
  })
})
