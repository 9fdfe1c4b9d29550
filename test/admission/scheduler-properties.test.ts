/** What holds after any sequence of events, whatever their order. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createScheduler } from '../../src/admission/index.js'
import type { AttemptResult, PendingAttempt, Scheduler, SchedulerEvent } from '../../src/admission/index.js'
import type { RequestId, UpstreamName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { attempt, configuration, large, nameOf, plan, question, report, small, view } from './fixtures.js'

const UPSTREAMS = 4

/** One step of a history; what it refers to is resolved when it is played. */
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

interface Played {
  readonly log: string[]
  readonly waiting: Map<RequestId, PendingAttempt>
  readonly running: Map<RequestId, UpstreamName>
  readonly leaving: Set<UpstreamName>
  readonly scheduler: Scheduler
  now: number
}

/** Plays a history and checks each effect as it comes. */
function play (steps: readonly Step[], check: (played: Played) => void = () => {}): Played {
  const scheduler = createScheduler({ random: createRandom(7) })
  const played: Played = { log: [], waiting: new Map(), running: new Map(), leaving: new Set(), scheduler, now: 0 }
  tell(played, { kind: 'configured', configuration })
  showUpstreams(played)
  steps.forEach((each, number) => {
    playStep(played, each, number)
    check(played)
  })
  return played
}

function tell (played: Played, event: SchedulerEvent): void {
  for (const effect of played.scheduler.handle(event, played.now)) {
    const pending = played.waiting.get(effect.id)
    assert.ok(pending !== undefined, `${effect.kind} of ${effect.id}, which does not wait`)
    played.waiting.delete(effect.id)
    played.log.push(JSON.stringify([played.now, effect]))
    switch (effect.kind) {
      case 'refuse':
        assert.equal(pending.accepted, false, 'refused after it was accepted')
        assert.ok(effect.retryAfter > 0)
        break
      case 'dispatch':
        assert.ok(!played.leaving.has(effect.upstream), 'dispatched to a leaving upstream')
        assert.ok(!pending.excluded.includes(effect.upstream), 'dispatched to an excluded upstream')
        if (pending.apart) assert.ok(![...played.running.values()].includes(effect.upstream), 'not apart')
        played.running.set(effect.id, effect.upstream)
        break
    }
  }
}

function showUpstreams (played: Played): void {
  const indexes = Array.from({ length: UPSTREAMS }, (_, index) => index)
  tell(played, { kind: 'upstreams', upstreams: indexes.map((index) => view(index, played.leaving.has(nameOf(index)))) })
}

function playStep (played: Played, each: Step, number: number): void {
  switch (each.kind) {
    case 'arrive': {
      const pending = attempt(number, {
        organisation: each.organisation ? large : small,
        class: each.short ? question : plan,
        arrivedAt: played.now,
        accepted: each.accepted,
        apart: each.apart,
        excluded: each.excluded === undefined ? [] : [nameOf(each.excluded)]
      })
      played.waiting.set(pending.id, pending)
      return tell(played, { kind: 'arrived', attempt: pending })
    }
    case 'end': return end(played, [...played.running.keys()][each.which % Math.max(1, played.running.size)], resultOf(each.result))
    case 'token': {
      const id = [...played.running.keys()][each.which % Math.max(1, played.running.size)]
      return id === undefined ? undefined : tell(played, { kind: 'first-token', id })
    }
    case 'leave':
      played.leaving.add(nameOf(each.upstream))
      return showUpstreams(played)
    case 'return':
      played.leaving.delete(nameOf(each.upstream))
      return showUpstreams(played)
    case 'load': return tell(played, { kind: 'load', report: report(each.upstream, each.running, each.waiting) })
    case 'pass':
      played.now += each.time
      return tell(played, { kind: 'tick' })
  }
}

function end (played: Played, id: RequestId | undefined, result: AttemptResult): void {
  if (id === undefined) return
  played.running.delete(id)
  tell(played, { kind: 'ended', id, result })
}

function resultOf (kind: 'whole' | 'failed' | 'died' | 'withdrawn'): AttemptResult {
  switch (kind) {
    case 'whole': return { kind: 'whole', usage: { prompt_tokens: 100, completion_tokens: 80, cached_tokens: 0 } }
    case 'failed': return { kind: 'failed', verdict: 'may-have-run', upstreamDied: false }
    case 'died': return { kind: 'failed', verdict: 'may-have-run', upstreamDied: true }
    case 'withdrawn': return { kind: 'withdrawn' }
  }
}

test('every attempt gets exactly one dispatch or refusal, the right kind, and nothing waits for good', () => {
  fc.assert(fc.property(history, (steps) => {
    const played = play(steps)
    played.leaving.clear()
    showUpstreams(played)
    for (let round = 0; round < 400 && (played.waiting.size > 0 || played.running.size > 0); round += 1) {
      played.now += 1_000
      tell(played, { kind: 'tick' })
      for (const id of [...played.running.keys()]) end(played, id, resultOf('whole'))
    }
    assert.equal(played.waiting.size, 0, 'starved')
  }), { seed: 1, numRuns: 300 })
})

test('no upstream of this node stands idle while an attempt waits that it may take', () => {
  const plain = history.map((steps) => steps.filter((each) => each.kind !== 'load' && !(each.kind === 'end' && each.result !== 'whole') && !(each.kind === 'arrive' && each.apart)))
  fc.assert(fc.property(plain, (steps) => {
    play(steps, (played) => {
      const busy = new Set(played.running.values())
      const idle = Array.from({ length: UPSTREAMS }, (_, index) => nameOf(index)).filter((name) => !played.leaving.has(name) && !busy.has(name))
      for (const pending of played.waiting.values()) {
        const usable = idle.filter((name) => !pending.excluded.includes(name))
        assert.deepEqual(usable, [], `${pending.id} waits beside an idle upstream`)
      }
    })
  }), { seed: 2, numRuns: 200 })
})

test('equal events and an equal seed give equal effects', () => {
  fc.assert(fc.property(history, (steps) => {
    assert.deepEqual(play(steps).log, play(steps).log)
  }), { seed: 3, numRuns: 100 })
})
