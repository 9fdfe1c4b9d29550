import assert from 'node:assert/strict'
import { it } from 'node:test'
import { evictOldest } from '../src/evict-oldest.js'

it('the oldest entry of a map or set is removed when there are more than the maximum', () => {
  const names = new Set(['a', 'b'])
  evictOldest(names, 2)
  assert.deepEqual([...names], ['a', 'b'])
  evictOldest(names, 1)
  assert.deepEqual([...names], ['b'])
  const counts = new Map([['a', 1], ['b', 2]])
  evictOldest(counts, 1)
  assert.deepEqual([...counts.keys()], ['b'])
})
