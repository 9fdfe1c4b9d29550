/** What a node sends where, by the orders and statuses that it knows. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createRollouts } from '../../src/gateway/rollouts.js'
import type { RolloutRecords } from '../../src/gateway/rollout-records.js'
import type { RolloutStage } from '../../src/rollout/index.js'
import { createRandom } from '../../src/random.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { upstreamRecord } from '../placement/records.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const ORDER = { service: 's', version: 'v2', duration: 20_000, revision: 7 }
const BEFORE = ['a', 'b'].map((id) => upstreamRecord(id, { version: 'v1' }))
const NEXT = ['c', 'd'].map((id) => upstreamRecord(id, { version: 'v2' }))

function createNode (known: { stage?: RolloutStage, statusHeardAt?: number, hasOrder?: boolean }) {
  const clock = createManualClock()
  const { stage } = known
  const records: RolloutRecords = {
    orders: () => known.hasOrder === false ? [] : [ORDER],
    order: () => known.hasOrder === false ? undefined : ORDER,
    status: () => stage && { status: { service: 's', version: 'v2', order: 7, stage, probedPart: undefined, orderedAt: 0, avoided: [] }, revision: 9, isLost: false, since: clock.now() },
    statusHeardAt: () => known.statusHeardAt,
    follower: { replace: () => {}, put: () => {}, remove: () => {} }
  }
  let heardAt = clock.now()
  const rollouts = createRollouts({ clock, random: createRandom(1), log: LOG, bounds: { exposedPart: 0.1, exposedExtra: 0 }, records, nodes: () => 1, ordersHeardAt: () => heardAt })
  return { clock, rollouts, hearOrders: () => { heardAt = clock.now() } }
}

const ids = (upstreams: readonly { id: string }[]): string[] => upstreams.map(({ id }) => id)

describe('what a node admits', () => {
  it('is the versions before until it has heard of a stage', () => {
    const { rollouts } = createNode({ statusHeardAt: 0 })
    assert.deepEqual(ids(rollouts.admit('s', 'tried', [...BEFORE, ...NEXT])), ['a', 'b'])
    assert.equal(rollouts.side('s'), 'serving')
  })

  // Callers are refused by each node that starts: a roll-out was done an hour ago, its order still stands, and the store
  // that would tell so is away by now. There are no upstreams but those of the ordered version.
  it('is all that there is where no status was ever heard of and no other version is there', () => {
    assert.deepEqual(ids(createNode({}).rollouts.admit('s', 'serving', NEXT)), ['c', 'd'])
    assert.deepEqual(ids(createNode({ statusHeardAt: 0 }).rollouts.admit('s', 'serving', NEXT)), [])
  })

  it('is the new version alone at the cutover, and none of it once it is rolled back', () => {
    assert.deepEqual(ids(createNode({ stage: 'cutover', statusHeardAt: 0 }).rollouts.admit('s', 'serving', [...BEFORE, ...NEXT])), ['c', 'd'])
    assert.deepEqual(ids(createNode({ stage: 'rolled-back', statusHeardAt: 0 }).rollouts.admit('s', 'tried', [...BEFORE, ...NEXT])), ['a', 'b'])
  })

  it('has no new version in a trial that it has not heard of for long', async () => {
    const { clock, rollouts } = createNode({ stage: 'canary', statusHeardAt: 0 })
    const tried = (): number => Array.from({ length: 100 }, () => rollouts.side('s')).filter((side) => side === 'tried').length
    assert.ok(tried() >= 7)
    await clock.advance(5_000)
    assert.equal(tried(), 0)
  })

  // A version gets all of its part of the traffic before its order is known: its upstreams are heard of first.
  it('waits with a version that it has never seen until the orders were heard of after it', async () => {
    const { clock, rollouts, hearOrders } = createNode({ hasOrder: false })
    assert.deepEqual(ids(rollouts.admit('s', 'serving', BEFORE)), ['a', 'b'])
    await clock.advance(10)
    assert.deepEqual(ids(rollouts.admit('s', 'serving', [...BEFORE, ...NEXT])), ['a', 'b'])
    await clock.advance(10)
    hearOrders()
    assert.deepEqual(ids(rollouts.admit('s', 'serving', [...BEFORE, ...NEXT])), ['a', 'b', 'c', 'd'])
  })
})
