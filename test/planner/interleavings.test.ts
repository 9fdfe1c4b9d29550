/** Two planners with pauses and lost or late messages: nothing is started or loaded twice, and the fleet converges. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import { failureDomainSchema, instanceNameSchema } from '../../src/identifiers.js'
import { DESIRED_STATE_KEY, HISTORY_KEY, LEARNED_KEY } from '../../src/planner/keys.js'
import { createPlannerWorld } from './harness.js'
import type { PlannerWorld } from './harness.js'

/**
 * One step of a property. `look` runs a planning cycle, `room` limits the number of reclaimable instances in a failure
 * domain. Times are in milliseconds.
 */
type Step =
  | { kind: 'look', planner: number, time: number }
  | { kind: 'pause', planner: number, time: number }
  | { kind: 'resume', planner: number }
  | { kind: 'model', number: number }
  | { kind: 'reclaim', zone: number }
  | { kind: 'room', zone: number, room: number }

const ZONES = ['zone-a', 'zone-b', 'zone-c'].map((zone) => failureDomainSchema.parse(zone))

/** Number of planning cycles without faults before the steps of a property. */
const WARM_UP_CYCLES = 4

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

// Failure guarded against: a planner is paused during a cycle, another one takes over, and the orders of the first one
// arrive late. Instances then run without being wanted, or the engines of a failure domain serve an outdated model.
// Late orders have no lasting effect, because instance names are used only once, slot states only advance, and engines
// are compared with the desired state repeatedly.
test('with any pauses and any late or lost messages, the fleet converges to the last desired state', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: (index) => index % 2 === 0 })
    await runCycles(world, WARM_UP_CYCLES)
    Object.assign(world.faults, { late: 0.04, lost: 0.02, maxDelay: 12 * SECOND })
    await applySteps(world, steps)
    await world.recover()
    assertConverged(world)
    assertStartedOnce(world)
    assert.deepEqual(world.releasedWhileWanted, [])
  }), { seed: 1, numRuns: 60 })
})

// Failure guarded against: a successor orders an engine before the last order of its predecessor has arrived, and the
// engine, which does not check fencing, loads a model twice although it was wanted once. Short pauses and delays end
// within the time for which a successor waits before its first order.
test('with pauses shorter than the successor\'s wait, no engine loads a model more often than it was wanted', async () => {
  const shortStep = anyStep.map((step): Step => (step.kind === 'pause' ? { ...step, time: Math.min(step.time, 2_000) } : step))
  await fc.assert(fc.asyncProperty(fc.array(shortStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: (index) => index % 2 === 0 })
    await runCycles(world, WARM_UP_CYCLES)
    Object.assign(world.faults, { late: 0.1, lost: 0.02, maxDelay: 1_500 })
    let models = 1
    for (const step of steps) {
      if (step.kind === 'model') models += 1
      await applySteps(world, [step])
      if (step.kind === 'pause') world.planners[step.planner]?.resume()
    }
    await world.recover()
    assertConverged(world)
    for (const engine of world.allEngines) assert.ok(engine.loads.length <= models, `${engine.loads.join()} for ${models} changes`)
  }), { seed: 2, numRuns: 60 })
})

test('engines that check fencing never obey an older generation, however long a planner was paused', async () => {
  await fc.assert(fc.asyncProperty(fc.array(anyStep, { minLength: 20, maxLength: 60 }), fc.integer(), async (steps, seed) => {
    const world = createPlannerWorld({ seed, checksFencing: () => true })
    await runCycles(world, WARM_UP_CYCLES)
    Object.assign(world.faults, { late: 0.06, lost: 0.02, maxDelay: 20 * SECOND })
    await applySteps(world, steps)
    await world.recover()
    for (const { state } of world.allEngines) {
      const generations = state.obeyed.map((order) => order.generation)
      assert.deepEqual(generations, [...generations].sort((left, right) => left - right))
    }
  }), { seed: 3, numRuns: 30 })
})

// Failure guarded against: the key-value service loses its contents or is restored from an old backup. The planner
// finds too few instances wanted and starts a second fleet next to the running one. Engines refuse its orders, because
// they have already seen the generations of these orders.
for (const loss of ['lost', 'restored from an old copy'] as const) {
  test(`a planner whose state was ${loss} takes over the running fleet`, async () => {
    const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
    await runCycles(world, 5)
    const oldCopy = world.store.get(DESIRED_STATE_KEY)!.value
    world.cloud.reclaimDomain(ZONES[0]!, 0)
    await runCycles(world, 12)
    for (const model of ['model-2', 'model-1']) {
      world.setModel(model)
      await runCycles(world, 12)
    }
    const before = instanceNames(world)
    if (loss === 'lost') for (const key of [DESIRED_STATE_KEY, LEARNED_KEY, HISTORY_KEY]) world.store.compareAndDelete(key, world.store.get(key)?.revision ?? 0)
    else world.store.put(DESIRED_STATE_KEY, oldCopy)
    await runCycles(world, 12)
    assert.deepEqual(instanceNames(world), before)
    assertConverged(world)
  })
}

// Failure guarded against: a start order arrives after the planner has released the name and dropped it from the
// desired state. The cloud starts the instance, and it runs without being wanted.
test('an instance started by an old order is released, and instances of a newer planner are not', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(world, 5)
  const offer = { group: 'sample', service: 'plans', failureDomain: ZONES[0]!, machineClass: 'large', market: 'reclaimable' as const }
  const strayName = instanceNameSchema.parse('plans-g1-s9')
  world.cloud.start({ ...offer, name: strayName, service: world.desired().slots[0]!.service })
  await runCycles(world, 5)
  assert.ok(!instanceNames(world).includes(strayName))
  assertConverged(world)
})

async function applySteps (world: PlannerWorld, steps: readonly Step[]): Promise<void> {
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
        world.cloud.limitCapacity({ failureDomain: ZONES[step.zone]!, machineClass: 'large', market: 'reclaimable' }, step.room)
        break
    }
  }
}

/** Runs planning cycles of the first planner, 10 s apart. */
async function runCycles (world: PlannerWorld, cycles: number): Promise<void> {
  for (let cycle = 0; cycle < cycles; cycle += 1) {
    world.planners[0]?.takeLease()
    world.planners[0]?.start()
    await world.clock.advance(10 * SECOND)
  }
}

function instanceNames (world: PlannerWorld): string[] {
  return world.cloud.list('sample').map((instance) => instance.name).sort()
}

/** Asserts that exactly the wanted instances run and that their engines serve the ordered model. */
function assertConverged (world: PlannerWorld): void {
  const { slots, orders } = world.desired()
  const wanted = slots.filter((slot) => slot.state !== 'released').map((slot) => slot.name).sort()
  assert.deepEqual(instanceNames(world), wanted)
  assert.ok(slots.some((slot) => slot.state === 'wanted'))
  for (const [name, { state }] of world.engines()) {
    assert.deepEqual(state.models(), [orders[0]?.model], `${name} serves another model`)
    assert.equal(state.generation(), orders[0]?.generation)
  }
}

/** Asserts that no name was started twice and that every started name was wanted at some time. */
function assertStartedOnce (world: PlannerWorld): void {
  const started = world.cloud.startedOrders().map((order) => order.name)
  assert.equal(new Set(started).size, started.length)
  for (const name of started) assert.ok(name.startsWith('first-') || world.everWanted.has(name), `${name} was never wanted`)
}
