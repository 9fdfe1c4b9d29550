/** The lease on the duties, over random sequences of disconnections, lost replies, restarts and pauses. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createDutyHolder, DUTY_KEY } from '../../src/gateway/duty-holder.js'
import type { DutyHolder } from '../../src/gateway/duty-holder.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { failWhileUnreachable } from '../../stand-ins/key-value-cut.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const NODES = 3
const LEASE: Milliseconds = 3 * SECOND
const STEP: Milliseconds = 100

interface DutyCall {
  readonly at: Milliseconds
  readonly node: number
  readonly fencing: number
}

interface Member {
  readonly holder: DutyHolder
  readonly controller: AbortController
}

/** Nodes that make calls whenever they hold the duties. */
function createCluster (seed: number) {
  const clock = createManualClock()
  const random = createRandom(seed)
  const faultSwitch = createFaultSwitch(clock, random)
  faultSwitch.faults.latency = 5
  const keys = createKeyValueStore(clock)
  const store = createDirectKeyValue(keys, faultSwitch, clock)
  const disconnected = new Set<number>()
  const paused = new Set<number>()
  const calls: DutyCall[] = []
  let incarnationCount = 0
  let isTaken = false

  function start (node: number, firstStart: boolean): Member {
    incarnationCount += 1
    const controller = new AbortController()
    const holder = createDutyHolder({
      context: { store: failWhileUnreachable(store, () => disconnected.has(node)), clock, random: createRandom(seed + incarnationCount), log: LOG, signal: controller.signal },
      node: `front-${node}`,
      incarnation: `front-${node}-${incarnationCount}`,
      leaseTime: LEASE,
      firstStart,
      isCandidate: () => true
    })
    return { holder, controller }
  }

  /** Reports the deletion of the key to the connected nodes, as their watches do. */
  function reportDeletion (): void {
    const wasTaken = isTaken
    isTaken = keys.get(DUTY_KEY) !== undefined
    if (wasTaken && !isTaken) members.forEach(({ holder }, node) => { if (!disconnected.has(node)) holder.onLeaseDeleted() })
  }

  const members = Array.from({ length: NODES }, (_, node) => start(node, true))

  return {
    clock,
    faultSwitch,
    disconnected,
    paused,
    calls,
    release: async (node: number) => {
      const released = members[node]!.holder.release().catch(() => {})
      await clock.advance(STEP)
      await released
    },
    restart: (node: number) => {
      members[node]!.controller.abort()
      members[node] = start(node, false)
    },
    run: async (duration: Milliseconds) => {
      for (let passed = 0; passed < duration; passed += STEP) {
        await clock.advance(STEP)
        reportDeletion()
        members.forEach(({ holder }, node) => {
          if (paused.has(node)) return
          const proof = holder.proof()
          if (proof === undefined) return
          holder.recordCall()
          calls.push({ at: clock.now(), node, fencing: proof.fencing })
        })
      }
    },
    stop: () => members.forEach(({ controller }) => controller.abort())
  }
}

const node = fc.nat(NODES - 1)
const step = fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), node }),
  fc.record({ kind: fc.constant('heal' as const), node }),
  fc.record({ kind: fc.constant('restart' as const), node }),
  fc.record({ kind: fc.constant('release' as const), node }),
  fc.record({ kind: fc.constant('pause' as const), node }),
  fc.record({ kind: fc.constant('wake' as const), node }),
  fc.record({ kind: fc.constant('lose' as const), part: fc.constantFrom(0, 0.3, 0.9) })
)
const steps = fc.array(fc.record({ step, then: fc.oneof(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 45 })) }), { maxLength: 12 })

describe('the holder of the duties', () => {
  // Guards against two nodes that order upstreams alternately, each undoing the orders of the other. A node releases the
  // lease or loses its connection, a second node acquires the lease, and the first acquires it again within the lease time.
  it('uses a fencing number of its own, never a lower one than before, and never alternates within the lease time', async () => {
    await fc.assert(fc.asyncProperty(steps, fc.nat(1_000), async (plan, seed) => {
      const cluster = createCluster(seed)
      await cluster.run(4 * SECOND)
      for (const { step, then } of plan) {
        switch (step.kind) {
          case 'cut': cluster.disconnected.add(step.node); break
          case 'heal': cluster.disconnected.delete(step.node); break
          case 'restart': cluster.restart(step.node); break
          case 'release': await cluster.release(step.node); break
          case 'pause': cluster.paused.add(step.node); break
          case 'wake': cluster.paused.delete(step.node); break
          case 'lose': cluster.faultSwitch.faults.lostReplies = step.part
        }
        await cluster.run(then * STEP)
      }
      cluster.stop()
      assertCallOrder(cluster.calls)
    }), { numRuns: 60, seed: 11 })
  })

  it('is determined again after all nodes were disconnected', async () => {
    const cluster = createCluster(1)
    await cluster.run(5 * SECOND)
    for (let node = 0; node < NODES; node += 1) cluster.disconnected.add(node)
    await cluster.run(10 * SECOND)
    const before = cluster.calls.length
    cluster.disconnected.clear()
    await cluster.run(25 * SECOND)
    assert.ok(before > 0 && cluster.calls.length > before + 50, `${before} calls before, ${cluster.calls.length} in total`)
    cluster.stop()
    assertCallOrder(cluster.calls)
  })
})

function assertCallOrder (calls: readonly DutyCall[]): void {
  const owners = new Map<number, number>()
  const lastCallAt = new Map<number, Milliseconds>()
  let highestFencing = 0
  let previousNode: number | undefined
  for (const { at, node, fencing } of calls) {
    assert.equal(owners.get(fencing) ?? node, node, `fencing number ${fencing} used by two nodes`)
    assert.ok(fencing >= highestFencing, `fencing number ${fencing} after ${highestFencing}`)
    if (previousNode !== undefined && previousNode !== node) assert.ok(at - (lastCallAt.get(node) ?? -Infinity) >= LEASE, `node ${node} calls again after ${at - (lastCallAt.get(node) ?? 0)} ms, with a call of another node in between`)
    owners.set(fencing, node)
    highestFencing = fencing
    lastCallAt.set(node, at)
    previousNode = node
  }
}
