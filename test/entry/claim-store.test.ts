import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createClaimStore } from '../../src/entry/claim-store.js'
import type { ClaimStore } from '../../src/entry/claim-store.js'
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
  const claimStores = keyValues.map((keyValue) => createClaimStore({ keyValue, clock, signal, shards, retention: RETENTION }))
  return { clock, switches, keyValues, claimStores }
}

/** Lets calls that have just been started reach their first wait, and then advances the clock. */
async function advance (fleet: ReturnType<typeof createFleet>, duration: number): Promise<void> {
  await fleet.clock.advance(0)
  await fleet.clock.advance(duration)
}

let sends = 0
function send (claimStore: ClaimStore, node: number, key: string, replaces?: string) {
  sends += 1
  const id = requestIdSchema.parse(`entry-${node}.send-number-${String(sends).padStart(8, '0')}`)
  const wanted = { key, id, fingerprint: 'f', ...(replaces === undefined ? {} : { replaces }) } as WantedClaim
  const sent = { key, id, result: undefined as ClaimResult | 'refused' | undefined }
  claimStore.claim(wanted).then((result) => { sent.result = result }, () => { sent.result = 'refused' })
  return sent
}

// Failure guarded against: a caller sends a request again with the same idempotency key through another node, while the
// key-value service loses replies, is slow or is down. With two owners of one key the request would be executed twice. A
// node that receives the wrong owner would not find the answer.
test('a key has at most one owner when the key-value service fails', async () => {
  const step = fc.record({ node: fc.nat(NODES - 1), key: fc.constantFrom('a', 'b', 'c'), wait: fc.constantFrom(0, 0, 1, 7, 2_500), fault: fc.constantFrom('none', 'none', 'lost', 'down', 'slow', 'late') })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 25 }), fc.integer(), async (steps, seed) => {
    const fleet = createFleet(seed, 2)
    const sent: ReturnType<typeof send>[] = []
    for (const { node, key, wait, fault } of steps) {
      const { faults } = fleet.switches[node]!
      Object.assign(faults, { lostReplies: fault === 'lost' ? 0.6 : 0, down: fault === 'down', latency: fault === 'slow' ? 300 : 3 })
      fleet.keyValues[node]!.direct.lateBy = fault === 'late' ? 100 : 0
      sent.push(send(fleet.claimStores[node]!, node, key))
      await advance(fleet, wait)
    }
    for (const { faults } of fleet.switches) Object.assign(faults, { lostReplies: 0, down: false, latency: 3 })
    for (const { direct } of fleet.keyValues) direct.lateBy = 0
    await advance(fleet, 60_000)
    for (const key of ['a', 'b', 'c']) assertAtMostOneOwner(sent.filter((item) => item.key === key))
  }), { seed: 1, numRuns: 150 })
})

function assertAtMostOneOwner (sent: ReturnType<typeof send>[]): void {
  const owners = new Set(sent.flatMap(({ id, result }) => {
    assert.notEqual(result, undefined)
    if (result === 'refused' || result === undefined) return []
    return result.kind === 'won' ? [id] : result.kind === 'owned' ? [result.id] : []
  }))
  assert.ok(owners.size <= 1, `owners: ${[...owners].join(', ')}`)
}

// Failure guarded against: a refused request is sent again with the same key through two nodes at once. Both nodes find the
// claim of the refused request, and only one of them may replace it.
test('the claim of a refused request is replaced by only one of two concurrent requests', async () => {
  const fleet = createFleet(1, 2)
  const first = send(fleet.claimStores[0]!, 0, 'a')
  await advance(fleet, 100)
  const again = [1, 2].map((node) => send(fleet.claimStores[node]!, node, 'a', first.id))
  await advance(fleet, 100)
  assert.deepEqual(again.map(({ result }) => (result as ClaimResult).kind).sort(), ['owned', 'won'])
})

// Failure guarded against: while the key-value service is down, a request with an idempotency key hangs or is executed
// without a claim. It must be refused at once.
test('a claim is refused while the key-value service is down', async () => {
  const fleet = createFleet(1, 2)
  fleet.switches[0]!.faults.down = true
  const sent = send(fleet.claimStores[0]!, 0, 'a')
  await advance(fleet, 0)
  assert.equal(sent.result, 'refused')
})

test('claims that arrive during a write are batched into the next write', async () => {
  const fleet = createFleet(1, 1)
  fleet.switches[0]!.faults.latency = 10
  const sent = Array.from({ length: 100 }, (_, index) => send(fleet.claimStores[0]!, 0, `key-${index}`))
  await advance(fleet, 100)
  assert.ok(sent.every(({ result }) => (result as ClaimResult).kind === 'won'))
  assert.ok(fleet.claimStores[0]!.statistics().writes <= 2)
})

// Failure guarded against: a new node with a wrong wall clock drops recent claims. A node may only drop claims that it has
// itself known for the whole retention time.
test('a process drops only claims that it has known for the whole retention time', async () => {
  const fleet = createFleet(1, 1)
  const first = send(fleet.claimStores[0]!, 0, 'a')
  await advance(fleet, RETENTION * 2)
  const atOtherNode = send(fleet.claimStores[1]!, 1, 'a')
  await advance(fleet, 100)
  assert.deepEqual(atOtherNode.result, { kind: 'owned', id: first.id })
  const atFirstNode = send(fleet.claimStores[0]!, 0, 'a')
  await advance(fleet, 100)
  assert.deepEqual(atFirstNode.result, { kind: 'won' })
})

test('a full shard refuses claims and a different request body conflicts', () => {
  const claim = (number: number, fingerprint = 'f') => ({ key: `key-${number}`, id: requestIdSchema.parse(`entry-1.send-number-${String(number).padStart(4, '0')}`), fingerprint })
  const { claims } = mergeClaims([], [claim(1), claim(2)], new Set())
  assert.deepEqual(mergeClaims(claims!, [claim(3)], new Set(), 160).results, [{ kind: 'full' }])
  assert.deepEqual(mergeClaims(claims!, [claim(3)], new Set(['key-1']), 160).results, [{ kind: 'won' }])
  assert.deepEqual(mergeClaims(claims!, [{ ...claim(4, 'other'), key: 'key-1' }], new Set()).results, [{ kind: 'conflict' }])
})
