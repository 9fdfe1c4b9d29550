/** Refused starts, the move back to cheaper capacity, and graceful drains. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SECOND, MINUTE } from '../../src/clock.js'
import { failureDomainSchema } from '../../src/identifiers.js'
import { createPlannerWorld } from './harness.js'
import type { PlannerWorld } from './harness.js'

const ZONES = ['zone-a', 'zone-b', 'zone-c'].map((zone) => failureDomainSchema.parse(zone))
const CYCLE_TIME = 10 * SECOND

// Failures guarded against: after a reclaim of many instances, reclaimable starts are refused and capacity stays short
// because no other market is tried, or the more expensive instances are kept after the cheaper market is available
// again.
test('refused starts fall back to on-demand instances, and move back when the cheaper market is available again', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true, loadTime: 90 * SECOND })
  await runCycles(world, 15)
  for (const zone of ZONES) world.cloud.limitCapacity(offerIn(zone, 'reclaimable'), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await runCycles(world, 15)
  assert.equal(countInstances(world, 'on-demand'), 1)
  assert.equal(countInstances(world, 'reclaimable'), 2)
  for (const zone of ZONES) world.cloud.limitCapacity(offerIn(zone, 'reclaimable'), undefined)
  let minServing = Infinity
  for (let step = 0; step < 45 * 6; step += 1) {
    await runCycles(world, 1)
    minServing = Math.min(minServing, countServing(world))
  }
  assert.equal(countInstances(world, 'on-demand'), 0)
  assert.equal(countInstances(world, 'reclaimable'), 3)
  assert.ok(minServing >= 3, `only ${minServing} engines served without leaving during the move back`)
})

// Failure guarded against: during a shortage, start orders are repeated hundreds of times a minute, and the cloud blocks
// the account.
test('an offer that refuses is tried less and less often', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(world, 5)
  for (const zone of ZONES) for (const market of ['reclaimable', 'on-demand'] as const) world.cloud.limitCapacity(offerIn(zone, market), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await runCycles(world, 60)
  const startsBefore = world.starts.length
  await runCycles(world, 30 * 6)
  assert.ok(world.starts.length - startsBefore <= 12, `${world.starts.length - startsBefore} starts in half an hour`)
})

// Failure guarded against: an instance is released as soon as it is not wanted, and requests that run on it break off.
test('a busy instance that is not wanted is marked as leaving and released at the end of the drain time', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(world, 5)
  for (const zone of ZONES) world.cloud.limitCapacity(offerIn(zone, 'reclaimable'), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await runCycles(world, 6)
  const expensive = world.cloud.list('sample').find((instance) => instance.market === 'on-demand')!.name
  world.setBusy(expensive, true)
  for (const zone of ZONES) world.cloud.limitCapacity(offerIn(zone, 'reclaimable'), undefined)
  let markedAt: number | undefined
  let goneAt: number | undefined
  for (let step = 0; step < 60 * 6 && goneAt === undefined; step += 1) {
    await runCycles(world, 1)
    const slot = world.desired().slots.find((candidate) => candidate.name === expensive)
    if (markedAt === undefined && slot?.state === 'leaving') markedAt = world.clock.now()
    if (!world.engines().has(expensive)) goneAt = world.clock.now()
  }
  assert.ok(markedAt !== undefined && goneAt !== undefined)
  assert.ok(goneAt - markedAt >= 10 * MINUTE - CYCLE_TIME && goneAt - markedAt <= 11 * MINUTE, `${goneAt - markedAt} ms`)
})

// Failures guarded against: a hanging engine is never replaced because the cloud lists its instance as live, or the
// planner's own connection is broken, all engines seem to be silent, and the whole fleet is replaced.
test('an engine that is silent for long is replaced, a fleet that is silent is not', async () => {
  const oneSilent = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(oneSilent, 5)
  const silent = oneSilent.cloud.list('sample')[0]!.name
  oneSilent.unreachableInstances.add(silent)
  await runCycles(oneSilent, 6 * 20)
  assert.ok(!oneSilent.engines().has(silent))
  assert.equal(countServing(oneSilent), 3)

  const allSilent = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(allSilent, 5)
  const names = allSilent.cloud.list('sample').map((instance) => instance.name)
  for (const name of names) allSilent.unreachableInstances.add(name)
  await runCycles(allSilent, 6 * 20)
  assert.deepEqual(allSilent.cloud.list('sample').map((instance) => instance.name), names)
})

// Failure guarded against: the fleet follows prices that fluctuate every few minutes. Instances are started, loaded and
// drained all the time, and the cost is higher than without any change.
test('fluctuating prices do not change the fleet', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await runCycles(world, 5)
  const bought = world.cloud.startedOrders().length
  for (let step = 0; step < 24; step += 1) {
    world.cloud.setOffers(world.cloud.offers().map((offer, index) => ({ ...offer, pricePerHour: offer.pricePerHour * ((step + index) % 2 === 0 ? 1.4 : 1 / 1.4) })))
    await runCycles(world, 30)
  }
  assert.equal(world.cloud.startedOrders().length, bought)
})

/** Runs planning cycles of the first planner. */
async function runCycles (world: PlannerWorld, cycles: number): Promise<void> {
  for (let number = 0; number < cycles; number += 1) {
    world.planners[0]?.takeLease()
    world.planners[0]?.start()
    await world.clock.advance(CYCLE_TIME)
  }
}

/** Number of engines that have a model loaded and are not marked as leaving. */
function countServing (world: PlannerWorld): number {
  const staying = world.desired().slots.filter((slot) => slot.state === 'wanted').map((slot) => slot.name)
  return staying.filter((name) => (world.engines().get(name)?.state.models().length ?? 0) > 0).length
}

function offerIn (failureDomain: typeof ZONES[number], market: 'reclaimable' | 'on-demand') {
  return { failureDomain, machineClass: 'large', market }
}

function countInstances (world: PlannerWorld, market: string): number {
  return world.cloud.list('sample').filter((instance) => instance.market === market).length
}
