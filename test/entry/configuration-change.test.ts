/** Tests of configuration changes while the key-value service loses replies, delays writes or is down. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { checkConfiguration } from '../../src/configuration/index.js'
import type { ConfigurationRevision } from '../../src/configuration/index.js'
import { applyChange, CONFIGURATION_KEY, readCurrent, readHistory, rollBack } from '../../src/entry/configuration-change.js'
import type { ChangeOutcome } from '../../src/entry/configuration-change.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

function configurationOf (wholeAnswer: number) {
  return checkConfiguration({
    deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
    services: [{ kind: 'plain', name: 'booking' }],
    organisations: [{ name: 'tejo', key_sha256: ['a'.repeat(64)] }],
    classes: [{ name: 'booking', service: 'booking', idempotent: false, target: { whole_answer_ms: wholeAnswer, quantile: 0.95, reliability: 0.99 } }]
  })
}

function createTestSystem (seed: number) {
  const clock = createManualClock()
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, createRandom(seed))
  const keyValue = createDirectKeyValue(store, faultSwitch, clock)
  const change = async (changeId: string, wholeAnswer: number, base: number): Promise<ChangeOutcome | 'not-run'> => {
    const request = { changeId, author: 'ana', reason: 'test', configuration: configurationOf(wholeAnswer), base }
    return applyChange({ store: keyValue, clock }, request).catch((error) => error.verdict)
  }
  return { clock, store, faultSwitch, keyValue, change }
}

/** Lets calls that have just been started reach their first pause, and then advances the clock by one minute. */
async function advanceClock (clock: ManualClock): Promise<void> {
  await clock.advance(0)
  await clock.advance(60_000)
}

test('the reported outcome of every change is correct when replies are lost', async () => {
  // Failure guarded against: several operators apply changes at once while replies are lost, writes take effect after their
  // caller has given up, and the service is down for a while. "accepted" is reported although another change was stored, or
  // "conflict" although the change comes into force later.
  const operator = fc.record({ start: fc.nat(4_000), wholeAnswer: fc.integer({ min: 1, max: 1_000_000 }) })
  const faultPlans = fc.record({ lostReplies: fc.double({ min: 0, max: 0.7, noNaN: true }), lateBy: fc.constantFrom(0, 700, 2_500), lateEvery: fc.integer({ min: 1, max: 3 }), downAt: fc.nat(4_000), downFor: fc.constantFrom(0, 300, 3_000) })
  await fc.assert(fc.asyncProperty(fc.nat(), fc.array(operator, { minLength: 2, maxLength: 4 }), faultPlans, async (seed, operators, faultPlan) => {
    const { clock, faultSwitch, keyValue, change } = createTestSystem(seed)
    await change('first-change', 5_000, 0)
    const started = operators.map(async (item, index) => {
      await clock.sleep(item.start)
      const base = (await readCurrent(keyValue).catch(() => undefined))?.stored.revision ?? 1
      return change(`change-${index}`, item.wholeAnswer, base)
    })
    faultSwitch.faults.latency = 20
    faultSwitch.faults.lostReplies = faultPlan.lostReplies
    keyValue.direct.lateBy = faultPlan.lateBy
    keyValue.direct.lateEvery = faultPlan.lateEvery
    const outage = clock.sleep(faultPlan.downAt).then(async () => {
      faultSwitch.faults.down = faultPlan.downFor > 0
      await clock.sleep(faultPlan.downFor)
      faultSwitch.faults.down = false
    })
    await advanceClock(clock)
    await outage
    const outcomes = await Promise.all(started)
    faultSwitch.faults.lostReplies = 0
    faultSwitch.faults.latency = 0
    const history = await readHistory(keyValue, 100)
    checkHistory(history)
    outcomes.forEach((outcome, index) => checkOutcome(outcome, `change-${index}`, history))
  }), { seed: 1, numRuns: 300 })
})

function checkHistory (history: readonly ConfigurationRevision[]): void {
  const newest = history[0]?.revision ?? 0
  assert.deepEqual(history.map((revision) => revision.revision), Array.from({ length: newest }, (_, index) => newest - index))
  assert.equal(new Set(history.map((revision) => revision.changeId)).size, history.length)
}

function checkOutcome (outcome: ChangeOutcome | 'not-run', changeId: string, history: readonly ConfigurationRevision[]): void {
  const stored = history.find((revision) => revision.changeId === changeId)
  if (outcome === 'not-run') return assert.equal(stored, undefined)
  switch (outcome.kind) {
    case 'accepted': return assert.equal(stored?.revision, outcome.revision.revision)
    case 'conflict': return assert.equal(stored, undefined)
    case 'unchanged': return assert.equal(stored, undefined)
    case 'unknown':
  }
}

test('a change whose reply was lost is reported as accepted, also if another change has followed', async () => {
  // Failure guarded against: a change takes effect but its reply is lost, and a second change replaces it before the first
  // is read back. The first change must not be reported as "conflict", because both came into force one after the other.
  const { clock, keyValue, change } = createTestSystem(1)
  await change('first-change', 5_000, 0)
  const swap = keyValue.compareAndSwap
  keyValue.compareAndSwap = async (key, expected, value, options) => {
    const result = await swap(key, expected, value, options)
    if (key !== CONFIGURATION_KEY) return result
    keyValue.compareAndSwap = swap
    await change('second-change', 7_000, 2)
    throw new Error('the reply was lost')
  }
  const first = change('lost-change', 6_000, 1)
  await advanceClock(clock)
  const outcome = await first as ChangeOutcome
  assert.ok(outcome.kind === 'accepted' && outcome.superseded)
  assert.equal((await readCurrent(keyValue))?.stored.changeId, 'second-change')
})

test('a change that is repeated with its id after "unknown" is not applied twice', async () => {
  const { clock, faultSwitch, keyValue, change } = createTestSystem(1)
  await change('first-change', 5_000, 0)
  const swap = keyValue.compareAndSwap
  keyValue.compareAndSwap = async (key, expected, value, options) => {
    const result = await swap(key, expected, value, options)
    if (key !== CONFIGURATION_KEY) return result
    faultSwitch.faults.down = true
    throw new Error('the reply was lost')
  }
  const first = change('second-change', 6_000, 1)
  await advanceClock(clock)
  assert.equal((await first as ChangeOutcome).kind, 'unknown')
  faultSwitch.faults.down = false
  keyValue.compareAndSwap = swap
  await change('third-change', 7_000, 2)
  const again = await change('second-change', 6_000, 1)
  assert.deepEqual([(again as ChangeOutcome).kind, (await readHistory(keyValue, 10)).length], ['accepted', 3])
})

test('a rollback creates a new revision with the earlier configuration', async () => {
  const { clock, keyValue, change } = createTestSystem(1)
  await change('first-change', 5_000, 0)
  await change('second-change', 6_000, 1)
  const outcome = await rollBack({ store: keyValue, clock }, { to: 1, changeId: 'roll-back', author: 'ana', reason: 'test', base: 2 })
  assert.equal(outcome.kind === 'accepted' && outcome.revision.revision, 3)
  assert.deepEqual((await readCurrent(keyValue))?.stored.configuration, configurationOf(5_000))
})
