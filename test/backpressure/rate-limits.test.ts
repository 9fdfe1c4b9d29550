/** Rate limits named by upstreams, enforced by many nodes that learn of them at different times. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRateLimits } from '../../src/backpressure/index.js'
import type { RateLimits } from '../../src/backpressure/index.js'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { incarnationOf } from '../../src/placement/index.js'

const INCARNATION = incarnationOf('i-1', 1)

/** Time after which the total must be within the limit, and the window in which it is counted. */
const BOUND_AFTER: Milliseconds = 3 * SECOND
const WINDOW: Milliseconds = 4 * SECOND
const STEP: Milliseconds = 50

const names = (count: number): string[] => Array.from({ length: count }, (_, index) => `node-${index}`)

function createNodes (count: number): RateLimits[] {
  return names(count).map((name) => {
    const limits = createRateLimits(name)
    limits.setNodes(names(count), 0)
    return limits
  })
}

/** Lets every node send whenever it is allowed to. @returns the times of the requests */
function dispatchAll (nodes: readonly RateLimits[], from: Milliseconds, to: Milliseconds, before: (now: Milliseconds) => void = () => {}): Milliseconds[] {
  const arrivals: Milliseconds[] = []
  for (let now = from; now < to; now += STEP) {
    before(now)
    for (const node of nodes) {
      if (!node.allows(INCARNATION, now)) continue
      node.taken(INCARNATION, now)
      arrivals.push(now)
    }
  }
  return arrivals
}

function maxIn (arrivals: readonly Milliseconds[], window: Milliseconds): number {
  return Math.max(0, ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + window).length))
}

