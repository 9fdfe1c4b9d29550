import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import * as fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { ASKED_HOLDERS, createOriginRecords, createServiceVersions, pickHolders, RECORD_HOLDERS } from '../../src/stream-origins/index.js'
import type { HolderCandidate } from '../../src/stream-origins/index.js'

const origin = { service: 'plans', version: 'v1' }
const otherOrigin = { service: 'plans', version: 'v2' }

/** Two thirds of a deployment's nodes may be killed at once. */
const KILLED_FRACTION = 2 / 3

/** Streams that are resumed are to go on at least half as often as new ones begin. */
const MIN_RESUMED_FRACTION = 1 / 2
const STREAMS = 400

function createNodes (count: number): HolderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ incarnation: `node-${index}`, failureDomain: `zone-${index % 3}` }))
}

describe('records of the origins of streams', () => {
  it('keep the first origin of a stream', () => {
    const records = createOriginRecords()
    records.put('s', origin, 0)
    records.put('s', otherOrigin, 1)
    assert.deepEqual(records.find('s', 2), origin)
  })

  it('end a minute after the stream began, and are removed then', () => {
    const records = createOriginRecords()
    records.put('s', origin, 0)
    assert.equal(records.find('s', 61 * SECOND), undefined)
    records.put('t', origin, 61 * SECOND)
    assert.equal(records.size(), 1)
  })
})

describe('the holders of a record', () => {
  it('are the same for all nodes that know the same nodes, and in different failure domains', () => {
    fc.assert(fc.property(fc.string({ minLength: 1 }), fc.integer({ min: 3, max: 80 }), (stream, count) => {
      const nodes = createNodes(count)
      const holders = pickHolders(stream, nodes, RECORD_HOLDERS)
      assert.deepEqual(pickHolders(stream, [...nodes].reverse(), RECORD_HOLDERS), holders)
      assert.equal(new Set(holders.map(({ failureDomain }) => failureDomain)).size, Math.min(3, count))
    }), { seed: 1 })
  })

  // Guards against records that are never asked for: the node that sends them leaves itself out, and so does the node that asks.
  it('are among the nodes that are asked, whichever two nodes send and ask', () => {
    fc.assert(fc.property(fc.string({ minLength: 1 }), fc.integer({ min: 4, max: 30 }), fc.nat(), fc.nat(), (stream, count, senderIndex, askerIndex) => {
      const nodes = createNodes(count)
      const sender = nodes[senderIndex % count]
      const asker = nodes[askerIndex % count]
      const holders = pickHolders(stream, nodes.filter((node) => node !== sender), RECORD_HOLDERS).filter((node) => node !== asker)
      const asked = pickHolders(stream, nodes.filter((node) => node !== asker), ASKED_HOLDERS)
      assert.ok(holders.every((holder) => asked.includes(holder)))
    }), { seed: 2, numRuns: 500 })
  })

  // Guards against losing most streams with the nodes that held their records.
  it('leave at least half of the streams a holder when two thirds of the nodes are killed', () => {
    fc.assert(fc.property(fc.integer({ min: 9, max: 80 }), fc.infiniteStream(fc.nat()), (count, random) => {
      const nodes = createNodes(count)
      const killed = new Set(nodes.map((node) => ({ node, place: random.next().value as number })).sort((left, right) => left.place - right.place).slice(0, Math.floor(count * KILLED_FRACTION)).map(({ node }) => node))
      const streams = Array.from({ length: STREAMS }, (_, index) => `stream-${index}`)
      const known = streams.filter((stream) => pickHolders(stream, nodes, RECORD_HOLDERS).some((holder) => !killed.has(holder)))
      assert.ok(known.length >= STREAMS * MIN_RESUMED_FRACTION, `${known.length} of ${STREAMS}`)
    }), { seed: 1, numRuns: 50 })
  })
})

describe('the versions of a service', () => {
  // Guards against a node that has just started and takes the only version that it sees for the only one that there was.
  it('leave a single one only after watching for as long as streams are resumed', () => {
    const versions = createServiceVersions()
    versions.watched(0)
    versions.seen('plans', 'v1', 29 * SECOND)
    assert.equal(versions.only('plans', 29 * SECOND), undefined)
    assert.equal(versions.only('plans', 30 * SECOND), 'v1')
    assert.equal(versions.only('other', 30 * SECOND), undefined)
  })

  // Guards against a first read of the registry that is old, and counts as the start of the time of watching.
  it('do not count as watched before the registry is followed', () => {
    const versions = createServiceVersions()
    versions.seen('plans', 'v1', 0)
    versions.seen('plans', 'v1', 31 * SECOND)
    versions.watched(31 * SECOND)
    assert.equal(versions.only('plans', 32 * SECOND), undefined)
  })

  it('leave a single one at once where complete checkpoints name no other', () => {
    const versions = createServiceVersions()
    versions.recalled({ versions: { plans: ['v1'], bookings: ['v1', 'v2'] }, destinations: {} }, 0)
    versions.completed()
    assert.equal(versions.only('plans', 1), 'v1')
    assert.equal(versions.only('bookings', 1), undefined)
    versions.seen('plans', 'v2', 2)
    assert.equal(versions.only('plans', 2), undefined)
  })

  // Guards against versions that nodes name to each other for good after they have left.
  it('are named to other nodes only where this node has seen them itself', () => {
    const versions = createServiceVersions()
    versions.recalled({ versions: { plans: ['v1'] }, destinations: { route: ['plans'] } }, 0)
    versions.seen('plans', 'v2', 1)
    versions.began('other', 'plans', 1)
    assert.deepEqual(versions.ownSeen(2), { versions: { plans: ['v2'] }, destinations: { other: ['plans'] } })
  })

  // Guards against versions that come and go while the registry is not followed.
  it('leave none after checkpoints that are not complete, or after an interruption, until they have been watched for long enough', () => {
    const versions = createServiceVersions()
    versions.recalled({ versions: { plans: ['v1'] }, destinations: {} }, 0)
    assert.equal(versions.only('plans', 1), undefined)
    versions.completed()
    versions.interrupted()
    versions.watched(3)
    versions.seen('plans', 'v1', 29 * SECOND)
    assert.equal(versions.only('plans', 29 * SECOND), undefined)
    assert.equal(versions.only('plans', 30 * SECOND + 3), 'v1')
  })

  it('count for half a minute after the last heartbeat of their upstreams', () => {
    const versions = createServiceVersions()
    versions.watched(0)
    versions.seen('plans', 'v1', 0)
    versions.seen('plans', 'v2', 4 * SECOND)
    assert.equal(versions.only('plans', 30 * SECOND), undefined)
    versions.seen('plans', 'v2', 31 * SECOND)
    assert.equal(versions.only('plans', 31 * SECOND), 'v2')
  })
})

describe('the destinations of a route', () => {
  it('are those at which streams began, here and at other nodes', () => {
    const versions = createServiceVersions()
    assert.equal(versions.beganOnlyAt('route', 'plans', 0), false)
    versions.began('route', 'plans', 0)
    assert.equal(versions.beganOnlyAt('route', 'plans', 1), true)
    versions.recalled({ versions: {}, destinations: { route: ['bookings'] } }, 2)
    assert.equal(versions.beganOnlyAt('route', 'plans', 2), false)
  })
})
