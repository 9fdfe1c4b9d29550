/** Limits that upstreams name, kept by many nodes that hear of them late and of each other later. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRateLimits } from '../../src/backpressure/index.js'
import type { RateLimits } from '../../src/backpressure/index.js'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { lifeOf } from '../../src/placement/index.js'

const LIFE = lifeOf('i-1', 1)

/** Time after which the sum is bound, and the window in which it counts. */
const BOUND_AFTER: Milliseconds = 3 * SECOND
const WINDOW: Milliseconds = 4 * SECOND
const STEP: Milliseconds = 50

const names = (count: number): string[] => Array.from({ length: count }, (_, index) => `node-${index}`)

function createNodes (count: number): RateLimits[] {
  return names(count).map((name) => {
    const limits = createRateLimits(name)
    limits.deal(names(count), 0)
    return limits
  })
}

/** Sends whenever a node may. @returns when requests arrived */
function sendAll (nodes: readonly RateLimits[], from: Milliseconds, to: Milliseconds, before: (now: Milliseconds) => void = () => {}): Milliseconds[] {
  const arrivals: Milliseconds[] = []
  for (let now = from; now < to; now += STEP) {
    before(now)
    for (const node of nodes) {
      if (!node.allows(LIFE, now)) continue
      node.taken(LIFE, now)
      arrivals.push(now)
    }
  }
  return arrivals
}

function mostIn (arrivals: readonly Milliseconds[], window: Milliseconds): number {
  return Math.max(0, ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + window).length))
}

describe('limits that upstreams name', () => {
  const rates = fc.oneof(fc.double({ min: 0.2, max: 40, noNaN: true }), fc.constantFrom(0.5, 1, 2, 10))

  it('hold in any window over all nodes, though each hears of them at another time and all ask as often as they may', () => {
    fc.assert(fc.property(rates, fc.integer({ min: 1, max: 90 }), fc.array(fc.nat(2 * SECOND), { minLength: 90, maxLength: 90 }), (rate, count, heardAt) => {
      const nodes = createNodes(count)
      const told = new Set<RateLimits>()
      const arrivals = sendAll(nodes, 0, 20 * SECOND, (now) => {
        nodes.forEach((node, index) => {
          if (told.has(node) || now < heardAt[index]!) return
          told.add(node)
          node.heard(LIFE, rate, now, now)
        })
      })
      const most = mostIn(arrivals.filter((at) => at >= BOUND_AFTER), WINDOW)
      assert.ok(most <= 1.5 * rate * WINDOW / SECOND + 5, `${most} requests of ${count} nodes at ${rate} a second`)
    }), { seed: 35, numRuns: 60 })
  })

  it('are used by half at least where all nodes have requests', () => {
    fc.assert(fc.property(rates, fc.integer({ min: 1, max: 90 }), (rate, count) => {
      const nodes = createNodes(count)
      for (const node of nodes) node.heard(LIFE, rate, 0, 0)
      const arrivals = sendAll(nodes, 0, 60 * SECOND)
      assert.ok(arrivals.length >= 0.5 * rate * 60 - nodes.length, `${arrivals.length} requests of ${count} nodes at ${rate} a second`)
    }), { seed: 35, numRuns: 60 })
  })

  // An upstream in need gets many times its limit: the nodes' records lapse while the store is away and come back one by
  // one, and each node that sees few others takes a part of its own.
  it('hold while the records of nodes lapse and come back', () => {
    const nodes = createNodes(40)
    for (const node of nodes) node.heard(LIFE, 10, 0, 0)
    const arrivals = sendAll(nodes, 0, 20 * SECOND, (now) => {
      const back = now < 8 * SECOND || now > 12 * SECOND ? 40 : Math.floor((now - 8 * SECOND) / 100)
      nodes.forEach((node, index) => node.deal([...new Set([...names(back), `node-${index}`])], now))
    })
    assert.ok(mostIn(arrivals.filter((at) => at >= BOUND_AFTER), WINDOW) <= 1.5 * 10 * 4 + 5)
  })

  it('reach nodes that never heard of them, and are lifted there by the latest word', () => {
    const [first, second, third] = createNodes(3) as [RateLimits, RateLimits, RateLimits]
    first.heard(LIFE, 1, 0, 0)
    second.observe([first.told(500)], 500)
    assert.equal(second.allows(LIFE, 500), false)
    assert.deepEqual(second.told(500), {}, 'what is told is what was heard from the upstream')
    third.heard(LIFE, 1, 400, 600)
    first.heard(LIFE, undefined, 4_000, 4_100)
    second.observe([third.told(4_300), first.told(4_300)], 4_300)
    assert.deepEqual(second.all(), [])
    assert.deepEqual(third.all(), [LIFE], 'it has not heard of the end')
  })

  // An upstream that is well again stands idle: a node that isn't one of its senders had heard the limit itself just before it was
  // lifted, took its own word for the later one, and never sent a request that could have shown it.
  it('are lifted everywhere though a node heard of them just before', () => {
    const [first, second] = createNodes(9) as [RateLimits, RateLimits]
    second.heard(LIFE, 1, 900, 1_000)
    first.heard(LIFE, 1, 900, 1_000)
    first.heard(LIFE, undefined, 1_100, 1_200)
    for (let now = 1_400; now < 20 * SECOND; now += 400) {
      first.heard(LIFE, undefined, now - 100, now)
      second.observe([first.told(now)], now)
    }
    assert.deepEqual(second.all(), [])
  })

  // The same upstream stands idle: those that may send to it have no requests, and the others wait for word from them.
  it('are tried by each node now and then where nobody hears of them any more', () => {
    const nodes = createNodes(20)
    for (const node of nodes) node.heard(LIFE, 1, 0, 0)
    const idle = nodes.filter((node) => !node.allows(LIFE, 9 * SECOND))
    assert.ok(idle.length > 10)
    const arrivals = sendAll(idle, 0, 120 * SECOND)
    assert.ok(arrivals.length > 0, 'nobody has asked it')
    assert.ok(mostIn(arrivals, WINDOW) <= 1.5 * WINDOW / SECOND + 5)
  })

  // A limit is forgotten the moment it is named: the answer to a request from before comes late and names none.
  it('are not lifted by an answer from before', () => {
    const limits = createRateLimits('node-0')
    limits.deal(['node-0'], 0)
    limits.heard(LIFE, 1, 900, 1_000)
    assert.equal(limits.heard(LIFE, undefined, 950, 1_050), undefined)
    assert.equal(limits.allows(LIFE, 1_100), false)
    assert.deepEqual(limits.heard(LIFE, undefined, 1_010, 1_100), { life: LIFE, pace: undefined })
    assert.equal(limits.allows(LIFE, 1_100), true)
  })

  it('of nothing let one request through now and then, so that somebody hears of their end', () => {
    const nodes = createNodes(9)
    for (const node of nodes) node.heard(LIFE, 0, 0, 0)
    const arrivals = sendAll(nodes, 0, 60 * SECOND)
    assert.ok(arrivals.length > 0 && mostIn(arrivals, WINDOW) <= 5, `${arrivals.length} requests`)
  })

  it('leave a node without records of others alone', () => {
    const limits = createRateLimits('node-0')
    limits.heard(LIFE, 5, 0, 0)
    assert.equal(limits.allows(LIFE, 60 * SECOND), false)
    assert.equal(limits.wait(LIFE, 0), 200)
  })
})
