/** Two planners, pauses, lost and late messages: nothing is bought or loaded twice, and nothing stays stale. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { failureDomainSchema, instanceNameSchema } from '../../src/identifiers.js'
import { DESIRED_STATE_KEY, HISTORY_KEY, LEARNED_KEY } from '../../src/planner/keys.js'
import { createPlannerWorld } from './harness.js'
import type { PlannerWorld } from './harness.js'

type Step =
  | { kind: 'look', planner: number, time: number }
  | { kind: 'pause', planner: number, time: number }
  | { kind: 'resume', planner: number }
  | { kind: 'model', number: number }
  | { kind: 'reclaim', zone: number }
  | { kind: 'room', zone: number, room: number }

const ZONES = ['zone-a', 'zone-b', 'zone-c'].map((zone) => failureDomainSchema.parse(zone))

/** Looks without trouble before a property's steps begin. */
const WARM_UP = 4

const planner = fc.integer({ min: 0, max: 1 })
const zone = fc.integer({ min: 0, max: 2 })
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ kind: fc.constant('look' as const), planner, time: fc.integer({ min: 1, max: 9_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause' as const), planner, time: fc.integer({ min: 1, max: 40_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('resume' as const), planner }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('model' as const), number: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('reclaim' as const), zone }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('room' as const), zone, room: fc.integer({ min: 0, max: 2 }) }) }
)

// The bill shows machines that nobody uses, or one zone's engines answer with last week's model: a
// planner was paused in the middle of its work, another took over, and the first one's orders arrived
// late. Names that are used once, states that only move forward, and engines compared with what is
// wanted leave nothing for a late order to break.
test('whatever is paused, late or lost, the fleet ends as the last decision wants it', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: (index) => index % 2 === 0 })
    await run(world, WARM_UP)
    Object.assign(world.trouble, { late: 0.04, lost: 0.02, latest: 12 * SECOND })
    await play(world, steps)
    await world.heal()
    assertWhole(world)
    assertBoughtOnce(world)
    assert.deepEqual(world.releasedThoughWanted, [])
  }), { seed: 1, numRuns: 60 })
})

// An engine without fencing loads a model twice although it was never wanted twice: the successor
// ordered before its predecessor's last order had arrived. Short pauses and late messages end within
// the bound that a successor waits out.
test('with pauses within the bound no engine loads a model more often than it was wanted', async () => {
  const shortStep = anyStep.map((step): Step => (step.kind === 'pause' ? { ...step, time: Math.min(step.time, 2_000) } : step))
  await fc.assert(fc.asyncProperty(fc.array(shortStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: (index) => index % 2 === 0 })
    await run(world, WARM_UP)
    Object.assign(world.trouble, { late: 0.1, lost: 0.02, latest: 1_500 })
    let models = 1
    for (const step of steps) {
      if (step.kind === 'model') models += 1
      await play(world, [step])
      if (step.kind === 'pause') world.planners[step.planner]?.resume()
    }
    await world.heal()
    assertWhole(world)
    for (const engine of world.everyEngine) assert.ok(engine.loads.length <= models, `${engine.loads.join()} for ${models} changes`)
  }), { seed: 2, numRuns: 60 })
})

test('engines that check fencing never go back, however long a planner was paused', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: () => true })
    await run(world, WARM_UP)
    Object.assign(world.trouble, { late: 0.06, lost: 0.02, latest: 20 * SECOND })
    await play(world, steps)
    await world.heal()
    for (const { state } of world.everyEngine) {
      const generations = state.obeyed.map((order) => order.generation)
      assert.deepEqual(generations, [...generations].sort((left, right) => left - right))
    }
  }), { seed: 3, numRuns: 30 })
})

// A month's bill doubles after the key-value service lost its contents, or came back from an old
// copy: the planner found too little wanted, and bought a fleet beside the one that ran. Engines
// refused its orders, whose numbers they had seen long before.
for (const loss of ['lost', 'restored from an old copy'] as const) {
  test(`a planner whose state was ${loss} takes over what runs`, async () => {
    const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
    await run(world, 5)
    const oldCopy = world.store.get(DESIRED_STATE_KEY)!.value
    world.cloud.reclaimDomain(ZONES[0]!, 0)
    await run(world, 12)
    for (const model of ['model-2', 'model-1']) {
      world.setModel(model)
      await run(world, 12)
    }
    const before = names(world)
    if (loss === 'lost') for (const key of [DESIRED_STATE_KEY, LEARNED_KEY, HISTORY_KEY]) world.store.compareAndDelete(key, world.store.get(key)?.revision ?? 0)
    else world.store.put(DESIRED_STATE_KEY, oldCopy)
    await run(world, 12)
    assert.deepEqual(names(world), before)
    assertWhole(world)
  })
}

// A machine runs for weeks and nobody knows of it: the cloud started it for an order that arrived
// after the planner had given its name up, and had forgotten that the name was used.
test('an instance that an old order started is given back, and a newer planner\'s is not', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await run(world, 5)
  const offer = { group: 'sample', service: 'plans', failureDomain: ZONES[0]!, machineClass: 'large', market: 'reclaimable' as const }
  const old = instanceNameSchema.parse('plans-g1-s9')
  world.cloud.start({ ...offer, name: old, service: world.desired().slots[0]!.service })
  await run(world, 5)
  assert.ok(!names(world).includes(old))
  assertWhole(world)
})

async function play (world: PlannerWorld, steps: readonly Step[]): Promise<void> {
  for (const step of steps) {
    switch (step.kind) {
      case 'look':
        world.planners[step.planner]?.takeLease()
        world.planners[step.planner]?.start()
        await world.clock.advance(step.time)
        break
      case 'pause':
        world.planners[step.planner]?.pause()
        await world.clock.advance(step.time)
        break
      case 'resume':
        world.planners[step.planner]?.resume()
        break
      case 'model':
        world.setModel(`model-${step.number}`)
        break
      case 'reclaim':
        world.cloud.reclaimDomain(ZONES[step.zone]!, 2 * SECOND)
        break
      case 'room':
        world.cloud.limit({ failureDomain: ZONES[step.zone]!, machineClass: 'large', market: 'reclaimable' }, step.room)
        break
    }
  }
}

async function run (world: PlannerWorld, looks: number): Promise<void> {
  for (let look = 0; look < looks; look += 1) {
    world.planners[0]?.takeLease()
    world.planners[0]?.start()
    await world.clock.advance(10 * SECOND)
  }
}

function names (world: PlannerWorld): string[] {
  return world.cloud.list('sample').map((instance) => instance.name).sort()
}

function assertWhole (world: PlannerWorld): void {
  const { slots, orders } = world.desired()
  const wanted = slots.filter((slot) => slot.state !== 'released').map((slot) => slot.name).sort()
  assert.deepEqual(names(world), wanted)
  assert.ok(slots.some((slot) => slot.state === 'wanted'))
  for (const [name, { state }] of world.engines()) {
    assert.deepEqual(state.models(), [orders[0]?.model], `${name} serves another model`)
    assert.equal(state.generation(), orders[0]?.generation)
  }
}

function assertBoughtOnce (world: PlannerWorld): void {
  const bought = world.cloud.bought().map((order) => order.name)
  assert.equal(new Set(bought).size, bought.length)
  for (const name of bought) assert.ok(name.startsWith('first-') || world.wantedEver.has(name), `${name} was never wanted`)
}
