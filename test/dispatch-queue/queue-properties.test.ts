/** Invariants of the dispatch queue for arbitrary sequences of events. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createSimulation } from './simulation.js'
import type { EffectCheck, SimulatedRequest, Simulation } from './simulation.js'

const UPSTREAMS = 3
const BOUNDS = { requests: 20, bytes: 5_000 }

/** Minimum rate of dispatches that the queue assumes, as a share of its upstreams. */
const MIN_RATE_FACTOR = 0.1

type Step =
  | { kind: 'arrive', rank: number, long: boolean, organisation: number, bytes: number, time: number, known: boolean, tried: number | undefined, home: number | undefined }
  | { kind: 'leave', which: number }
  | { kind: 'waiting', upstream: number, waiting: number | undefined }
  | { kind: 'pass', duration: number }

const arrive = fc.record({
  kind: fc.constant('arrive' as const),
  rank: fc.nat(2),
  long: fc.boolean(),
  organisation: fc.nat(2),
  bytes: fc.constantFrom(0, 200, 900),
  time: fc.integer({ min: 50, max: 6_000 }),
  known: fc.boolean(),
  tried: fc.option(fc.nat(UPSTREAMS - 1), { nil: undefined, freq: 6 }),
  home: fc.option(fc.nat(UPSTREAMS - 1), { nil: undefined, freq: 1 })
})
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: arrive },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), which: fc.nat() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('waiting' as const), upstream: fc.nat(UPSTREAMS - 1), waiting: fc.option(fc.oneof(fc.nat(300), fc.nat(2_000)), { nil: undefined, freq: 5 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), duration: fc.integer({ min: 1, max: 800 }) }) }
)
const history = fc.array(step, { minLength: 10, maxLength: 120, size: 'max' })

function simulateStep (simulation: Simulation, each: Step): void {
  switch (each.kind) {
    case 'arrive': {
      const request = simulation.create({
        rank: each.rank,
        organisation: `o${each.organisation}`,
        bytes: each.bytes,
        target: each.long ? 3_000 : 600,
        reading: each.long ? 300 : 20,
        time: each.time,
        home: each.home,
        ...(each.known ? { deadline: each.time } : {}),
        ...(each.tried === undefined ? {} : { tried: [each.tried] })
      })
      simulation.arrive(request)
      break
    }
    case 'leave': {
      const waiting = [...simulation.waiting]
      if (waiting.length > 0) simulation.leave(waiting[each.which % waiting.length] as SimulatedRequest)
      break
    }
    case 'waiting':
      simulation.setWaiting(each.upstream, each.waiting)
      simulation.advance()
      break
    case 'pass':
      simulation.pass(each.duration)
  }
}

function simulate (steps: readonly Step[], check: EffectCheck = () => {}, afterStep: (simulation: Simulation) => void = () => {}): Simulation {
  const simulation = createSimulation(UPSTREAMS, BOUNDS, check)
  for (const each of steps) {
    simulateStep(simulation, each)
    afterStep(simulation)
  }
  return simulation
}

/** Whether a waiting request could use an upstream now. */
const isAvailable = (request: SimulatedRequest): boolean => request.choose() !== undefined

