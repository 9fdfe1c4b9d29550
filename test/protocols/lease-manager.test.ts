/** The planners' lease has at most one holder at a time, even if replies are lost, writes are late or processes are paused. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Clock } from '../../src/clock.js'
import { incarnationSchema } from '../../src/identifiers.js'
import { createLeaseManager, PLANNER_LEASE_TIME, PLANNER_LEASE_KEY } from '../../src/protocols/lease-manager.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { failWhileUnreachable } from '../../stand-ins/key-value-cut.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

function createTestEnvironment (seed: number) {
  const clock = createManualClock()
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, createRandom(seed))
  faultSwitch.faults.latency = 5
  const keyValue = createDirectKeyValue(store, faultSwitch, clock)
  const owner = new AbortController()
  const cutOff = new Set<number>()
  const planner = (number: number, ownClock: Clock = clock) => createLeaseManager({
    keyValue: failWhileUnreachable(keyValue, () => cutOff.has(number)),
    clock: ownClock,
    random: createRandom(seed + number),
    log: LOG,
    signal: owner.signal,
    holder: incarnationSchema.parse(`planner-${number}`)
  })
  return { clock, store, faultSwitch, keyValue, planner, cutOff, stop: () => owner.abort() }
}

/** A clock of a process that can be paused. Its time goes on during a pause, but its sleeps end only after the pause. */
function createPausableClock (clock: ManualClock): { clock: Clock, pause: (duration: number) => void } {
  let pausedUntil = 0
  const sleep: Clock['sleep'] = async (delay, signal) => {
    await clock.sleep(delay, signal)
    while (clock.now() < pausedUntil) await clock.sleep(pausedUntil - clock.now(), signal)
  }
  return { clock: { ...clock, sleep }, pause: (duration) => { pausedUntil = clock.now() + duration } }
}

test('there are never two holders at once, and each new holder has a higher fencing number', async () => {
  // Planners acquire and lose the lease while replies are lost, writes arrive late and the service is unavailable.
  // Guards against two holders that give contradicting orders, and against a new holder whose orders are rejected because
  // an earlier holder had a higher fencing number.
  const step = fc.record({ wait: fc.integer({ min: 100, max: 9_000 }), lostReplies: fc.constantFrom(0, 0.3, 0.8), down: fc.boolean(), lateBy: fc.constantFrom(0, 1_500, 6_000), cut: fc.subarray([1, 2, 3]) })
  await fc.assert(fc.asyncProperty(fc.nat(), fc.array(step, { minLength: 5, maxLength: 20 }), async (seed, steps) => {
    const { clock, faultSwitch, keyValue, planner, cutOff, stop } = createTestEnvironment(seed)
    const planners = [planner(1), planner(2), planner(3)]
    let latest = { fencing: 0, holder: -1 }
    for (const { wait, lostReplies, down, lateBy, cut } of steps) {
      cutOff.clear()
      for (const number of cut) cutOff.add(number)
      Object.assign(faultSwitch.faults, { lostReplies, down })
      Object.assign(keyValue.direct, { lateBy, lateEvery: 2 })
      for (let passed = 0; passed < wait; passed += 500) {
        await clock.advance(500)
        const holders = planners.flatMap((manager, index) => manager.held(0) === undefined ? [] : [{ fencing: manager.held(0)!.fencing, holder: index }])
        assert.ok(holders.length <= 1, 'two planners hold the lease')
        const holder = holders[0]
        if (holder === undefined) continue
        assert.ok(holder.holder === latest.holder ? holder.fencing >= latest.fencing : holder.fencing > latest.fencing, 'the fencing number did not rise')
        latest = holder
      }
    }
    stop()
  }), { seed: 1, numRuns: 60 })
})

test('a holder that was paused beyond its lease time does not act after the pause', async () => {
  // The holder's process is paused for a minute. Its lease expires and another planner takes over. After the pause, the
  // former holder must not act before it has reached the service.
  const { clock, planner, stop } = createTestEnvironment(1)
  const pausableClock = createPausableClock(clock)
  const first = planner(1, pausableClock.clock)
  await clock.advance(0)
  await clock.advance(1_000)
  const fencing = first.held(0)?.fencing ?? 0
  const second = planner(2)
  pausableClock.pause(60_000)
  await clock.advance(45_000)
  assert.equal(first.held(0), undefined)
  assert.ok((second.held(0)?.fencing ?? 0) > fencing)
  stop()
})

test('a planner that lost the reply to its acquisition finds out that it holds the lease', async () => {
  const { clock, store, keyValue, planner, stop } = createTestEnvironment(1)
  const swap = keyValue.compareAndSwap
  keyValue.compareAndSwap = async (...call) => {
    keyValue.compareAndSwap = swap
    await swap(...call)
    throw new Error('the reply was lost')
  }
  const manager = planner(1)
  await clock.advance(0)
  await clock.advance(PLANNER_LEASE_TIME / 2)
  assert.equal(manager.held(0)?.fencing, store.get(PLANNER_LEASE_KEY)?.revision)
  stop()
})

test('the holder stops before another process can acquire the lease', async () => {
  // The service becomes unavailable right after a renewal. The holder stops by its own clock, and the lease expires at the
  // service only after that.
  const { clock, store, faultSwitch, planner, stop } = createTestEnvironment(1)
  const manager = planner(1)
  await clock.advance(0)
  await clock.advance(20_000)
  faultSwitch.faults.down = true
  while (manager.held(0) !== undefined) await clock.advance(10)
  assert.notEqual(store.get(PLANNER_LEASE_KEY), undefined)
  stop()
})

// Guards against a lease that changes its fencing number again and again: the key of a former holder is deleted, and a process
// acquires the lease by `refresh` while its loop sleeps until the next read of the key. The lease expires during the sleep, the
// deletion of its key triggers the next acquisition, and so on.
test('a lease that is acquired between two reads of the key keeps its fencing number', async () => {
  const environment = createTestEnvironment(1)
  environment.store.put(PLANNER_LEASE_KEY, 'another')
  const owner = new AbortController()
  const terms = { name: 'duty', key: PLANNER_LEASE_KEY, time: 3_000, renewalInterval: 1_000, waiting: 15_000 }
  const lease = createLeaseManager({ keyValue: environment.keyValue, clock: environment.clock, random: createRandom(1), log: LOG, signal: owner.signal, holder: incarnationSchema.parse('node-1'), terms })
  for (let step = 0; step < 20; step += 1) await environment.clock.advance(50)
  environment.store.compareAndDelete(PLANNER_LEASE_KEY, environment.store.get(PLANNER_LEASE_KEY)!.revision)
  const taken = lease.refresh()
  for (let step = 0; step < 10; step += 1) await environment.clock.advance(10)
  await taken
  const first = lease.held(0)?.fencing
  assert.notEqual(first, undefined)
  for (let waited = 0; waited < 20_000; waited += 50) {
    await environment.clock.advance(50)
    assert.equal(lease.held(0)?.fencing, first, `${waited} ms after it was acquired`)
  }
  owner.abort()
  environment.stop()
})
