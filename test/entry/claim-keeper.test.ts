import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createClaimKeeper } from '../../src/entry/claim-keeper.js'
import type { ClaimKeeper } from '../../src/entry/claim-keeper.js'
import { requestIdSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { mergeClaims } from '../../src/request/index.js'
import type { ClaimResult, WantedClaim } from '../../src/request/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const NODES = 3
const RETENTION = 60_000

function createFleet (seed: number, shards: number) {
  const clock = createManualClock()
  const store = createKeyValueStore(clock)
  const switches = Array.from({ length: NODES }, (_, node) => createFaultSwitch(clock, createRandom(seed + node)))
  const { signal } = new AbortController()
  const keyValues = switches.map((faultSwitch) => createDirectKeyValue(store, faultSwitch, clock))
  const keepers = keyValues.map((keyValue) => createClaimKeeper({ keyValue, clock, signal, shards, retention: RETENTION }))
  return { clock, switches, keyValues, keepers }
}

/** Lets what was just begun reach its first wait, and then time pass. */
async function pass (fleet: ReturnType<typeof createFleet>, duration: number): Promise<void> {
  await fleet.clock.advance(0)
  await fleet.clock.advance(duration)
}

let sends = 0
function send (keeper: ClaimKeeper, node: number, key: string, replaces?: string) {
  sends += 1
  const id = requestIdSchema.parse(`entry-${node}.send-number-${String(sends).padStart(8, '0')}`)
  const wanted = { key, id, fingerprint: 'f', ...(replaces === undefined ? {} : { replaces }) } as WantedClaim
  const sent = { key, id, result: undefined as ClaimResult | 'refused' | undefined }
  keeper.claim(wanted).then((result) => { sent.result = result }, () => { sent.result = 'refused' })
  return sent
}

// A caller's connection breaks and it sends its booking again with the same Idempotency-Key through another
// node, both at once, while the key-value service loses replies, is slow or is down. Two owners of one key
// would be two vans; a node that is told the wrong owner would lose the answer.
test('of many sends of a key exactly one owns it, whatever the service loses', async () => {
  const step = fc.record({ node: fc.nat(NODES - 1), key: fc.constantFrom('a', 'b', 'c'), wait: fc.constantFrom(0, 0, 1, 7, 2_500), fault: fc.constantFrom('none', 'none', 'lost', 'down', 'slow', 'late') })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 25 }), fc.integer(), async (steps, seed) => {
    const fleet = createFleet(seed, 2)
    const sent: ReturnType<typeof send>[] = []
    for (const { node, key, wait, fault } of steps) {
      const { faults } = fleet.switches[node]!
      Object.assign(faults, { lostReplies: fault === 'lost' ? 0.6 : 0, down: fault === 'down', latency: fault === 'slow' ? 300 : 3 })
      fleet.keyValues[node]!.direct.lateBy = fault === 'late' ? 100 : 0
      sent.push(send(fleet.keepers[node]!, node, key))
      await pass(fleet, wait)
    }
    for (const { faults } of fleet.switches) Object.assign(faults, { lostReplies: 0, down: false, latency: 3 })
    for (const { direct } of fleet.keyValues) direct.lateBy = 0
    await pass(fleet, 60_000)
    for (const key of ['a', 'b', 'c']) assertOneOwner(sent.filter((one) => one.key === key))
  }), { seed: 1, numRuns: 150 })
})

function assertOneOwner (sent: ReturnType<typeof send>[]): void {
  const owners = new Set(sent.flatMap(({ id, result }) => {
    assert.notEqual(result, undefined)
    if (result === 'refused' || result === undefined) return []
    return result.kind === 'won' ? [id] : result.kind === 'owned' ? [result.id] : []
  }))
  assert.ok(owners.size <= 1, `owners: ${[...owners].join(', ')}`)
}

// A refused booking is sent again with its key by two impatient windows at once. Both nodes find the claim
// of the refused request; only one may take its place.
test('a refused request\'s claim is replaced by one of several', async () => {
  const fleet = createFleet(1, 2)
  const first = send(fleet.keepers[0]!, 0, 'a')
  await pass(fleet, 100)
  const again = [1, 2].map((node) => send(fleet.keepers[node]!, node, 'a', first.id))
  await pass(fleet, 100)
  assert.deepEqual(again.map(({ result }) => (result as ClaimResult).kind).sort(), ['owned', 'won'])
})

// The key-value service is down for an hour. A booking with a bare key must be refused as not run at once,
// not hang and not run unclaimed.
test('without the service a key is refused', async () => {
  const fleet = createFleet(1, 2)
  fleet.switches[0]!.faults.down = true
  const sent = send(fleet.keepers[0]!, 0, 'a')
  await pass(fleet, 0)
  assert.equal(sent.result, 'refused')
})

test('claims that arrive during a write share the next one', async () => {
  const fleet = createFleet(1, 1)
  fleet.switches[0]!.faults.latency = 10
  const sent = Array.from({ length: 100 }, (_, index) => send(fleet.keepers[0]!, 0, `key-${index}`))
  await pass(fleet, 100)
  assert.ok(sent.every(({ result }) => (result as ClaimResult).kind === 'won'))
  assert.ok(fleet.keepers[0]!.statistics().writes <= 2)
})

// A node is started and its wall clock is a day ahead. The claims of this morning must stay: it drops only
// what it has itself seen for the whole retention.
test('claims are dropped only after a process has seen them for the whole retention', async () => {
  const fleet = createFleet(1, 1)
  const first = send(fleet.keepers[0]!, 0, 'a')
  await pass(fleet, RETENTION * 2)
  const atNewcomer = send(fleet.keepers[1]!, 1, 'a')
  await pass(fleet, 100)
  assert.deepEqual(atNewcomer.result, { kind: 'owned', id: first.id })
  const atWitness = send(fleet.keepers[0]!, 0, 'a')
  await pass(fleet, 100)
  assert.deepEqual(atWitness.result, { kind: 'won' })
})

test('a full shard refuses and a different body conflicts', () => {
  const claim = (number: number, fingerprint = 'f') => ({ key: `key-${number}`, id: requestIdSchema.parse(`entry-1.send-number-${String(number).padStart(4, '0')}`), fingerprint })
  const { claims } = mergeClaims([], [claim(1), claim(2)], new Set())
  assert.deepEqual(mergeClaims(claims!, [claim(3)], new Set(), 160).results, [{ kind: 'full' }])
  assert.deepEqual(mergeClaims(claims!, [claim(3)], new Set(['key-1']), 160).results, [{ kind: 'won' }])
  assert.deepEqual(mergeClaims(claims!, [{ ...claim(4, 'other'), key: 'key-1' }], new Set()).results, [{ kind: 'conflict' }])
})
