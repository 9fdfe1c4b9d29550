/** Duties after the store is restored from a backup, over random sequences of restores, restarts, disconnections and lost replies. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createDutyHolder, DUTY_KEY } from '../../src/gateway/duty-holder.js'
import type { DutyHolder } from '../../src/gateway/duty-holder.js'
import type { DutyProof } from '../../src/gateway/ports.js'
import { startUsageReporter } from '../../src/gateway/usage-reporter.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createUsageWindows } from '../../src/usage/index.js'
import type { UsageCounts, UsageWindows } from '../../src/usage/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { failWhileUnreachable } from '../../stand-ins/key-value-cut.js'
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

/** Time between two backups. */
const BACKUP_PERIOD: Milliseconds = 500

interface Report {
  readonly at: Milliseconds
  readonly proof: DutyProof
  readonly window: number
  readonly counts: UsageCounts
}

/** A node holds the duties under a fencing number. */
interface HeldDuty {
  readonly at: Milliseconds
  readonly node: number
  readonly fencing: number
}

interface Member {
  readonly holder: DutyHolder
  readonly store: KeyValue
  readonly windows: UsageWindows
  readonly controller: AbortController
  /** Whether the lease's key existed when this node last saw the store. */
  sawKey: boolean
}

/** Nodes that serve, compete for the duties and report usage to a platform that checks fencing numbers. */
function createCluster (seed: number) {
  const clock = createManualClock(20 * SECOND)
  const random = createRandom(seed)
  const faultSwitch = createFaultSwitch(clock, random)
  faultSwitch.faults.latency = 5
  const keys = createKeyValueStore(clock)
  const backups: Backup[] = []
  const disconnected = new Set<number>()
  const accepted: Report[] = []
  const heldDuties: HeldDuty[] = []
  let highestFencing = 0
  let incarnationCount = 0
  let unansweredFraction = 0
  /** Delay with which the platform processes half of the reports, after their caller has given up. */
  let reportDelay: Milliseconds = 0
  const writeDelays: DirectFaults = { lateBy: 0, lateEvery: 3 }

  function start (node: number, firstStart: boolean): Member {
    incarnationCount += 1
    const controller = new AbortController()
    setMaxListeners(0, controller.signal)
    const store = failWhileUnreachable(createDirectKeyValue(keys, faultSwitch, clock, writeDelays), () => disconnected.has(node))
    const context = { store, clock, random: createRandom(seed + incarnationCount), log: LOG, signal: controller.signal }
    const incarnation = `front-${node}-${incarnationCount}`
    const windows = createUsageWindows(WINDOW)
    const holder = createDutyHolder({ context, node: `front-${node}`, incarnation, leaseTime: LEASE, firstStart, isCandidate: () => true })
    startUsageReporter({
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
    holder.onLeaseDeleted()
    return { holder, store, windows, controller, sawKey: false }
  }

  function sendReport (proof: DutyProof, window: number, counts: UsageCounts): 'accepted' | 'superseded' | 'unavailable' {
    if (reportDelay === 0 || random.fraction() < 0.5) return reportUsage(proof, window, counts)
    clock.sleep(reportDelay).then(() => reportUsage(proof, window, counts)).catch(() => {})
    return 'unavailable'
  }

  function reportUsage (proof: DutyProof, window: number, counts: UsageCounts): 'accepted' | 'superseded' | 'unavailable' {
    if (proof.fencing < highestFencing) return 'superseded'
    highestFencing = proof.fencing
    accepted.push({ at: clock.now(), proof, window, counts })
    return random.fraction() < unansweredFraction ? 'unavailable' : 'accepted'
  }

  /** Reports the deletion of the lease's key to connected nodes that know the store's epoch, as their watches do. */
  function reportDeletion (): void {
    const present = keys.get(DUTY_KEY) !== undefined
    members.forEach((member, node) => {
      if (disconnected.has(node) || member.store.epochs.current() !== keys.epoch()) return
      if (member.sawKey && !present) member.holder.onLeaseDeleted()
      member.sawKey = present
    })
  }

  const members = Array.from({ length: NODES }, (_, node) => start(node, true))

  async function run (duration: Milliseconds): Promise<void> {
    for (let passed = 0; passed < duration; passed += STEP) {
      if (clock.now() % BACKUP_PERIOD === 0) backups.push(keys.backUp())
      members.forEach(({ windows }, node) => { if (random.fraction() < 0.3 + 0.2 * node) windows.recordStart('tejo', clock.wall()) })
      await clock.advance(STEP)
      reportDeletion()
      members.forEach(({ holder }, node) => {
        const proof = holder.proof()
        if (proof !== undefined) heldDuties.push({ at: clock.now(), node, fencing: proof.fencing })
      })
    }
  }

  return {
    clock,
    accepted,
    heldDuties,
    disconnected,
    run,
    loseReplies: (fraction: number) => { faultSwitch.faults.lostReplies = fraction },
    /** Sets the delay with which the store executes every third write, after its caller has given up; 0 for no delay. */
    delayWrites: (by: Milliseconds) => { writeDelays.lateBy = by },
    /** Sets the fraction of the reports that the platform accepts without an answer. */
    loseReports: (fraction: number) => { unansweredFraction = fraction },
    delayReports: (by: Milliseconds) => { reportDelay = by },
    restart: (node: number) => {
      members[node]!.controller.abort()
      members[node] = start(node, false)
    },
    /** Takes the store down for some time, then restores it from a backup that is `age` old at the start of the outage. */
    restore: async (away: Milliseconds, age: Milliseconds) => {
      faultSwitch.faults.down = true
      const backup = backups.at(-1 - Math.round(age / BACKUP_PERIOD)) ?? backups[0]!
      await run(away)
      keys.restore(backup)
      faultSwitch.faults.down = false
    },
    stop: () => members.forEach(({ controller }) => controller.abort())
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

describe('duties over a store that is restored from a backup', () => {
  // Guards against a window that is reported twice with different counts, because the record of the first report was lost.
  it('report each window once, or with the same counts', async () => {
    const cluster = createCluster(1)
    await cluster.run(25 * SECOND)
    await cluster.restore(2.6 * SECOND, 6 * SECOND)
    await cluster.run(30 * SECOND)
    cluster.stop()
    assert.ok(cluster.accepted.length >= 6, `${cluster.accepted.length} reports`)
    assertSameCounts(cluster.accepted)
  })

  // Guards against a window that is never reported, because its record was lost while the reporting node kept running.
  it('report every window if the holder keeps running', async () => {
    for (const age of [1, 3, 6]) {
      const cluster = createCluster(age)
      await cluster.run(20 * SECOND)
      for (let round = 0; round < 3; round += 1) {
        await cluster.run(7 * SECOND)
        await cluster.restore(2.6 * SECOND, age * SECOND)
        // The next restore comes before the next report, or after it.
        await cluster.run(round === 0 ? 3.5 * SECOND : 10 * SECOND)
        if (round === 0) await cluster.restore(SECOND, SECOND)
      }
      cluster.stop()
      assertSameCounts(cluster.accepted)
      const windows = [...new Set(cluster.accepted.map(({ window }) => window))]
      assert.deepEqual(windows, windows.map((_, index) => windows[0]! + index), `backups ${age} s old`)
      assert.ok(windows.length >= 14, `${windows.length} windows`)
    }
  })

  // Guards against different counts for a window whose report was accepted without an answer just before its record was lost.
  it('repeat a report that was not answered with the same counts', async () => {
    for (const seconds of [3, 4, 5, 6, 7, 8]) {
      const cluster = createCluster(seconds)
      await cluster.run(20 * SECOND)
      cluster.loseReports(1)
      await cluster.run(seconds * SECOND)
      await cluster.restore(SECOND, 8 * SECOND)
      cluster.loseReports(0)
      await cluster.run(20 * SECOND)
      cluster.stop()
      assertSameCounts(cluster.accepted)
    }
  })

  // Guards against duties that no node performs until the next periodic read of the key, because the holder's lease dates from
  // before the restore.
  it('resume at one node, between one and two lease times after the restore', async () => {
    for (const age of [1, 2, 4, 8]) {
      const cluster = createCluster(age)
      await cluster.run(20 * SECOND)
      await cluster.restore(SECOND, age * SECOND)
      const restoredAt = cluster.clock.now()
      await cluster.run(10 * SECOND)
      cluster.stop()
      const since = cluster.heldDuties.filter(({ at }) => at > restoredAt + 2 * LEASE)
      assert.ok(since.length > 0 && since[0]!.at < restoredAt + 2 * LEASE + SECOND, `backup ${age} s old: first held ${(since[0]?.at ?? Infinity) - restoredAt} ms after the restore`)
      assert.equal(new Set(since.map(({ node }) => node)).size, 1)
      const known = cluster.heldDuties.filter(({ at }) => at > restoredAt + SECOND)
      assert.ok(known[0]!.at >= restoredAt + LEASE, `backup ${age} s old: held ${known[0]!.at - restoredAt} ms after the restore`)
    }
  })

  // Guards against the same failures, and against reused fencing numbers, while nodes restart and lose their connections.
  it('report each window with the same counts, under rising fencing numbers of one node each', async () => {
    await fc.assert(fc.asyncProperty(steps, fc.nat(1_000), async (plan, seed) => {
      const cluster = createCluster(seed)
      await cluster.run(20 * SECOND)
      for (const { step, then } of plan) {
        switch (step.kind) {
          case 'restore': await cluster.restore(step.away * STEP, step.age * BACKUP_PERIOD); break
          case 'cut': cluster.disconnected.add(step.node); break
          case 'heal': cluster.disconnected.delete(step.node); break
          case 'restart': cluster.restart(step.node); break
          case 'lose-replies': cluster.loseReplies(step.part); break
          case 'delay-writes': cluster.delayWrites(step.by); break
          case 'delay-reports': cluster.delayReports(step.by); break
          case 'lose-reports': cluster.loseReports(step.part)
        }
        await cluster.run(then * STEP)
      }
      await cluster.run(15 * SECOND)
      cluster.stop()
      assertSameCounts(cluster.accepted)
      assertFencingNumbers(cluster.accepted)
    }), { numRuns: 60, seed: 38 })
  })
})

function assertSameCounts (accepted: readonly Report[]): void {
  const known = new Map<number, UsageCounts>()
  for (const { at, window, counts } of accepted) {
    assert.deepEqual(counts, known.get(window) ?? counts, `window ${window} reported again at ${at} ms`)
    known.set(window, counts)
  }
}

/** No fencing number is used by two nodes, and no node reports again within the lease time after a report of another node. */
function assertFencingNumbers (accepted: readonly Report[]): void {
  const owners = new Map<number, string>()
  const lastReportAt = new Map<string, Milliseconds>()
  let previousHolder: string | undefined
  for (const { at, proof: { holder, fencing } } of accepted) {
    assert.equal(owners.get(fencing) ?? holder, holder, `fencing number ${fencing} used by two nodes`)
    if (previousHolder !== undefined && previousHolder !== holder) assert.ok(at - (lastReportAt.get(holder) ?? -Infinity) >= LEASE, `${holder} reports again after ${at - (lastReportAt.get(holder) ?? 0)} ms, with a report of another node in between`)
    owners.set(fencing, holder)
    lastReportAt.set(holder, at)
    previousHolder = holder
  }
}
