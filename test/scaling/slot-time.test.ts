/** Slot time learnt from completed attempts, from the attempt to the load that the holder of the duties computes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import * as z from 'zod'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { dispatchAttempt } from '../../src/gateway/attempt.js'
import { createAnswerPace } from '../../src/gateway/answer-pace.js'
import { createHeldAnswers } from '../../src/gateway/held-answers.js'
import type { GatewayContext } from '../../src/gateway/context.js'
import type { ProxiedRequest } from '../../src/gateway/proxied-request.js'
import { fleetReportSchema, mergeReports } from '../../src/gossip/index.js'
import type { FleetReport } from '../../src/gossip/index.js'
import type { Choice } from '../../src/placement/index.js'
import { createWorkMeter, occupiedSlots, offeredLoad, sumWork } from '../../src/scaling/index.js'
import type { WorkMeter } from '../../src/scaling/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const SLOTS = 16
const PERMITTED = 400

/** Meter of a node that receives ten requests per second, each of which holds a slot for the given time. */
function meterOf (held: Milliseconds, seconds: number): WorkMeter {
  const meter = createWorkMeter()
  for (let now = 0; now < seconds * SECOND; now += 100) {
    meter.add('plans', 20, PERMITTED, now)
    if (now >= held) meter.attemptEnded('plans', PERMITTED, held)
  }
  return meter
}

describe('the slot time of a service', () => {
  // Failure guarded against: the fleet is sized by one assumed time per token, while requests of one deployment hold
  // their slots ten times as long as those of another. The one runs out of slots, the other pays for empty ones.
  it('follows the work where it differs tenfold between deployments', () => {
    for (const held of [400, 1_300, 4_000]) {
      const work = sumWork(Array.from({ length: 17 }, () => meterOf(held, 30).rates(30 * SECOND))).plans!
      const occupied = 170 * held / SECOND
      assert.ok(Math.abs(occupiedSlots(work) / occupied - 1) < 0.05, `${occupiedSlots(work)} instead of ${occupied}`)
      // A shorter time than the assumed one does not shrink the fleet.
      const engines = Math.max(3.4, Math.max(occupied, 170 * PERMITTED * 3 / SECOND) / (SLOTS / 2))
      assert.ok(Math.abs(offeredLoad(work, SLOTS) / engines - 1) < 0.05)
    }
  })

  // Failure guarded against: the first attempts to end are by chance very short or very long ones, and the fleet is
  // ordered by them.
  it('is the assumed one until attempts have ended, and hardly moved by the first few', () => {
    const meter = createWorkMeter()
    for (let now = 0; now < 10 * SECOND; now += 100) meter.add('plans', 20, PERMITTED, now)
    const assumed = occupiedSlots(meter.rates(10 * SECOND).plans!)
    assert.ok(Math.abs(assumed - 10 * PERMITTED * 3 / SECOND) < 1, `${assumed}`)
    for (let index = 0; index < 3; index += 1) meter.attemptEnded('plans', PERMITTED, 40)
    const after = occupiedSlots(meter.rates(10 * SECOND).plans!)
    assert.ok(after > assumed * 0.85 && after < assumed, `${after} after three short ones, ${assumed} before`)
  })

  // Failure guarded against: callers pause for minutes, the measurement decays, and the next requests are planned with
  // the assumption again.
  it('is kept over a pause of the callers', () => {
    const meter = meterOf(4_000, 30)
    meter.add('plans', 20, PERMITTED, 600 * SECOND)
    const { measured } = meter.rates(600 * SECOND).plans!
    assert.equal(Math.round(measured.held / measured.tokens * PERMITTED), 4_000)
  })

  it('counts requests of services without tokens by their number', () => {
    const meter = createWorkMeter()
    for (let now = 0; now < 30 * SECOND; now += 10) {
      meter.add('lookups', 0, 0, now)
      meter.attemptEnded('lookups', 0, 60)
    }
    const occupied = occupiedSlots(meter.rates(30 * SECOND).lookups!)
    assert.ok(occupied > 4.5 && occupied < 6.3, `${occupied}`)
  })
})

describe('reported slot times', () => {
  const base = { nodes: 1, configuration: 0, demand: {}, granted: {}, inFlight: {}, speeds: {}, holdTime: {}, delays: {}, crashes: {}, crashCauses: {}, rollouts: {}, limits: {}, departures: [] }
  const earlierWorkSchema = z.object({ requests: z.number(), reading: z.number(), generatedTokens: z.number() })

  // Failure guarded against: while a fleet is updated node by node, nodes discard the reports of the other build.
  it('are understood between nodes of this build and of the build before the field', () => {
    const earlier = fleetReportSchema.parse({ ...base, work: { plans: { requests: 10, reading: 200, generatedTokens: 4_000 } } })
    assert.deepEqual(earlier.work.plans?.measured, { span: 0, attempts: 0, tokens: 0, held: 0 })
    const report: FleetReport = { ...base, work: meterOf(4_000, 30).rates(30 * SECOND) }
    assert.deepEqual(fleetReportSchema.parse(JSON.parse(JSON.stringify(report))), report)
    assert.equal(earlierWorkSchema.parse(report.work.plans).requests, report.work.plans?.requests)
    for (const reports of [[earlier, report], [report, earlier]]) assert.deepEqual(mergeReports(reports)?.work.plans?.measured, report.work.plans?.measured)
  })
})

