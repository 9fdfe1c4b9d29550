/** Roll-out records of nodes after the store was restored from a backup. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import { createRegistry } from '../../platform/registry.js'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { followPrefix, boundedDelaySettings } from '../../src/gateway/follow.js'
import { startRolloutDuty } from '../../src/gateway/rollout-duty.js'
import type { RolloutDutyOptions } from '../../src/gateway/rollout-duty.js'
import { watchRolloutRecords } from '../../src/gateway/rollout-records.js'
import { createRandom } from '../../src/random.js'
import type { RolloutStage, RolloutStatus } from '../../src/rollout/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const registry = createRegistry().rollouts
const ORDER_KEY = 'op/rollout/plans'

/** Step of the manual clock. A wait ends at the first step after its condition holds. */
const STEP: Milliseconds = 50

const ORDER = JSON.stringify({ service: 'plans', to: 'v2', durationS: 20 })

/** A store and a node that follows its roll-out records and may hold the duties. */
function createFixture () {
  const clock = createManualClock()
  const random = createRandom(1)
  const keys = createKeyValueStore(clock)
  const shutdown = new AbortController()
  setMaxListeners(0, shutdown.signal)
  const warnings: string[] = []
  const log = { info: () => {}, warn: (event: string) => { warnings.push(event) }, error: () => {} }

  function start () {
    const store = createDirectKeyValue(keys, createFaultSwitch(clock, random), clock)
    const context = { store, clock, random, log, signal: shutdown.signal }
    const records = watchRolloutRecords(context, registry, 2 * SECOND, () => {})
    followPrefix(context, 'op/', records.handler, boundedDelaySettings(2 * SECOND, 0))
    return { context, records }
  }

  const node = start()
  const statusOf = (stage: RolloutStage): RolloutStatus => ({ service: 'plans', version: 'v2', order: node.records.order('plans')!.revision, stage, probedPart: undefined, orderedAt: 0, avoided: [] })
  return {
    keys,
    warnings,
    node,
    start,
    writeStatus: (stage: RolloutStage) => { keys.put(registry.statusKey('plans'), registry.writeStatus(statusOf(stage))) },
    storedStage: () => {
      const entry = keys.get(registry.statusKey('plans'))
      return entry && registry.readStatus('plans', entry.value)?.stage
    },
    holdDuty: () => {
      const options: Pick<RolloutDutyOptions, 'context' | 'registry' | 'bounds' | 'records'> = { context: node.context, registry, bounds: { exposedPart: 0.1, exposedExtra: 50 }, records: node.records }
      startRolloutDuty({
        ...options,
        rollouts: { view: () => undefined } as unknown as RolloutDutyOptions['rollouts'],
        upstreams: { all: () => [] } as unknown as RolloutDutyOptions['upstreams'],
        fleet: { wall: clock.wall } as unknown as RolloutDutyOptions['fleet'],
        duty: { proof: () => ({ holder: 'node', fencing: 1 }) } as unknown as RolloutDutyOptions['duty']
      })
    },
    advance: async (duration: Milliseconds) => { for (let passed = 0; passed < duration; passed += STEP) await clock.advance(STEP) },
    stop: () => shutdown.abort()
  }
}

describe('roll-out records after the store is restored from a backup', () => {
  // Failure guarded against: the restored store lacks the status of a version that was rolled back, and the version is
  // tried a second time.
  for (const backedUp of ['canary', 'nothing'] as const) {
    it(`keep a version rolled back when the status in the backup is ${backedUp}`, async () => {
      const fixture = createFixture()
      fixture.keys.put(ORDER_KEY, ORDER)
      await fixture.advance(SECOND)
      const { records } = fixture.node
      const { revision } = records.order('plans')!
      if (backedUp === 'canary') fixture.writeStatus('canary')
      await fixture.advance(SECOND)
      const backup = fixture.keys.backUp()
      fixture.writeStatus('rolled-back')
      await fixture.advance(SECOND)
      fixture.keys.restore(backup)
      fixture.keys.put(ORDER_KEY, ORDER)
      await fixture.advance(2 * SECOND)
      assert.equal(records.status('plans')?.status.stage, 'rolled-back')
      assert.equal(fixture.node.context.store.epochs.current(), 1)
      assert.equal(records.order('plans')?.revision, revision, 'the order is the one that was tried')
      fixture.holdDuty()
      await fixture.advance(2 * SECOND)
      assert.equal(fixture.storedStage(), 'rolled-back', 'the status is written to the store again')
      fixture.stop()
    })
  }

  // Failure guarded against: the order is written again after the restore, and a node that starts later takes it for a
  // new order.
  it('show a node that starts after the restore that the order was tried already', async () => {
    const fixture = createFixture()
    fixture.keys.put(ORDER_KEY, ORDER)
    await fixture.advance(SECOND)
    const { revision } = fixture.node.records.order('plans')!
    fixture.writeStatus('done')
    await fixture.advance(SECOND)
    fixture.keys.restore(fixture.keys.backUp())
    fixture.keys.put(ORDER_KEY, ORDER)
    const { records } = fixture.start()
    await fixture.advance(2 * SECOND)
    assert.deepEqual([records.order('plans')?.revision, records.status('plans')?.status.stage], [revision, 'done'])
    fixture.stop()
  })
})

describe('a roll-out whose status another writer has spoiled', () => {
  const ODD_STATUSES = ['{', '[]', '[['.repeat(10_000), '{"to":"v2","stage":"canary","order":1e300,"orderedAt":0}', '{"to":"v2","stage":"unknown","order":1,"orderedAt":0}']

  // Guards against a roll-out that never begins, since its status is written only where there is none.
  it('begins all the same', async () => {
    for (const odd of ODD_STATUSES) {
      const fixture = createFixture()
      fixture.keys.put(registry.statusKey('plans'), odd)
      fixture.keys.put(ORDER_KEY, ORDER)
      await fixture.advance(SECOND)
      fixture.holdDuty()
      await fixture.advance(2 * SECOND)
      assert.equal(fixture.storedStage(), 'canary', odd.slice(0, 50))
      fixture.stop()
    }
  })

  // Guards against a version that was rolled back and is tried again, since nodes that start later can't read that it was.
  it('has its last known status again, and the odd one is logged once', async () => {
    for (const odd of ODD_STATUSES) {
      const fixture = createFixture()
      fixture.keys.put(ORDER_KEY, ORDER)
      await fixture.advance(SECOND)
      fixture.writeStatus('rolled-back')
      await fixture.advance(SECOND)
      for (let write = 0; write < 3; write += 1) fixture.keys.put(registry.statusKey('plans'), odd)
      await fixture.advance(SECOND)
      fixture.holdDuty()
      await fixture.advance(2 * SECOND)
      assert.equal(fixture.storedStage(), 'rolled-back', odd.slice(0, 50))
      assert.equal(fixture.warnings.filter((event) => event === 'rollout-status-unreadable').length, 1)
      fixture.stop()
    }
  })
})
