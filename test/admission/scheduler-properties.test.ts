/** Invariants of the scheduler for arbitrary sequences of events. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createScheduler } from '../../src/admission/index.js'
import type { AttemptResult, PendingAttempt, Scheduler, SchedulerEvent } from '../../src/admission/index.js'
import type { RequestId, UpstreamName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { attempt, configuration, large, nameOf, plan, question, report, small, view } from './fixtures.js'

const UPSTREAMS = 4

/** One step of a history. Indexes of requests are resolved when the step is simulated. */
type Step =
  | { kind: 'arrive', organisation: boolean, short: boolean, accepted: boolean, apart: boolean, excluded: number | undefined }
  | { kind: 'end', which: number, result: 'whole' | 'failed' | 'died' | 'withdrawn' }
  | { kind: 'token', which: number }
  | { kind: 'leave', upstream: number }
  | { kind: 'return', upstream: number }
  | { kind: 'load', upstream: number, running: number, waiting: number }
  | { kind: 'pass', time: number }

const upstreamIndex = fc.integer({ min: 0, max: UPSTREAMS - 1 })
const arrive = fc.record({
  kind: fc.constant('arrive' as const),
  organisation: fc.boolean(),
  short: fc.boolean(),
  accepted: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
  apart: fc.integer({ min: 0, max: 19 }).map((value) => value === 0),
  excluded: fc.option(upstreamIndex, { nil: undefined, freq: 5 })
})
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: arrive },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('end' as const), which: fc.nat(), result: fc.constantFrom('whole', 'failed', 'died', 'withdrawn') }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('token' as const), which: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), upstream: upstreamIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('return' as const), upstream: upstreamIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('load' as const), upstream: upstreamIndex, running: fc.nat(30), waiting: fc.nat(9) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), time: fc.integer({ min: 1, max: 3_000 }) }) }
)
const history = fc.array(step, { minLength: 20, maxLength: 150, size: 'max' })

interface Simulation {
  readonly log: string[]
  readonly waiting: Map<RequestId, PendingAttempt>
  readonly running: Map<RequestId, UpstreamName>
  readonly leaving: Set<UpstreamName>
  readonly scheduler: Scheduler
  now: number
}

/** Simulates a history and checks each effect. */
function simulate (steps: readonly Step[], check: (played: Simulation) => void = () => {}): Simulation {
  const scheduler = createScheduler({ random: createRandom(7) })
  const simulation: Simulation = { log: [], waiting: new Map(), running: new Map(), leaving: new Set(), scheduler, now: 0 }
  deliver(simulation, { kind: 'configured', configuration })
  showUpstreams(simulation)
  steps.forEach((each, number) => {
    simulateStep(simulation, each, number)
    check(simulation)
  })
  return simulation
}

function deliver (simulation: Simulation, event: SchedulerEvent): void {
  for (const effect of simulation.scheduler.handle(event, simulation.now)) {
    const pending = simulation.waiting.get(effect.id)
    assert.ok(pending !== undefined, `${effect.kind} of ${effect.id}, which is not waiting`)
    simulation.waiting.delete(effect.id)
    simulation.log.push(JSON.stringify([simulation.now, effect]))
    switch (effect.kind) {
      case 'refuse':
        assert.equal(pending.accepted, false, 'accepted attempt was refused')
        assert.ok(effect.retryAfter > 0)
        break
      case 'dispatch':
        assert.ok(!simulation.leaving.has(effect.upstream), 'dispatched to a leaving upstream')
        assert.ok(!pending.excluded.includes(effect.upstream), 'dispatched to an excluded upstream')
        if (pending.apart) assert.ok(![...simulation.running.values()].includes(effect.upstream), 'suspected request was dispatched to an upstream with other requests')
        simulation.running.set(effect.id, effect.upstream)
        break
    }
  }
}

function showUpstreams (simulation: Simulation): void {
  const indexes = Array.from({ length: UPSTREAMS }, (_, index) => index)
  deliver(simulation, { kind: 'upstreams', upstreams: indexes.map((index) => view(index, simulation.leaving.has(nameOf(index)))) })
}

