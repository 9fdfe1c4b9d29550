/** Who holds the duties of the gateway nodes, over interleavings of cuts, lost answers, kills and pauses. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createDutyHolder, DUTY_KEY } from '../../src/gateway/duty-holder.js'
import type { DutyHolder } from '../../src/gateway/duty-holder.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { reachedUnless } from '../../stand-ins/key-value-cut.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const NODES = 3
const LEASE: Milliseconds = 3 * SECOND
const STEP: Milliseconds = 100

interface Act {
  readonly at: Milliseconds
  readonly node: number
  readonly fencing: number
}

interface Member {
  readonly holder: DutyHolder
  readonly ending: AbortController
}

/** Nodes that act whenever they hold the duties. */
function createWorld (seed: number) {
  const clock = createManualClock()
  const random = createRandom(seed)
  const faultSwitch = createFaultSwitch(clock, random)
  faultSwitch.faults.latency = 5
  const keys = createKeyValueStore(clock)
  const store = createDirectKeyValue(keys, faultSwitch, clock)
  const cut = new Set<number>()
  const paused = new Set<number>()
  const acts: Act[] = []
  let lives = 0
  let isTaken = false

  function start (node: number, firstStart: boolean): Member {
    lives += 1
    const ending = new AbortController()
    const holder = createDutyHolder({
      context: { store: reachedUnless(store, () => cut.has(node)), clock, random: createRandom(seed + lives), log: LOG, signal: ending.signal },
      node: `front-${node}`,
      incarnation: `front-${node}-${lives}`,
      leaseTime: LEASE,
      firstStart,
      isCandidate: () => true
    })
    return { holder, ending }
  }

  /** Watches show that the key has vanished. */
  function tellVacancy (): void {
    const wasTaken = isTaken
    isTaken = keys.get(DUTY_KEY) !== undefined
    if (wasTaken && !isTaken) members.forEach(({ holder }, node) => { if (!cut.has(node)) holder.vacant() })
  }

  const members = Array.from({ length: NODES }, (_, node) => start(node, true))

  return {
    clock,
    faultSwitch,
    cut,
    paused,
    acts,
    release: async (node: number) => {
      const released = members[node]!.holder.release().catch(() => {})
      await clock.advance(STEP)
      await released
    },
    restart: (node: number) => {
      members[node]!.ending.abort()
      members[node] = start(node, false)
    },
    run: async (duration: Milliseconds) => {
      for (let passed = 0; passed < duration; passed += STEP) {
        await clock.advance(STEP)
        tellVacancy()
        members.forEach(({ holder }, node) => {
          if (paused.has(node)) return
          const proof = holder.proof()
          if (proof === undefined) return
          holder.acted()
          acts.push({ at: clock.now(), node, fencing: proof.fencing })
        })
      }
    },
    stop: () => members.forEach(({ ending }) => ending.abort())
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
  // Two nodes order upstreams in turn, each undoing what the other ordered. One gave the duties up or was cut
  // off while it held them, another took them, and the first took them back within the lease's time.
  it('acts under a number of its own, never after a higher one, and not in turns within the lease\'s time', async () => {
    await fc.assert(fc.asyncProperty(steps, fc.nat(1_000), async (plan, seed) => {
      const world = createWorld(seed)
      await world.run(4 * SECOND)
      for (const { step, then } of plan) {
        switch (step.kind) {
          case 'cut': world.cut.add(step.node); break
          case 'heal': world.cut.delete(step.node); break
          case 'restart': world.restart(step.node); break
          case 'release': await world.release(step.node); break
          case 'pause': world.paused.add(step.node); break
          case 'wake': world.paused.delete(step.node); break
          case 'lose': world.faultSwitch.faults.lostReplies = step.part
        }
        await world.run(then * STEP)
      }
      world.stop()
      assertOrder(world.acts)
    }), { numRuns: 60, seed: 11 })
  })

  it('is found again after all nodes were cut off', async () => {
    const world = createWorld(1)
    await world.run(5 * SECOND)
    for (let node = 0; node < NODES; node += 1) world.cut.add(node)
    await world.run(10 * SECOND)
    const before = world.acts.length
    world.cut.clear()
    await world.run(25 * SECOND)
    assert.ok(before > 0 && world.acts.length > before + 50, `${before} acts before, ${world.acts.length} in all`)
    world.stop()
    assertOrder(world.acts)
  })
})

function assertOrder (acts: readonly Act[]): void {
  const owners = new Map<number, number>()
  const last = new Map<number, Milliseconds>()
  let highest = 0
  let previous: number | undefined
  for (const { at, node, fencing } of acts) {
    assert.equal(owners.get(fencing) ?? node, node, `number ${fencing} belongs to two nodes`)
    assert.ok(fencing >= highest, `number ${fencing} after ${highest}`)
    if (previous !== undefined && previous !== node) assert.ok(at - (last.get(node) ?? -Infinity) >= LEASE, `node ${node} acts again ${at - (last.get(node) ?? 0)} ms after it, with another between`)
    owners.set(fencing, node)
    highest = fencing
    last.set(node, at)
    previous = node
  }
}
