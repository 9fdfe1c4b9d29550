/** Nodes with duties whose store comes back from a copy, over interleavings of restores, kills, cuts and lost answers. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createDutyHolder, DUTY_KEY } from '../../src/gateway/duty-holder.js'
import type { DutyHolder } from '../../src/gateway/duty-holder.js'
import type { DutyProof } from '../../src/gateway/ports.js'
import { keepUsage } from '../../src/gateway/usage-keeper.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createUsageWindows } from '../../src/usage/index.js'
import type { UsageCounts, UsageWindows } from '../../src/usage/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { reachedUnless } from '../../stand-ins/key-value-cut.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import type { DirectFaults } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { Backup } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const NODES = 3
const LEASE: Milliseconds = 3 * SECOND
const WINDOW: Milliseconds = 5 * SECOND
const DUE: Milliseconds = 10 * SECOND
const STEP: Milliseconds = 100

/** Copies are this far apart. */
const BACKUP_PERIOD: Milliseconds = 500

interface Report {
  readonly at: Milliseconds
  readonly proof: DutyProof
  readonly window: number
  readonly counts: UsageCounts
}

/** A node may act under a number. */
interface Act {
  readonly at: Milliseconds
  readonly node: number
  readonly fencing: number
}

interface Member {
  readonly holder: DutyHolder
  readonly store: KeyValue
  readonly windows: UsageWindows
  readonly ending: AbortController
  /** The lease's key stood there when this node last looked. */
  sawTaken: boolean
}

/** Nodes that serve, hold the duties in turn and report usage to a platform that checks fencing numbers. */
function createWorld (seed: number) {
  const clock = createManualClock(20 * SECOND)
  const random = createRandom(seed)
  const faultSwitch = createFaultSwitch(clock, random)
  faultSwitch.faults.latency = 5
  const keys = createKeyValueStore(clock)
  const backups: Backup[] = []
  const cut = new Set<number>()
  const accepted: Report[] = []
  const acts: Act[] = []
  let highest = 0
  let lives = 0
  let lostReports = 0
  /** Reports that the platform carries out this long after their caller has given up. */
  let reportsLateBy: Milliseconds = 0
  const late: DirectFaults = { lateBy: 0, lateEvery: 3 }

  function start (node: number, firstStart: boolean): Member {
    lives += 1
    const ending = new AbortController()
    setMaxListeners(0, ending.signal)
    const store = reachedUnless(createDirectKeyValue(keys, faultSwitch, clock, late), () => cut.has(node))
    const context = { store, clock, random: createRandom(seed + lives), log: LOG, signal: ending.signal }
    const incarnation = `front-${node}-${lives}`
    const windows = createUsageWindows(WINDOW)
    const holder = createDutyHolder({ context, node: `front-${node}`, incarnation, leaseTime: LEASE, firstStart, isCandidate: () => true })
    keepUsage({
      context,
      incarnation,
      windows,
      windowLength: WINDOW,
      due: DUE,
      sharedWall: clock.wall,
      duty: holder,
      calls: { reportUsage: async (proof, window, counts) => sendReport(proof, window, counts), order: async () => 'accepted' },
      heard: () => new Map(),
      members: () => new Map(),
      isMember: () => false,
      fencingIsChecked: true
    })
    holder.vacant()
    return { holder, store, windows, ending, sawTaken: false }
  }

  function sendReport (proof: DutyProof, window: number, counts: UsageCounts): 'accepted' | 'superseded' | 'unavailable' {
    if (reportsLateBy === 0 || random.fraction() < 0.5) return reportUsage(proof, window, counts)
    clock.sleep(reportsLateBy).then(() => reportUsage(proof, window, counts)).catch(() => {})
    return 'unavailable'
  }

  function reportUsage (proof: DutyProof, window: number, counts: UsageCounts): 'accepted' | 'superseded' | 'unavailable' {
    if (proof.fencing < highest) return 'superseded'
    highest = proof.fencing
    accepted.push({ at: clock.now(), proof, window, counts })
    return random.fraction() < lostReports ? 'unavailable' : 'accepted'
  }

  /** Watches show that the lease's key has vanished, once a node knows the store's epoch. */
  function tellVacancy (): void {
    const present = keys.get(DUTY_KEY) !== undefined
    members.forEach((member, node) => {
      if (cut.has(node) || member.store.epochs.current() !== keys.epoch()) return
      if (member.sawTaken && !present) member.holder.vacant()
      member.sawTaken = present
    })
  }

  const members = Array.from({ length: NODES }, (_, node) => start(node, true))

  async function run (duration: Milliseconds): Promise<void> {
    for (let passed = 0; passed < duration; passed += STEP) {
      if (clock.now() % BACKUP_PERIOD === 0) backups.push(keys.backUp())
      members.forEach(({ windows }, node) => { if (random.fraction() < 0.3 + 0.2 * node) windows.recordStart('tejo', clock.wall()) })
      await clock.advance(STEP)
      tellVacancy()
      members.forEach(({ holder }, node) => {
        const proof = holder.proof()
        if (proof !== undefined) acts.push({ at: clock.now(), node, fencing: proof.fencing })
      })
    }
  }

  return {
    clock,
    accepted,
    acts,
    cut,
    run,
    loseReplies: (part: number) => { faultSwitch.faults.lostReplies = part },
    /** One write in three is carried out this long after its caller has given up; none where it is 0. */
    delayWrites: (by: Milliseconds) => { late.lateBy = by },
    /** Part of the reports that the platform accepts without an answer. */
    loseReports: (part: number) => { lostReports = part },
    delayReports: (by: Milliseconds) => { reportsLateBy = by },
    restart: (node: number) => {
      members[node]!.ending.abort()
      members[node] = start(node, false)
    },
    /** The store is away and comes back as it was `age` before that. */
    restore: async (away: Milliseconds, age: Milliseconds) => {
      faultSwitch.faults.down = true
      const backup = backups.at(-1 - Math.round(age / BACKUP_PERIOD)) ?? backups[0]!
      await run(away)
      keys.restore(backup)
      faultSwitch.faults.down = false
    },
    stop: () => members.forEach(({ ending }) => ending.abort())
  }
}