function simulateStep (simulation: Simulation, each: Step, number: number): void {
  switch (each.kind) {
    case 'arrive': {
      const pending = attempt(number, {
        organisation: each.organisation ? large : small,
        class: each.short ? question : plan,
        arrivedAt: simulation.now,
        accepted: each.accepted,
        apart: each.apart,
        excluded: each.excluded === undefined ? [] : [nameOf(each.excluded)]
      })
      simulation.waiting.set(pending.id, pending)
      return deliver(simulation, { kind: 'arrived', attempt: pending })
    }
    case 'end': return end(simulation, [...simulation.running.keys()][each.which % Math.max(1, simulation.running.size)], resultOf(each.result))
    case 'token': {
      const id = [...simulation.running.keys()][each.which % Math.max(1, simulation.running.size)]
      return id === undefined ? undefined : deliver(simulation, { kind: 'first-token', id })
    }
    case 'leave':
      simulation.leaving.add(nameOf(each.upstream))
      return showUpstreams(simulation)
    case 'return':
      simulation.leaving.delete(nameOf(each.upstream))
      return showUpstreams(simulation)
    case 'load': return deliver(simulation, { kind: 'load', report: report(each.upstream, each.running, each.waiting) })
    case 'pass':
      simulation.now += each.time
      return deliver(simulation, { kind: 'tick' })
  }
}

function end (simulation: Simulation, id: RequestId | undefined, result: AttemptResult): void {
  if (id === undefined) return
  simulation.running.delete(id)
  deliver(simulation, { kind: 'ended', id, result })
}

function resultOf (kind: 'whole' | 'failed' | 'died' | 'withdrawn'): AttemptResult {
  switch (kind) {
    case 'whole': return { kind: 'whole', usage: { prompt_tokens: 100, completion_tokens: 80, cached_tokens: 0 } }
    case 'failed': return { kind: 'failed', verdict: 'may-have-run', upstreamDied: false }
    case 'died': return { kind: 'failed', verdict: 'may-have-run', upstreamDied: true }
    case 'withdrawn': return { kind: 'withdrawn' }
  }
}

test('every attempt is dispatched or refused exactly once, as its properties allow, and none waits forever', () => {
  fc.assert(fc.property(history, (steps) => {
    const simulation = simulate(steps)
    simulation.leaving.clear()
    showUpstreams(simulation)
    for (let round = 0; round < 400 && (simulation.waiting.size > 0 || simulation.running.size > 0); round += 1) {
      simulation.now += 1_000
      deliver(simulation, { kind: 'tick' })
      for (const id of [...simulation.running.keys()]) end(simulation, id, resultOf('whole'))
    }
    assert.equal(simulation.waiting.size, 0, 'starved')
  }), { seed: 1, numRuns: 300 })
})

test('no upstream is idle while an attempt waits that may run there', () => {
  const plain = history.map((steps) => steps.filter((each) => each.kind !== 'load' && !(each.kind === 'end' && each.result !== 'whole') && !(each.kind === 'arrive' && each.apart)))
  fc.assert(fc.property(plain, (steps) => {
    simulate(steps, (simulation) => {
      const busy = new Set(simulation.running.values())
      const idle = Array.from({ length: UPSTREAMS }, (_, index) => nameOf(index)).filter((name) => !simulation.leaving.has(name) && !busy.has(name))
      for (const pending of simulation.waiting.values()) {
        const usable = idle.filter((name) => !pending.excluded.includes(name))
        assert.deepEqual(usable, [], `${pending.id} waits although an upstream is idle`)
      }
    })
  }), { seed: 2, numRuns: 200 })
})

test('equal events with equal seeds give equal effects', () => {
  fc.assert(fc.property(history, (steps) => {
    assert.deepEqual(simulate(steps).log, simulate(steps).log)
  }), { seed: 3, numRuns: 100 })
})
