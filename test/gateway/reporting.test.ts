/** Members and aggregators that talk through their links in one process, with a clock that the test moves. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { keepGossip } from '../../src/gateway/gossip-keeper.js'
import type { GossipKeeper } from '../../src/gateway/gossip-keeper.js'
import { pack, unpack } from '../../src/gateway/packing.js'
import type { PeerLink, ReadingNote } from '../../src/gateway/peer-link.js'
import { lifeOf } from '../../src/placement/index.js'
import { createReachablePeers } from '../../src/gateway/reachable-peers.js'
import { createRelay } from '../../src/gateway/relay.js'
import { createReporting } from '../../src/gateway/reporting.js'
import type { Reporting } from '../../src/gateway/reporting.js'
import { createSharedWall, gossipMessageSchema, memberMessageSchema } from '../../src/gossip/index.js'
import type { NodeState } from '../../src/gossip/index.js'
import { createRandom } from '../../src/random.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

function stateOf (name: string, demand: number): NodeState {
  return { name, incarnation: `${name}-1`, sequence: 1, failureDomain: 'a', front: `${name}:1`, peer: name, processor: 1, nodes: 1, ready: true, configuration: 0, demand: { tejo: demand }, granted: {}, inFlight: {}, work: {}, speeds: {}, crashes: {}, rollouts: {}, limits: {}, departures: [], usage: {} }
}

function createFleet () {
  const clock = createManualClock()
  const { signal } = new AbortController()
  const aggregators = new Map<string, GossipKeeper>()
  const dead = new Set<string>()
  /** Nodes that were told of a long prompt. */
  const noted: string[] = []

  function link (address: string): PeerLink {
    const answers = (): GossipKeeper['answers'] => {
      if (dead.has(address)) throw new Error('connection refused')
      return aggregators.get(address)!.answers
    }
    return {
      exchange: { mutate: async (text: string) => pack(answers().exchange(unpack(gossipMessageSchema, text))) },
      report: { mutate: async (text: string) => pack(answers().report(unpack(memberMessageSchema, text))) },
      reading: {
        mutate: async (note: ReadingNote) => {
          noted.push(address)
          aggregators.get(address)?.passReading(note)
        }
      }
    } as unknown as PeerLink
  }

  function startAggregator (name: string, demand: number): void {
    aggregators.set(name, keepGossip({
      incarnation: `${name}-1`,
      wall: createSharedWall(),
      clock,
      random: createRandom(1),
      log: LOG,
      signal,
      link,
      reachable: createReachablePeers(clock, LOG, signal),
      describe: () => stateOf(name, demand),
      ownAddress: name,
      ownConfiguration: () => 0,
      addresses: () => [...aggregators.keys()],
      configuration: () => undefined,
      offerConfiguration: () => {},
      newsFor: () => [],
      heard: () => {}
    }))
  }

  function startMember (name: string, demand: number): Reporting {
    return createReporting({
      clock,
      signal,
      wall: createSharedWall(),
      relay: createRelay(clock),
      reachable: createReachablePeers(clock, LOG, signal),
      link,
      describe: () => ({ ...stateOf(name, demand), sequence: Math.round(clock.now()) + 1 }),
      fetchConfiguration: async () => {},
      heard: () => {}
    })
  }

  async function exchangeAll (): Promise<void> {
    for (const aggregator of aggregators.values()) aggregator.exchangeOnce()
    await clock.advance(100)
  }

  return { clock, aggregators, dead, noted, startAggregator, startMember, exchangeAll }
}

describe('reports of members', () => {
  it('bring each node the sums of all others, itself left out', async () => {
    const fleet = createFleet()
    fleet.startAggregator('a', 1)
    fleet.startAggregator('b', 10)
    const members = [fleet.startMember('m', 100), fleet.startMember('n', 1_000), fleet.startMember('o', 10_000)]
    const homes = [['a'], ['a'], ['b']]
    for (let round = 0; round < 3; round += 1) {
      for (const [index, member] of members.entries()) assert.equal(await member.report(homes[index]!), homes[index]![0])
      await fleet.exchangeAll()
    }
    for (const [index, member] of members.entries()) await member.report(homes[index]!)
    assert.deepEqual(members.map((member) => member.others()?.demand.tejo), [11_011, 10_111, 1_111])
    assert.deepEqual(members.map((member) => member.others()?.nodes), [4, 4, 4])
    const heard = [...fleet.aggregators.get('a')!.table.live(fleet.clock.now()), ...fleet.aggregators.get('a')!.members.live(fleet.clock.now())]
    assert.equal(heard.reduce((sum, report) => sum + report.demand.tejo!, 0), 11_110)
  })

  // The aggregator of a failure domain loses power. Its members went on by loads that were seconds old, or each took the
  // whole of what all nodes may use together, until its record had lapsed.
  it('go to the next aggregator at once when the first is gone, and come back to neither while both are', async () => {
    const fleet = createFleet()
    fleet.startAggregator('a', 1)
    fleet.startAggregator('b', 10)
    const member = fleet.startMember('m', 100)
    assert.equal(await member.report(['a', 'b']), 'a')
    fleet.dead.add('a')
    assert.equal(await member.report(['a', 'b']), 'b', 'the second answers in the same turn')
    assert.ok(member.isAttached())
    fleet.dead.add('b')
    assert.equal(await member.report(['a', 'b']), undefined)
    await fleet.clock.advance(2 * SECOND)
    assert.equal(member.isAttached(), false, 'it acts as an aggregator itself')
    await fleet.clock.advance(2 * SECOND)
    assert.equal(member.others(), undefined, 'what it was told is too old')
  })

  it('reach all nodes but the sender once, where one tells of a long prompt', async () => {
    const fleet = createFleet()
    fleet.startAggregator('a', 1)
    fleet.startAggregator('b', 1)
    const homes = { m: 'a', n: 'a', o: 'b', p: 'b' }
    for (const [name, home] of Object.entries(homes)) await fleet.startMember(name, 1).report([home])
    fleet.aggregators.get('a')!.passReading({ from: 'm-1', upstream: lifeOf('i-1', undefined), reading: 900, passTo: 'all' })
    await fleet.clock.advance(100)
    assert.deepEqual([...fleet.noted].sort(), ['b', 'n', 'o', 'p'])
  })
})