const node = fc.nat(NODES - 1)
const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('restore' as const), away: fc.integer({ min: 0, max: 45 }), age: fc.integer({ min: 1, max: 20 }) }) },
  fc.record({ kind: fc.constant('cut' as const), node }),
  fc.record({ kind: fc.constant('heal' as const), node }),
  fc.record({ kind: fc.constant('restart' as const), node }),
  fc.record({ kind: fc.constant('lose-replies' as const), part: fc.constantFrom(0, 0.3) }),
  fc.record({ kind: fc.constant('delay-writes' as const), by: fc.constantFrom(0, 1_500, 4_000) }),
  fc.record({ kind: fc.constant('delay-reports' as const), by: fc.constantFrom(0, 2_000, 7_000) }),
  fc.record({ kind: fc.constant('lose-reports' as const), part: fc.constantFrom(0, 0.5, 1) })
)
const steps = fc.array(fc.record({ step, then: fc.integer({ min: 0, max: 90 }) }), { minLength: 1, maxLength: 6 })

describe('duties over a store that comes back from a copy', () => {
  // Guards against usage of a window that is reported again, with other counts, since the record of its report was lost.
  it('report each window once, or with the same counts', async () => {
    const world = createWorld(1)
    await world.run(25 * SECOND)
    await world.restore(2.6 * SECOND, 6 * SECOND)
    await world.run(30 * SECOND)
    world.stop()
    assert.ok(world.accepted.length >= 6, `${world.accepted.length} reports`)
    assertSameCounts(world.accepted)
  })

  // Guards against usage that is never reported, since its record was lost although the node that reported lives on.
  it('report every window where the holder lives on', async () => {
    for (const age of [1, 3, 6]) {
      const world = createWorld(age)
      await world.run(20 * SECOND)
      for (let returns = 0; returns < 3; returns += 1) {
        await world.run(7 * SECOND)
        await world.restore(2.6 * SECOND, age * SECOND)
        // The next return comes before the next report, or after it.
        await world.run(returns === 0 ? 3.5 * SECOND : 10 * SECOND)
        if (returns === 0) await world.restore(SECOND, SECOND)
      }
      world.stop()
      assertSameCounts(world.accepted)
      const windows = [...new Set(world.accepted.map(({ window }) => window))]
      assert.deepEqual(windows, windows.map((_, index) => windows[0]! + index), `copies of ${age} s`)
      assert.ok(windows.length >= 14, `${windows.length} windows`)
    }
  })

  // Guards against a window whose report was accepted without an answer, just before its record was lost.
  it('report a window with the same counts whose report was not answered', async () => {
    for (const part of [3, 4, 5, 6, 7, 8]) {
      const world = createWorld(part)
      await world.run(20 * SECOND)
      world.loseReports(1)
      await world.run(part * SECOND)
      await world.restore(SECOND, 8 * SECOND)
      world.loseReports(0)
      await world.run(20 * SECOND)
      world.stop()
      assertSameCounts(world.accepted)
    }
  })

  // Guards against duties that nobody does until the next look at their key, since the holder's lease is of before.
  it('are done again within two leases of the return, by one node, and not before one', async () => {
    for (const age of [1, 2, 4, 8]) {
      const world = createWorld(age)
      await world.run(20 * SECOND)
      await world.restore(SECOND, age * SECOND)
      const returnedAt = world.clock.now()
      await world.run(10 * SECOND)
      world.stop()
      const since = world.acts.filter(({ at }) => at > returnedAt + 2 * LEASE)
      assert.ok(since.length > 0 && since[0]!.at < returnedAt + 2 * LEASE + SECOND, `copy of ${age} s: first act ${(since[0]?.at ?? Infinity) - returnedAt} ms after the return`)
      assert.equal(new Set(since.map(({ node }) => node)).size, 1)
      const known = world.acts.filter(({ at }) => at > returnedAt + SECOND)
      assert.ok(known[0]!.at >= returnedAt + LEASE, `copy of ${age} s: acts ${known[0]!.at - returnedAt} ms after the return`)
    }
  })

  // The same, whoever is killed or cut off meanwhile, and against fencing numbers that come again.
  it('report each window with the same counts, under numbers that rise and belong to one node', async () => {
    await fc.assert(fc.asyncProperty(steps, fc.nat(1_000), async (plan, seed) => {
      const world = createWorld(seed)
      await world.run(20 * SECOND)
      for (const { step, then } of plan) {
        switch (step.kind) {
          case 'restore': await world.restore(step.away * STEP, step.age * BACKUP_PERIOD); break
          case 'cut': world.cut.add(step.node); break
          case 'heal': world.cut.delete(step.node); break
          case 'restart': world.restart(step.node); break
          case 'lose-replies': world.loseReplies(step.part); break
          case 'delay-writes': world.delayWrites(step.by); break
          case 'delay-reports': world.delayReports(step.by); break
          case 'lose-reports': world.loseReports(step.part)
        }
        await world.run(then * STEP)
      }
      await world.run(15 * SECOND)
      world.stop()
      assertSameCounts(world.accepted)
      assertNumbers(world.accepted)
    }), { numRuns: 60, seed: 38 })
  })
})

function assertSameCounts (accepted: readonly Report[]): void {
  const known = new Map<number, UsageCounts>()
  for (const { at, window, counts } of accepted) {
    assert.deepEqual(counts, known.get(window) ?? counts, `window ${window} again at ${at} ms`)
    known.set(window, counts)
  }
}

/** No number belongs to two nodes, and none acts again within the lease's time with another between. */
function assertNumbers (accepted: readonly Report[]): void {
  const owners = new Map<number, string>()
  const last = new Map<string, Milliseconds>()
  let previous: string | undefined
  for (const { at, proof: { holder, fencing } } of accepted) {
    assert.equal(owners.get(fencing) ?? holder, holder, `number ${fencing} belongs to two nodes`)
    if (previous !== undefined && previous !== holder) assert.ok(at - (last.get(holder) ?? -Infinity) >= LEASE, `${holder} acts again ${at - (last.get(holder) ?? 0)} ms after it, with another between`)
    owners.set(fencing, holder)
    last.set(holder, at)
    previous = holder
  }
}
