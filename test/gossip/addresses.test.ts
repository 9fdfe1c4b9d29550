import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { chooseAddresses } from '../../src/gossip/index.js'

const MAX_ADDRESSES = 64
const nodes = Array.from({ length: 195 }, (_, index) => ({ name: `front-${index}`, front: `10.1.0.${index}:80`, processor: index < 15 ? 1.35 : 0.324 }))
const callers = Array.from({ length: 260 }, (_, index) => `10.9.0.${index}`)

describe('the addresses that a caller gets', () => {
  it('are those of all nodes in a small deployment', () => {
    assert.equal(chooseAddresses('a', nodes.slice(0, MAX_ADDRESSES), MAX_ADDRESSES).length, MAX_ADDRESSES)
  })

  // Guards against idle nodes: callers use at most 64 addresses of an answer. If all callers get the same 64 of 195 nodes,
  // these carry the whole load of five failure domains and two thirds of the nodes are idle.
  it('spread the callers over all nodes in proportion to their capacity', () => {
    const load = new Map(nodes.map(({ front }) => [front, 0]))
    for (const caller of callers) {
      const chosen = chooseAddresses(caller, nodes, MAX_ADDRESSES)
      assert.equal(new Set(chosen).size, MAX_ADDRESSES)
      for (const front of chosen) load.set(front, load.get(front)! + 1 / MAX_ADDRESSES)
    }
    const loads = nodes.map(({ front }) => load.get(front)!)
    const mean = callers.length / nodes.length
    assert.ok(Math.max(...loads) < 3 * mean, `${Math.max(...loads)} of ${mean}`)
    assert.ok(Math.min(...loads) > mean / 2, `${Math.min(...loads)} of ${mean}`)
    const meanLoad = (from: number, to: number): number => loads.slice(from, to).reduce((sum, one) => sum + one, 0) / (to - from)
    assert.ok(meanLoad(0, 15) > 2 * meanLoad(15, 195))
  })

  // Guards against reconnection storms: a caller closes its connections to addresses that are missing from a new answer. If
  // the addresses change whenever a node joins or leaves, all callers reconnect.
  it('change only in the places of nodes that join or leave', () => {
    for (const caller of callers.slice(0, 20)) {
      const before = chooseAddresses(caller, nodes, MAX_ADDRESSES)
      const after = new Set(chooseAddresses(caller, nodes.slice(1), MAX_ADDRESSES))
      assert.ok(before.filter((front) => !after.has(front)).length <= 1)
      assert.deepEqual(chooseAddresses(caller, [...nodes].reverse(), MAX_ADDRESSES), before)
    }
  })
})