// Failure guarded against: a request is dispatched twice, or is dispatched after it was refused or its caller left, or is
// forgotten, so that its caller waits until its limit for nothing.
test('each request gets exactly one effect by its limit, and none after it has left', () => {
  fc.assert(fc.property(history, (steps) => {
    const left = new Set<SimulatedRequest>()
    const simulation = createSimulation(UPSTREAMS, BOUNDS)
    const leave = simulation.leave
    simulation.leave = (request) => { left.add(request); leave(request) }
    for (const each of steps) {
      simulateStep(simulation, each)
      for (const { limit } of simulation.waiting) assert.ok(limit >= simulation.now() - 10, 'nothing waits beyond its limit')
    }
    simulation.pass(7_000)
    assert.equal(simulation.waiting.size, 0)
    assert.equal(simulation.queue.size(), 0)
    assert.equal(simulation.queue.wakeAt(), undefined)
    for (const [request, effects] of simulation.effects) {
      assert.equal(effects.length, 1)
      assert.ok(!left.has(request))
    }
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: a burst of less urgent requests is dispatched before urgent ones that wait.
test('a less urgent request is dispatched before a waiting, more urgent one only if it is overdue', () => {
  fc.assert(fc.property(history, (steps) => {
    simulate(steps, (effect, { waiting, now }) => {
      if (effect.kind !== 'dispatch') return
      const { request } = effect
      const isOverdue = now() - request.arrival >= request.target / 2
      for (const other of waiting) {
        if (other.rank >= request.rank || other.restricted || !isAvailable(other)) continue
        assert.ok(isOverdue, `rank ${request.rank} before ${other.rank}`)
      }
    })
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: requests whose target has passed are overtaken by newer ones as long as these keep coming.
test('no request is overtaken by one of its rank that arrived later than it by more than its target', () => {
  fc.assert(fc.property(history, (steps) => {
    simulate(steps, (effect, { waiting }) => {
      if (effect.kind !== 'dispatch') return
      const { request } = effect
      for (const other of waiting) {
        if (other.rank !== request.rank || other.restricted || !isAvailable(other)) continue
        assert.ok(request.arrival <= other.arrival + other.target, `${request.arrival} before ${other.arrival} + ${other.target}`)
      }
    })
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: requests that are alike are reordered, and some callers wait for no reason. A later request may
// go first only where it is in time and the earlier one can only be late.
test('requests that are alike are dispatched in the order of their arrival where both or neither can be in time', () => {
  fc.assert(fc.property(fc.array(fc.record({ gap: fc.nat(30), waiting: fc.option(fc.nat(1_000), { nil: undefined, freq: 2 }) }), { minLength: 5, maxLength: 60 }), (arrivals) => {
    const simulation = createSimulation(1, undefined, (effect, { waiting, now }) => {
      if (effect.kind !== 'dispatch') return
      const { request, choice } = effect
      const canBeInTime = ({ arrival, target, base }: SimulatedRequest, wait: number): boolean => now() + wait + choice.reading + base <= arrival + target
      for (const other of waiting) {
        if (other.arrival >= request.arrival) continue
        assert.ok([0, choice.waiting].some((wait) => canBeInTime(request, wait) && !canBeInTime(other, wait)), `${request.arrival} before ${other.arrival}`)
      }
    })
    for (const { gap, waiting } of arrivals) {
      simulation.pass(gap)
      if (waiting !== undefined) simulation.setWaiting(0, waiting)
      simulation.advance()
      simulation.arrive(simulation.create())
    }
    simulation.pass(4_000)
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: the bodies of waiting requests fill the memory of the node.
test('neither the number of waiting requests nor the size of their bodies exceeds its bound', () => {
  fc.assert(fc.property(history, (steps) => {
    simulate(steps, undefined, ({ waiting, queue }) => {
      assert.equal(queue.size(), waiting.size)
      assert.ok(waiting.size <= BOUNDS.requests)
      assert.ok([...waiting].reduce((sum, { bytes }) => sum + bytes, 0) <= BOUNDS.bytes)
    })
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: requests are refused although they could be served, or held although they cannot be.
test('a request is refused at once as overloaded only if its limit cannot be met', () => {
  fc.assert(fc.property(history, (steps) => {
    const simulation = createSimulation(UPSTREAMS, BOUNDS)
    for (const each of steps) {
      if (each.kind !== 'arrive') {
        simulateStep(simulation, each)
        continue
      }
      const now = simulation.now()
      const before = [...simulation.waiting]
      const work = before.reduce((sum, { base, choose }) => sum + base + (choose()?.reading ?? 300), 0)
      const request = simulation.create({ time: each.time, reading: each.long ? 300 : 20 })
      const choice = request.choose()
      const effect = simulation.arrive(request).find((one) => one.request === request)
      if (choice === undefined) continue
      const ownTime = Math.min(choice.reading + request.base, each.time / 2)
      const latest = now + choice.waiting + work / (MIN_RATE_FACTOR * UPSTREAMS) + ownTime
      if (effect?.kind === 'refuse' && effect.cause === 'overloaded') assert.ok(latest > request.limit, 'it could have been served')
      if (now + choice.waiting + ownTime > request.limit) assert.equal(effect?.kind, 'refuse', 'it cannot be served')
    }
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: callers are told to retry after a time that they do not follow, or at once.
test('the retry delay is at least 100 ms and at most a third of the time for which the caller waits', () => {
  fc.assert(fc.property(history, (steps) => {
    simulate(steps, (effect, { now }) => {
      if (effect.kind !== 'refuse') return
      const third = Math.max(0, effect.request.deadline - now()) / 3
      assert.ok(effect.retryAfter <= Math.min(5_000, third))
      assert.ok(effect.retryAfter >= Math.min(100, Math.floor(third) / 1.5 - 1))
    })
  }), { seed: 1, numRuns: 300 })
})

// Failure guarded against: the node decides in a loop about requests for which nothing changes.
test('decisions that are due by time alone are few', () => {
  fc.assert(fc.property(history, (steps) => {
    const simulation = simulate(steps, undefined, ({ queue, now }) => {
      const due = queue.wakeAt()
      assert.equal(due === undefined, queue.size() === 0)
      if (due !== undefined) assert.ok(due > now())
    })
    const [before, start] = [simulation.decisions(), simulation.now()]
    simulation.pass(1_000)
    const spent = simulation.now() - start
    assert.ok(simulation.decisions() - before <= spent / 10 + 6 * BOUNDS.requests, `${simulation.decisions() - before} decisions in ${spent} ms`)
  }), { seed: 1, numRuns: 300 })
})
