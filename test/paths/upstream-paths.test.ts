import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import * as fc from 'fast-check'
import { createRelayPeers, createUpstreamPaths } from '../../src/paths/index.js'
import type { RelayNode } from '../../src/paths/index.js'
import type { UpstreamIncarnation } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'

const [first, second, third] = ['u-1', 'u-2', 'u-3'] as UpstreamIncarnation[]

describe('the paths of a node', () => {
  it('are relayed from the first connection that only another node could open, until a direct one opens', () => {
    const paths = createUpstreamPaths()
    assert.equal(paths.isRelayed(first!), false)
    assert.equal(paths.relayOpened(first!, 10), true)
    assert.equal(paths.relayOpened(first!, 20), false)
    assert.equal(paths.isRelayed(first!), true)
    assert.deepEqual(paths.directOpened(first!)?.since, 10)
    assert.equal(paths.isRelayed(first!), false)
    assert.equal(paths.directOpened(first!), undefined)
  })

  // Guards against losing one request on each idle connection: all of them hang when the node's own link is lost.
  it('make older connections to all upstreams doubtful when two paths are lost within three seconds, and not when one is', () => {
    const paths = createUpstreamPaths()
    paths.relayOpened(first!, 1_000)
    assert.equal(paths.isDoubtful(0), false)
    paths.relayOpened(second!, 4_500)
    assert.equal(paths.isDoubtful(4_499), false)
    paths.relayOpened(third!, 4_600)
    assert.equal(paths.isDoubtful(4_599), true)
    assert.equal(paths.isDoubtful(4_600), false)
  })

  it('are tested in turn while they are lost, and forgotten with their upstreams', () => {
    const paths = createUpstreamPaths()
    assert.equal(paths.nextToTest(0), undefined)
    paths.relayOpened(first!, 1)
    paths.relayOpened(second!, 2)
    assert.deepEqual([3, 4, 5].map((now) => paths.nextToTest(now)?.incarnation), [first, second, first])
    paths.retainOnly(new Set([second!]))
    assert.deepEqual(paths.lost().map(({ incarnation }) => incarnation), [second])
  })

  it('give a direct connection less time alone while others are lost', () => {
    const paths = createUpstreamPaths()
    const usual = paths.headStart()
    paths.relayOpened(first!, 0)
    assert.ok(paths.headStart() < usual)
  })
})

describe('the nodes that are asked to relay', () => {
  const node = (name: string, failureDomain = 'a'): RelayNode => ({ name, failureDomain, peer: `${name}:1` })
  const nowhere = new Set<string>()

  it('are some of the given ones, each once, and those that failed recently only after all others', () => {
    fc.assert(fc.property(fc.uniqueArray(fc.string(), { maxLength: 20 }), fc.subarray(['a', 'b', 'c']), fc.nat(), fc.nat({ max: 1_999 }), (names, nearby, seed, age) => {
      const relays = createRelayPeers(createRandom(seed))
      const failing = new Set(names.filter((_name, index) => index % 2 === 0))
      for (const name of failing) relays.failed(name, 0)
      const order = relays.order(names.map((name, index) => node(name, 'abc'[index % 3])), new Set(nearby), age).map(({ name }) => name)
      assert.equal(new Set(order).size, order.length)
      assert.ok(order.every((name) => names.includes(name)))
      assert.equal(order.length, Math.min(5, names.length))
      const firstFailing = order.findIndex((name) => failing.has(name))
      if (firstFailing >= 0) assert.ok(order.slice(firstFailing).every((name) => failing.has(name)))
    }), { seed: 1 })
  })

  // Guards against relayed bytes that cross failure domains twice, and against asking only nodes of a domain that lost all paths.
  it('begin with one of a nearby failure domain, if one has not failed, and go on with any', () => {
    const nodes = [...'abcdefgh'].map((name) => node(name, name < 'd' ? 'near' : 'far'))
    const relays = createRelayPeers(createRandom(1))
    const orders = Array.from({ length: 50 }, () => relays.order(nodes, new Set(['near']), 0))
    assert.ok(orders.every(([first]) => first?.failureDomain === 'near'))
    assert.ok(orders.every((order) => order.some(({ failureDomain }) => failureDomain === 'far')))
    for (const name of 'abc') relays.failed(name, 0)
    assert.ok(relays.order(nodes, new Set(['near']), 1).every(({ failureDomain }) => failureDomain === 'far'))
  })

  it('are asked as before once they have relayed, or two seconds after they failed', () => {
    const relays = createRelayPeers(createRandom(1))
    const firstOf = (now: number): Set<string | undefined> => new Set(Array.from({ length: 50 }, () => relays.order([node('a'), node('b')], nowhere, now)[0]?.name))
    relays.failed('a', 0)
    assert.deepEqual(firstOf(1_999), new Set(['b']))
    assert.equal(firstOf(2_000).size, 2)
    relays.failed('b', 3_000)
    relays.succeeded('b')
    assert.equal(firstOf(3_001).size, 2)
  })
})