describe('an attempt', () => {
  const READING = 30
  const WAITING = 500

  interface Script {
    readonly status?: number
    readonly kind?: 'stream' | 'idempotent'
    /** Times of the events, from the dispatch. */
    readonly events: readonly Milliseconds[]
    readonly ending?: 'whole' | 'broken' | 'caller-gone' | 'moved'
    readonly resumedAfter?: string
    readonly memory?: string
  }

  /** Makes one attempt at an upstream that follows the script. @returns the recorded slot times */
  async function heldTimes ({ status = 200, kind = 'stream', events, ending = 'whole', resumedAfter, memory }: Script): Promise<Milliseconds[]> {
    const clock = createManualClock()
    const caller = new AbortController()
    const held: Milliseconds[] = []
    async function * body () {
      for (const at of events) {
        await clock.advance(at - clock.now())
        yield Buffer.from(`id: ${at}\ndata: x\n\n`)
      }
      if (ending === 'broken') throw new Error('other side closed')
      if (ending === 'caller-gone') caller.abort()
    }
    const answer = { status, headers: [], body: { read: async (onChunk: (chunk: Buffer) => unknown) => { for await (const part of body()) await onChunk(part) }, bytes: async () => { for await (const part of body()) if (part.length === 0) break; return Buffer.alloc(1) } } }
    const none = (): void => {}
    const context = {
      clock,
      log: { info: none },
      metrics: { record: none, count: none },
      rollouts: { begin: () => undefined, roleOf: () => 'serving' },
      upstreams: { begin: () => ({ end: none, answered: none }), answerTimes: { observe: none, overdueAfter: () => undefined }, health: { answered: none, failed: none, usable: () => true }, candidates: () => [], find: () => undefined },
      quarantine: { answered: none, broken: none, brokenRuns: () => 1 },
      crashes: { alive: none, left: none, survived: none, crashed: none, isSuspected: () => false },
      speeds: { of: () => ({ base: 10 }), observe: none },
      usage: { recordStart: none },
      announcePrefill: none,
      freshness: () => ({ nodes: 1 }),
      routeTable: () => ({ service: () => ({ canMoveRuns: true }) }),
      evacuation: { watch: () => ({ end: none, location: async () => ending === 'moved' ? { kind: 'moved', continuation: {} } : { kind: 'same' } }) },
      connections: { start: async () => ({ kind: 'answered', answer }) },
      format: { upstreamHeaders: () => [], answerHeaders: () => [] },
      heldAnswers: createHeldAnswers(1_000_000),
      beginPacedAnswer: createAnswerPace(clock),
      work: { add: none, rates: () => ({}), attemptEnded: (_: string, tokens: number, time: Milliseconds) => { if (tokens === PERMITTED) held.push(time) } }
    } as unknown as GatewayContext
    const proxied = {
      accepted: { head: { id: 'r', tokens: { prompt: 100, generated: PERMITTED }, parts: [], sharedParts: [] }, route: { name: 'plan', kind, target: 60 * SECOND, timeLimit: 90 * SECOND, maxPause: 30 * SECOND, maxAttempts: 1, resumable: false }, priority: 0 },
      request: { method: 'POST', url: '/', rawHeaders: [] },
      response: { headersSent: false, writeHead: none, write: () => true, end: none, once: none },
      arrival: 0,
      fingerprint: 'f',
      signal: caller.signal,
      service: 'plans',
      tried: new Set(),
      limit: { left: () => SECOND },
      progress: { events: 0, lastId: resumedAfter },
      attempts: 0,
      unrun: 0,
      deliveredAttempts: 0
    } as unknown as ProxiedRequest
    const choice = { upstream: { id: 'm-1', incarnation: 'm-1/1', failureDomain: 'a' }, reading: READING, cached: 0, waiting: WAITING, candidates: 1 } as unknown as Choice
    await dispatchAttempt(context, proxied, choice, memory).catch(() => {})
    return held
  }

  it('holds a slot from its prefill to the end of its stream', async () => {
    assert.deepEqual(await heldTimes({ events: [900, 1_400, 2_100] }), [READING + 1_200])
  })

  // Failure guarded against: a full fleet measures the time that requests queue inside its engines as slot time, and
  // orders engines for its own queues.
  it('does not count the time in the queue of the upstream', async () => {
    const [short] = await heldTimes({ events: [100, 1_300] })
    const [queued] = await heldTimes({ events: [4_100, 5_300] })
    assert.equal(queued, short)
    assert.deepEqual(await heldTimes({ kind: 'idempotent', events: [WAITING + 60] }), [60])
  })

  // Failure guarded against: attempts that ended early are taken for short ones, and the fleet is planned too small for
  // the following ones.
  it('is not measured if it was broken off, left by its caller, moved, resumed or answered with an error', async () => {
    for (const ending of ['broken', 'caller-gone', 'moved'] as const) assert.deepEqual(await heldTimes({ events: [100, 200], ending }), [], ending)
    assert.deepEqual(await heldTimes({ events: [100, 200], resumedAfter: '7' }), [])
    assert.deepEqual(await heldTimes({ events: [100, 200], memory: 'copy-1' }), [])
    assert.deepEqual(await heldTimes({ kind: 'idempotent', status: 503, events: [10] }), [])
    assert.deepEqual(await heldTimes({ kind: 'idempotent', status: 404, events: [10] }), [])
  })
})
