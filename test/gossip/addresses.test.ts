import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { chooseAddresses } from '../../src/gossip/index.js'

const MOST = 64
const nodes = Array.from({ length: 195 }, (_, index) => ({ name: `front-${index}`, front: `10.1.0.${index}:80`, processor: index < 15 ? 1.35 : 0.324 }))
const callers = Array.from({ length: 260 }, (_, index) => `10.9.0.${index}`)

describe('the addresses that a caller is told', () => {
  it('are all of a small deployment', () => {
    assert.equal(chooseAddresses('a', nodes.slice(0, MOST), MOST).length, MOST)
  })

  // Callers read 64 addresses of an answer. All got the same first 64 of 195 nodes, which carried the whole load of five
  // failure domains, while two thirds of the nodes stood idle.
  it('spread the callers over all nodes, by what these can carry', () => {
    const load = new Map(nodes.map(({ front }) => [front, 0]))
    for (const caller of callers) {
      const named = chooseAddresses(caller, nodes, MOST)
      assert.equal(new Set(named).size, MOST)
      for (const front of named) load.set(front, load.get(front)! + 1 / MOST)
    }
    const loads = nodes.map(({ front }) => load.get(front)!)
    const mean = callers.length / nodes.length
    assert.ok(Math.max(...loads) < 3 * mean, `${Math.max(...loads)} of ${mean}`)
    assert.ok(Math.min(...loads) > mean / 2, `${Math.min(...loads)} of ${mean}`)
    const part = (from: number, to: number): number => loads.slice(from, to).reduce((sum, one) => sum + one, 0) / (to - from)
    assert.ok(part(0, 15) > 2 * part(15, 195))
  })

  // A caller drops the open connections to addresses that a new answer lacks; with each node that came or went, all did.
  it('stay the same but for the nodes that come or go', () => {
    for (const caller of callers.slice(0, 20)) {
      const before = chooseAddresses(caller, nodes, MOST)
      const after = new Set(chooseAddresses(caller, nodes.slice(1), MOST))
      assert.ok(before.filter((front) => !after.has(front)).length <= 1)
      assert.deepEqual(chooseAddresses(caller, [...nodes].reverse(), MOST), before)
    }
  })
})
