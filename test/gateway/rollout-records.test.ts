/** What nodes know of roll-outs once the store has come back from a copy. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import { createRegistry } from '../../platform/registry.js'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { followPrefix, boundedDelaySettings } from '../../src/gateway/follow.js'
import { keepRolloutDuty } from '../../src/gateway/rollout-duty.js'
import type { RolloutDutyOptions } from '../../src/gateway/rollout-duty.js'
import { keepRolloutRecords } from '../../src/gateway/rollout-records.js'
import { createRandom } from '../../src/random.js'
import type { RolloutStage, RolloutStatus } from '../../src/rollout/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const registry = createRegistry().rollouts
const ORDER_KEY = 'op/rollout/plans'

/** What ends a wait is noticed at the next step. */
const STEP: Milliseconds = 50

const ORDER = JSON.stringify({ service: 'plans', to: 'v2', durationS: 20 })

/** A node that knows of a roll-out, and holds the duties. */
function createWorld () {
  const clock = createManualClock()
  const random = createRandom(1)
  const keys = createKeyValueStore(clock)
  const ending = new AbortController()
  setMaxListeners(0, ending.signal)

  function start () {
    const store = createDirectKeyValue(keys, createFaultSwitch(clock, random), clock)
    const context = { store, clock, random, log: LOG, signal: ending.signal }
    const records = keepRolloutRecords(context, registry, 2 * SECOND, () => {})
    followPrefix(context, 'op/', records.follower, boundedDelaySettings(2 * SECOND, 0))
    return { context, records }
  }

  const node = start()
  const statusOf = (stage: RolloutStage): RolloutStatus => ({ service: 'plans', version: 'v2', order: node.records.order('plans')!.revision, stage, probedPart: undefined, orderedAt: 0, avoided: [] })
  return {
    keys,
    node,
    start,
    writeStatus: (stage: RolloutStage) => { keys.put(registry.statusKey('plans'), registry.writeStatus(statusOf(stage))) },
    storedStage: () => {
      const entry = keys.get(registry.statusKey('plans'))
      return entry && registry.readStatus('plans', entry.value)?.stage
    },
    holdDuty: () => {
      const options: Pick<RolloutDutyOptions, 'context' | 'registry' | 'bounds' | 'records'> = { context: node.context, registry, bounds: { exposedPart: 0.1, exposedExtra: 50 }, records: node.records }
      keepRolloutDuty({
        ...options,
        rollouts: { view: () => undefined } as unknown as RolloutDutyOptions['rollouts'],
        upstreams: { all: () => [] } as unknown as RolloutDutyOptions['upstreams'],
        fleet: { wall: clock.wall } as unknown as RolloutDutyOptions['fleet'],
        duty: { proof: () => ({ holder: 'node', fencing: 1 }) } as unknown as RolloutDutyOptions['duty']
      })
    },
    pass: async (duration: Milliseconds) => { for (let passed = 0; passed < duration; passed += STEP) await clock.advance(STEP) },
    stop: () => ending.abort()
  }
}

describe('records of roll-outs over a store that comes back from a copy', () => {
  // Guards against a version that was rolled back and is tried a second time, since the store has lost that it was.
  for (const copied of ['canary', 'nothing'] as const) {
    it(`keep a version out of use that was rolled back, where the copy has ${copied}`, async () => {
      const world = createWorld()
      world.keys.put(ORDER_KEY, ORDER)
      await world.pass(SECOND)
      const { records } = world.node
      const { revision } = records.order('plans')!
      if (copied === 'canary') world.writeStatus('canary')
      await world.pass(SECOND)
      const backup = world.keys.backUp()
      world.writeStatus('rolled-back')
      await world.pass(SECOND)
      world.keys.restore(backup)
      world.keys.put(ORDER_KEY, ORDER)
      await world.pass(2 * SECOND)
      assert.equal(records.status('plans')?.status.stage, 'rolled-back')
      assert.equal(world.node.context.store.epochs.current(), 1)
      assert.equal(records.order('plans')?.revision, revision, 'the order is the one that was tried')
      world.holdDuty()
      await world.pass(2 * SECOND)
      assert.equal(world.storedStage(), 'rolled-back', 'the store has it again')
      world.stop()
    })
  }

  // Guards against a node that starts after the return and takes the rewritten order for another one.
  it('tell a node that starts later that the order is the one which was tried', async () => {
    const world = createWorld()
    world.keys.put(ORDER_KEY, ORDER)
    await world.pass(SECOND)
    const { revision } = world.node.records.order('plans')!
    world.writeStatus('done')
    await world.pass(SECOND)
    world.keys.restore(world.keys.backUp())
    world.keys.put(ORDER_KEY, ORDER)
    const { records } = world.start()
    await world.pass(2 * SECOND)
    assert.deepEqual([records.order('plans')?.revision, records.status('plans')?.status.stage], [revision, 'done'])
    world.stop()
  })
})