describe('rate limits named by upstreams', () => {
  const rates = fc.oneof(fc.double({ min: 0.2, max: 40, noNaN: true }), fc.constantFrom(0.5, 1, 2, 10))

  it('hold in any window over all nodes, although nodes learn of them at different times and all send as often as allowed', () => {
    fc.assert(fc.property(rates, fc.integer({ min: 1, max: 90 }), fc.array(fc.nat(2 * SECOND), { minLength: 90, maxLength: 90 }), (rate, count, heardAt) => {
      const nodes = createNodes(count)
      const informed = new Set<RateLimits>()
      const arrivals = dispatchAll(nodes, 0, 20 * SECOND, (now) => {
        nodes.forEach((node, index) => {
          if (informed.has(node) || now < heardAt[index]!) return
          informed.add(node)
          node.heard(INCARNATION, rate, now, now)
        })
      })
      const busiest = maxIn(arrivals.filter((at) => at >= BOUND_AFTER), WINDOW)
      assert.ok(busiest <= 1.5 * rate * WINDOW / SECOND + 5, `${busiest} requests of ${count} nodes at ${rate} a second`)
    }), { seed: 35, numRuns: 60 })
  })

  it('are used to at least half when all nodes have requests', () => {
    fc.assert(fc.property(rates, fc.integer({ min: 1, max: 90 }), (rate, count) => {
      const nodes = createNodes(count)
      for (const node of nodes) node.heard(INCARNATION, rate, 0, 0)
      const arrivals = dispatchAll(nodes, 0, 60 * SECOND)
      assert.ok(arrivals.length >= 0.5 * rate * 60 - nodes.length, `${arrivals.length} requests of ${count} nodes at ${rate} a second`)
    }), { seed: 35, numRuns: 60 })
  })

  // Guards against exceeding the limit several times over: node records expire while the store is unavailable and
  // come back one by one, and each node that sees few others takes too large a share.
  it('hold while node records expire and come back', () => {
    const nodes = createNodes(40)
    for (const node of nodes) node.heard(INCARNATION, 10, 0, 0)
    const arrivals = dispatchAll(nodes, 0, 20 * SECOND, (now) => {
      const back = now < 8 * SECOND || now > 12 * SECOND ? 40 : Math.floor((now - 8 * SECOND) / 100)
      nodes.forEach((node, index) => node.setNodes([...new Set([...names(back), `node-${index}`])], now))
    })
    assert.ok(maxIn(arrivals.filter((at) => at >= BOUND_AFTER), WINDOW) <= 1.5 * 10 * 4 + 5)
  })

  it('reach other nodes through reports, and are lifted there by the most recent report', () => {
    const [first, second, third] = createNodes(3) as [RateLimits, RateLimits, RateLimits]
    first.heard(INCARNATION, 1, 0, 0)
    second.observe([first.told(500)], 500)
    assert.equal(second.allows(INCARNATION, 500), false)
    assert.deepEqual(second.told(500), {}, 'only limits learnt from the upstream itself are reported')
    third.heard(INCARNATION, 1, 400, 600)
    first.heard(INCARNATION, undefined, 4_000, 4_100)
    second.observe([third.told(4_300), first.told(4_300)], 4_300)
    assert.deepEqual(second.all(), [])
    assert.deepEqual(third.all(), [INCARNATION], 'it has not received the lifted limit')
  })

  // Guards against an upstream that stays idle after its limit was lifted: a node without a share learnt the limit
  // itself just before it was lifted, gave its own knowledge precedence over the report, and never sent a request
  // that would have shown the change.
  it('are lifted on all nodes even if one learnt of them just before', () => {
    const [first, second] = createNodes(9) as [RateLimits, RateLimits]
    second.heard(INCARNATION, 1, 900, 1_000)
    first.heard(INCARNATION, 1, 900, 1_000)
    first.heard(INCARNATION, undefined, 1_100, 1_200)
    for (let now = 1_400; now < 20 * SECOND; now += 400) {
      first.heard(INCARNATION, undefined, now - 100, now)
      second.observe([first.told(now)], now)
    }
    assert.deepEqual(second.all(), [])
  })

  // Guards against an idle upstream: the nodes with a share have no requests, and the other nodes wait for reports
  // from them.
  it('are probed by each node in turn when no response names them any more', () => {
    const nodes = createNodes(20)
    for (const node of nodes) node.heard(INCARNATION, 1, 0, 0)
    const idle = nodes.filter((node) => !node.allows(INCARNATION, 9 * SECOND))
    assert.ok(idle.length > 10)
    const arrivals = dispatchAll(idle, 0, 120 * SECOND)
    assert.ok(arrivals.length > 0, 'no node has probed the upstream')
    assert.ok(maxIn(arrivals, WINDOW) <= 1.5 * WINDOW / SECOND + 5)
  })

  // Guards against losing a limit as soon as it is named: the answer to an earlier request arrives late and names
  // none.
  it('are not lifted by a response to an earlier request', () => {
    const limits = createRateLimits('node-0')
    limits.setNodes(['node-0'], 0)
    limits.heard(INCARNATION, 1, 900, 1_000)
    assert.equal(limits.heard(INCARNATION, undefined, 950, 1_050), undefined)
    assert.equal(limits.allows(INCARNATION, 1_100), false)
    assert.deepEqual(limits.heard(INCARNATION, undefined, 1_010, 1_100), { incarnation: INCARNATION, limit: undefined })
    assert.equal(limits.allows(INCARNATION, 1_100), true)
  })

  it('of zero allow an occasional request, so that a raised limit is noticed', () => {
    const nodes = createNodes(9)
    for (const node of nodes) node.heard(INCARNATION, 0, 0, 0)
    const arrivals = dispatchAll(nodes, 0, 60 * SECOND)
    assert.ok(arrivals.length > 0 && maxIn(arrivals, WINDOW) <= 5, `${arrivals.length} requests`)
  })

  it('are not assigned to a node before it knows the list of nodes', () => {
    const limits = createRateLimits('node-0')
    limits.heard(INCARNATION, 5, 0, 0)
    assert.equal(limits.allows(INCARNATION, 60 * SECOND), false)
    assert.equal(limits.wait(INCARNATION, 0), 200)
  })
})
