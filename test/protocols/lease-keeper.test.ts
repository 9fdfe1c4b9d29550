/** The planners' lease: one holder at a time by any clock, whatever is lost, late or paused. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Clock } from '../../src/clock.js'
import { incarnationSchema } from '../../src/identifiers.js'
import { createLeaseKeeper, LEASE_TIME, PLANNER_KEY } from '../../src/protocols/lease-keeper.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { reachedUnless } from '../../stand-ins/key-value-cut.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

function createWorld (seed: number) {
  const clock = createManualClock()
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, createRandom(seed))
  faultSwitch.faults.latency = 5
  const keyValue = createDirectKeyValue(store, faultSwitch, clock)
  const owner = new AbortController()
  const cutOff = new Set<number>()
  const planner = (number: number, ownClock: Clock = clock) => createLeaseKeeper({
    keyValue: reachedUnless(keyValue, () => cutOff.has(number)),
    clock: ownClock,
    random: createRandom(seed + number),
    log: LOG,
    signal: owner.signal,
    holder: incarnationSchema.parse(`planner-${number}`)
  })
  return { clock, store, faultSwitch, keyValue, planner, cutOff, stop: () => owner.abort() }
}

/** A clock whose time goes on while its process is paused: nothing of it runs until the pause ends. */
function pausable (clock: ManualClock): { clock: Clock, pause: (duration: number) => void } {
  let pausedUntil = 0
  const sleep: Clock['sleep'] = async (delay, signal) => {
    await clock.sleep(delay, signal)
    while (clock.now() < pausedUntil) await clock.sleep(pausedUntil - clock.now(), signal)
  }
  return { clock: { ...clock, sleep }, pause: (duration) => { pausedUntil = clock.now() + duration } }
}

test('never two holders at once, and each later one has a higher fencing number', async () => {
  // Planners take and lose the lease while replies are lost, writes arrive late and the service goes
  // down. Two of them hold it at the same time and give contradicting orders, or a later holder's
  // orders are fenced off by an earlier one's number.
  const step = fc.record({ wait: fc.integer({ min: 100, max: 9_000 }), lostReplies: fc.constantFrom(0, 0.3, 0.8), down: fc.boolean(), lateBy: fc.constantFrom(0, 1_500, 6_000), cut: fc.subarray([1, 2, 3]) })
  await fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { minLength: 5, maxLength: 20 }), async (seed, steps) => {
    const { clock, faultSwitch, keyValue, planner, cutOff, stop } = createWorld(seed)
    const planners = [planner(1), planner(2), planner(3)]
    let latest = { fencing: 0, holder: -1 }
    for (const { wait, lostReplies, down, lateBy, cut } of steps) {
      cutOff.clear()
      for (const number of cut) cutOff.add(number)
      Object.assign(faultSwitch.faults, { lostReplies, down })
      Object.assign(keyValue.direct, { lateBy, lateEvery: 2 })
      for (let passed = 0; passed < wait; passed += 500) {
        await clock.advance(500)
        const holders = planners.flatMap((keeper, index) => keeper.held(0) === undefined ? [] : [{ fencing: keeper.held(0)!.fencing, holder: index }])
        assert.ok(holders.length <= 1, 'two hold the lease')
        const holder = holders[0]
        if (holder === undefined) continue
        assert.ok(holder.holder === latest.holder ? holder.fencing >= latest.fencing : holder.fencing > latest.fencing, 'the fencing number did not rise')
        latest = holder
      }
    }
    stop()
  }), { seed: 1, numRuns: 60 })
})

test('a holder that was paused past its lease does not act when it wakes', async () => {
  // The holder's process stands still for a minute. Its lease lapses, another planner takes over. The
  // first wakes in the middle of its work and, before it hears from the service, must not act.
  const { clock, planner, stop } = createWorld(1)
  const paused = pausable(clock)
  const first = planner(1, paused.clock)
  await clock.advance(0)
  await clock.advance(1_000)
  const fencing = first.held(0)?.fencing ?? 0
  const second = planner(2)
  paused.pause(60_000)
  await clock.advance(45_000)
  assert.equal(first.held(0), undefined)
  assert.ok((second.held(0)?.fencing ?? 0) > fencing)
  stop()
})

test('a planner whose reply was lost when it took the lease finds that it holds it', async () => {
  const { clock, store, keyValue, planner, stop } = createWorld(1)
  const swap = keyValue.compareAndSwap
  keyValue.compareAndSwap = async (...call) => {
    keyValue.compareAndSwap = swap
    await swap(...call)
    throw new Error('the reply was lost')
  }
  const keeper = planner(1)
  await clock.advance(0)
  await clock.advance(LEASE_TIME / 2)
  assert.equal(keeper.held(0)?.fencing, store.get(PLANNER_KEY)?.revision)
  stop()
})

test('the holder stops before the service can give the lease to another', async () => {
  // The service goes down right after a renewal. The holder goes on until its own bound; the lease
  // lapses at the service only after that.
  const { clock, store, faultSwitch, planner, stop } = createWorld(1)
  const keeper = planner(1)
  await clock.advance(0)
  await clock.advance(20_000)
  faultSwitch.faults.down = true
  while (keeper.held(0) !== undefined) await clock.advance(10)
  assert.notEqual(store.get(PLANNER_KEY), undefined)
  stop()
})

// The holder dies, its key is seen to vanish, and another takes the lease at once. It slept on until its next look at the
// key, let the lease lapse, took it again as the key vanished, and so on: each time under another number.
test('a lease that is taken between two looks is held under one number', async () => {
  const world = createWorld(1)
  world.store.put(PLANNER_KEY, 'another')
  const owner = new AbortController()
  const terms = { name: 'duty', key: PLANNER_KEY, time: 3_000, renewal: 1_000, waiting: 15_000 }
  const lease = createLeaseKeeper({ keyValue: world.keyValue, clock: world.clock, random: createRandom(1), log: LOG, signal: owner.signal, holder: incarnationSchema.parse('node-1'), terms })
  for (let step = 0; step < 20; step += 1) await world.clock.advance(50)
  world.store.compareAndDelete(PLANNER_KEY, world.store.get(PLANNER_KEY)!.revision)
  const taken = lease.refresh()
  for (let step = 0; step < 10; step += 1) await world.clock.advance(10)
  await taken
  const first = lease.held(0)?.fencing
  assert.notEqual(first, undefined)
  for (let waited = 0; waited < 20_000; waited += 50) {
    await world.clock.advance(50)
    assert.equal(lease.held(0)?.fencing, first, `${waited} ms after it was taken`)
  }
  owner.abort()
  world.stop()
})
