/** Selection of upstreams by the roll-out orders and statuses that a node knows. */
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
const OLD = ['a', 'b'].map((id) => upstreamRecord(id, { version: 'v1' }))
const NEW = ['c', 'd'].map((id) => upstreamRecord(id, { version: 'v2' }))

function createNode (known: { stage?: RolloutStage, statusReceivedAt?: number, hasOrder?: boolean, hasOtherCause?: boolean }) {
  const clock = createManualClock()
  const { stage } = known
  const records: RolloutRecords = {
    orders: () => known.hasOrder === false ? [] : [ORDER],
    order: () => known.hasOrder === false ? undefined : ORDER,
    status: () => stage && { status: { service: 's', version: 'v2', order: 7, stage, probedPart: undefined, orderedAt: 0, avoided: [] }, revision: 9, isLost: false, since: clock.now() },
    statusRevision: () => 9,
    statusReceivedAt: () => known.statusReceivedAt,
    handler: { replace: () => {}, put: () => {}, remove: () => {} }
  }
  let receivedAt = clock.now()
  const rollouts = createRollouts({ clock, random: createRandom(1), log: LOG, bounds: { exposedPart: 0.1, exposedExtra: 0 }, records, nodes: () => 1, hasOtherCause: () => known.hasOtherCause === true, ordersReceivedAt: () => receivedAt })
  return { clock, rollouts, receiveOrders: () => { receivedAt = clock.now() } }
}

/** Time after which an interruption has been counted or explained. */
const SETTLED = 3_000

const ids = (upstreams: readonly { id: string }[]): string[] => upstreams.map(({ id }) => id)

describe('the upstreams that a node admits', () => {
  it('are those of the old version until the node knows a stage', () => {
    const { rollouts } = createNode({ statusReceivedAt: 0 })
    assert.deepEqual(ids(rollouts.admit('s', 'tried', [...OLD, ...NEW])), ['a', 'b'])
    assert.equal(rollouts.side('s'), 'serving')
  })

  // Failure guarded against: a roll-out is done and its order is still in the store, so all upstreams have the ordered
  // version. A node starts while the store is unavailable, does not receive the status, and refuses all requests.
  it('are all upstreams if no status was ever received and no other version is present', () => {
    assert.deepEqual(ids(createNode({}).rollouts.admit('s', 'serving', NEW)), ['c', 'd'])
    assert.deepEqual(ids(createNode({ statusReceivedAt: 0 }).rollouts.admit('s', 'serving', NEW)), [])
  })

  it('are those of the new version at the cutover, and those of the old version after a roll-back', () => {
    assert.deepEqual(ids(createNode({ stage: 'cutover', statusReceivedAt: 0 }).rollouts.admit('s', 'serving', [...OLD, ...NEW])), ['c', 'd'])
    assert.deepEqual(ids(createNode({ stage: 'rolled-back', statusReceivedAt: 0 }).rollouts.admit('s', 'tried', [...OLD, ...NEW])), ['a', 'b'])
  })

  it('do not include the new version when the status is outdated', async () => {
    const { clock, rollouts } = createNode({ stage: 'canary', statusReceivedAt: 0 })
    const countTried = (): number => Array.from({ length: 100 }, () => rollouts.side('s')).filter((side) => side === 'tried').length
    assert.ok(countTried() >= 7)
    await clock.advance(5_000)
    assert.equal(countTried(), 0)
  })

  // Failure guarded against: the node sees the upstreams of a new version before its order, and the version gets its full
  // share of the requests.
  it('include a version that was never seen before only after the orders were received again', async () => {
    const { clock, rollouts, receiveOrders: hearOrders } = createNode({ hasOrder: false })
    assert.deepEqual(ids(rollouts.admit('s', 'serving', OLD)), ['a', 'b'])
    await clock.advance(10)
    assert.deepEqual(ids(rollouts.admit('s', 'serving', [...OLD, ...NEW])), ['a', 'b'])
    await clock.advance(10)
    hearOrders()
    assert.deepEqual(ids(rollouts.admit('s', 'serving', [...OLD, ...NEW])), ['a', 'b', 'c', 'd'])
  })
})

describe('an answer that is interrupted', () => {
  async function failuresAfter (hasOtherCause: boolean): Promise<number | undefined> {
    const { clock, rollouts } = createNode({ stage: 'canary', statusReceivedAt: 0, hasOtherCause })
    rollouts.begin('r', NEW[0]!)!.interrupted()
    await clock.advance(SETTLED)
    return rollouts.sums().s?.routes.r?.tried.failures
  }

  // Guards against rolling back a version because a request crashes upstreams of any version.
  it('counts against the version unless a part of a prompt explains the crash', async () => {
    assert.equal(await failuresAfter(false), 1)
    assert.equal(await failuresAfter(true), 0)
  })
})
