import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createReplica } from '../../src/gateway/replica.js'
import type { Replica } from '../../src/gateway/replica.js'
import type { KeyValueEntry } from '../../src/protocols/key-value.js'

/** A copy, and what its follower has been told of. */
function follow (): { readonly replica: Replica, readonly told: Map<string, number> } {
  const told = new Map<string, number>()
  const replica = createReplica({
    replace: (entries) => {
      told.clear()
      for (const { key, revision } of entries) told.set(key, revision)
    },
    put: ({ key, revision }) => { told.set(key, revision) },
    remove: (key) => { told.delete(key) }
  })
  return { replica, told }
}

describe('a copy of a prefix that is passed on', () => {
  // A member has read the store itself, hears of two aggregators in turn, each some changes behind, and takes the end of
  // an upstream's life for the end of the next one.
  it('ends as the store stands, whoever passes what on, and in which order', () => {
    const step = fc.record({ key: fc.integer({ min: 0, max: 5 }), kind: fc.constantFrom('put', 'put', 'remove', 'hear-a', 'hear-b', 'tell-a', 'tell-b', 'list'), count: fc.integer({ min: 1, max: 4 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 120, size: 'max' }), (steps) => {
      const store = new Map<string, KeyValueEntry>()
      const history: (KeyValueEntry | { readonly key: string, readonly revision: number })[] = []
      const aggregators = { a: { ...follow(), at: 0 }, b: { ...follow(), at: 0 } }
      const member = follow()
      let revision = 1
      for (const name of ['a', 'b'] as const) aggregators[name].replica.replaceAt([], revision)

      const hear = (name: 'a' | 'b', count: number): void => {
        const one = aggregators[name]
        for (const change of history.slice(one.at, one.at + count)) {
          if ('value' in change) one.replica.put(change)
          else one.replica.remove(change.key, change.revision)
        }
        one.at = Math.min(history.length, one.at + count)
      }
      const tell = (name: 'a' | 'b'): void => {
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
          case 'hear-a': hear('a', count); break
          case 'hear-b': hear('b', count); break
          case 'tell-a': tell('a'); break
          case 'tell-b': tell('b'); break
          case 'list': member.replica.replaceAt([...store.values()], revision)
        }
      }
      hear('a', history.length)
      tell('a')
      assert.deepEqual(new Map([...member.told].sort()), new Map([...store.values()].map((entry) => [entry.key, entry.revision] as const).sort()))
    }), { numRuns: 300 })
  })

  it('is passed on whole to one that lacks removals which are not remembered any more', () => {
    const { replica } = follow()
    replica.replaceAt([{ key: 'old', value: '', revision: 1 }], 1)
    for (let revision = 2; revision < 1_200; revision += 2) {
      replica.put({ key: `k${revision}`, value: '', revision })
      replica.remove(`k${revision}`, revision + 1)
    }
    assert.deepEqual(replica.since(1), { revision: 1_199, isWhole: true, entries: [{ key: 'old', value: '', revision: 1 }], removed: [] })
    assert.equal(replica.since(1_190).isWhole, false)
  })
})
