import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { MAX_FULL_MESH_NODES, aggregatorOrderFor, pickAggregators } from '../../src/gossip/index.js'
import type { AggregatorCandidate } from '../../src/gossip/index.js'

const nodes = (count: number, processor: (index: number) => number = () => 0.324): AggregatorCandidate[] =>
  Array.from({ length: count }, (_, index) => ({ name: `front-${index}`, failureDomain: `domain-${index % 5}`, processor: processor(index) }))

describe('aggregators', () => {
  it('are all nodes in a small deployment', () => {
    assert.equal(pickAggregators(nodes(MAX_FULL_MESH_NODES)).length, MAX_FULL_MESH_NODES)
    assert.ok(pickAggregators(nodes(MAX_FULL_MESH_NODES + 1)).length < MAX_FULL_MESH_NODES)
  })

  it('are few, and the same for any order of the records', () => {
    fc.assert(fc.property(fc.shuffledSubarray(nodes(400), { minLength: MAX_FULL_MESH_NODES + 1 }), (known) => {
      const picked = pickAggregators(known).map(({ name }) => name).sort()
      const other = pickAggregators([...known].reverse()).map(({ name }) => name).sort()
      assert.deepEqual(picked, other)
      assert.ok(picked.length * 24 >= known.length && picked.length <= Math.max(4, known.length / 24 + 1))
    }))
  })

  it('are in all failure domains and on the larger instances', () => {
    const picked = pickAggregators(nodes(195, (index) => index < 15 ? 1.35 : 0.324))
    assert.equal(new Set(picked.map(({ failureDomain }) => failureDomain)).size, 5)
    assert.ok(picked.every(({ processor }) => processor === 1.35))
  })

  it('share the members evenly, and each member prefers its own failure domain', () => {
    const all = nodes(200)
    const picked = pickAggregators(all)
    const members = new Map<string, number>()
    for (const node of all) {
      const [first] = aggregatorOrderFor(node, picked)
      members.set(first!.name, (members.get(first!.name) ?? 0) + 1)
      if (picked.some(({ failureDomain }) => failureDomain === node.failureDomain)) assert.equal(first!.failureDomain, node.failureDomain)
    }
    assert.ok(Math.max(...members.values()) <= 45, JSON.stringify([...members]))
  })
})
