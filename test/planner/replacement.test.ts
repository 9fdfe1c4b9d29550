/** Refused starts, the way home to cheaper capacity, and graceful drains. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SECOND, MINUTE } from '../../src/clock.js'
import { failureDomainSchema } from '../../src/identifiers.js'
import { createPlannerWorld } from './harness.js'
import type { PlannerWorld } from './harness.js'

const ZONES = ['zone-a', 'zone-b', 'zone-c'].map((zone) => failureDomainSchema.parse(zone))
const LOOK = 10 * SECOND

// After a reclaim wave every start is refused for an hour, and plans are late until somebody buys by
// hand; or the dear machines bought in the wave are still there a month later.
test('refused starts end on demand, and come home when the cheaper market opens again', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true, loadTime: 90 * SECOND })
  await look(world, 15)
  for (const zone of ZONES) world.cloud.limit(offerIn(zone, 'reclaimable'), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await look(world, 15)
  assert.equal(count(world, 'on-demand'), 1)
  assert.equal(count(world, 'reclaimable'), 2)
  for (const zone of ZONES) world.cloud.limit(offerIn(zone, 'reclaimable'), undefined)
  let fewest = Infinity
  for (let step = 0; step < 45 * 6; step += 1) {
    await look(world, 1)
    fewest = Math.min(fewest, serving(world))
  }
  assert.equal(count(world, 'on-demand'), 0)
  assert.equal(count(world, 'reclaimable'), 3)
  assert.ok(fewest >= 3, `${fewest} engines that serve and stay, on the way home`)
})

// The cloud's interface is called hundreds of times a minute in a shortage, and it bans the account.
test('an offer that refuses is asked ever more rarely', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await look(world, 5)
  for (const zone of ZONES) for (const market of ['reclaimable', 'on-demand'] as const) world.cloud.limit(offerIn(zone, market), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await look(world, 60)
  const soon = world.starts.length
  await look(world, 30 * 6)
  assert.ok(world.starts.length - soon <= 12, `${world.starts.length - soon} starts in half an hour`)
})

// A plan breaks off in the middle: its engine's machine was given back as soon as it was not wanted.
test('an instance that is given back has been marked for a while, and is empty or out of time', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await look(world, 5)
  for (const zone of ZONES) world.cloud.limit(offerIn(zone, 'reclaimable'), 0)
  world.cloud.reclaimDomain(ZONES[0]!, 2 * SECOND)
  await look(world, 6)
  const dear = world.cloud.list('sample').find((instance) => instance.market === 'on-demand')!.name
  world.setBusy(dear, true)
  for (const zone of ZONES) world.cloud.limit(offerIn(zone, 'reclaimable'), undefined)
  let marked: number | undefined
  let gone: number | undefined
  for (let step = 0; step < 60 * 6 && gone === undefined; step += 1) {
    await look(world, 1)
    const slot = world.desired().slots.find((one) => one.name === dear)
    if (marked === undefined && slot?.state === 'leaving') marked = world.clock.now()
    if (!world.engines().has(dear)) gone = world.clock.now()
  }
  assert.ok(marked !== undefined && gone !== undefined)
  assert.ok(gone - marked >= 10 * MINUTE - LOOK && gone - marked <= 11 * MINUTE, `${gone - marked} ms`)
})

// One engine hangs for a day on a machine that the cloud calls live; or a broken path of the planner's
// own makes all engines look dead, and the whole fleet is bought anew.
test('an engine that is silent for long is replaced, a fleet that is silent is not', async () => {
  const one = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await look(one, 5)
  const hung = one.cloud.list('sample')[0]!.name
  one.cutOff.add(hung)
  await look(one, 6 * 20)
  assert.ok(!one.engines().has(hung))
  assert.equal(serving(one), 3)

  const all = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await look(all, 5)
  const names = all.cloud.list('sample').map((instance) => instance.name)
  for (const name of names) all.cutOff.add(name)
  await look(all, 6 * 20)
  assert.deepEqual(all.cloud.list('sample').map((instance) => instance.name), names)
})

// Prices twitch every few minutes, and the fleet follows: machines start, load weights and drain all
// day, and the bill is higher than without any of it.
test('prices that twitch move nothing', async () => {
  const world = createPlannerWorld({ seed: 1, checksFencing: () => true })
  await look(world, 5)
  const bought = world.cloud.bought().length
  for (let step = 0; step < 24; step += 1) {
    world.cloud.setOffers(world.cloud.offers().map((offer, index) => ({ ...offer, pricePerHour: offer.pricePerHour * ((step + index) % 2 === 0 ? 1.4 : 1 / 1.4) })))
    await look(world, 30)
  }
  assert.equal(world.cloud.bought().length, bought)
})

async function look (world: PlannerWorld, looks: number): Promise<void> {
  for (let number = 0; number < looks; number += 1) {
    world.planners[0]?.takeLease()
    world.planners[0]?.start()
    await world.clock.advance(LOOK)
  }
}

/** Engines that have their model and are not marked as leaving. */
function serving (world: PlannerWorld): number {
  const staying = world.desired().slots.filter((slot) => slot.state === 'wanted').map((slot) => slot.name)
  return staying.filter((name) => (world.engines().get(name)?.state.models().length ?? 0) > 0).length
}

function offerIn (failureDomain: typeof ZONES[number], market: 'reclaimable' | 'on-demand') {
  return { failureDomain, machineClass: 'large', market }
}

function count (world: PlannerWorld, market: string): number {
  return world.cloud.list('sample').filter((instance) => instance.market === market).length
}
