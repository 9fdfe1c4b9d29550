/** Decisions of the scheduler of one node for single events. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createScheduler } from '../../src/admission/index.js'
import type { Scheduler, SchedulerEffect } from '../../src/admission/index.js'
import { createRandom } from '../../src/random.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import { attempt, configuration, idOf, large, nameOf, question, report, small, view } from './fixtures.js'

const USAGE = { prompt_tokens: 100, completion_tokens: 100, cached_tokens: 0 }

function start (views: readonly UpstreamView[], nodes = 1): Scheduler {
  const scheduler = createScheduler({ random: createRandom(1) })
  scheduler.handle({ kind: 'configured', configuration }, 0)
  scheduler.handle({ kind: 'nodes', count: nodes }, 0)
  scheduler.handle({ kind: 'upstreams', upstreams: views }, 0)
  return scheduler
}

function dispatchedTo (effects: readonly SchedulerEffect[]): string[] {
  return effects.flatMap((effect) => effect.kind === 'dispatch' ? [effect.upstream] : [])
}

function kinds (effects: readonly SchedulerEffect[]): (readonly [string, string])[] {
  return effects.map((effect) => [effect.kind, effect.id] as const)
}

/** Sends attempts until the engine has no free slot for this node. Returns the number of the attempt that waits. */
function fillSlots (scheduler: Scheduler, from: number, now = 0): number {
  let number = from
  while (dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(number, { arrivedAt: now }) }, now)).length > 0) number += 1
  return number
}

test('a suspected request runs where no other request of this node runs', () => {
  // Failure guarded against: a request that has crashed an upstream crashes another one together with all requests that
  // run there, and the crash does not show which request caused it. The request must wait for an idle upstream and
  // occupy it alone.
  const scheduler = start([view(1), view(2)])
  assert.equal(scheduler.handle({ kind: 'arrived', attempt: attempt(1) }, 0).length, 1)
  assert.equal(scheduler.handle({ kind: 'arrived', attempt: attempt(2) }, 0).length, 1)
  assert.deepEqual(scheduler.handle({ kind: 'arrived', attempt: attempt(3, { apart: true }) }, 0), [])
  const freed = scheduler.handle({ kind: 'ended', id: idOf(1), result: { kind: 'withdrawn' } }, 1)
  assert.deepEqual(kinds(freed), [['dispatch', idOf(3)]])
  const beside = scheduler.handle({ kind: 'arrived', attempt: attempt(4) }, 1)
  assert.notEqual(dispatchedTo(beside)[0], dispatchedTo(freed)[0])
})

test('a suspected request does not wait forever under a steady load', () => {
  // Failure guarded against: under load another request takes each slot that becomes free, so no upstream is ever idle.
  // A suspected request that only waits for an idle upstream would wait forever.
  const scheduler = start([view(1), view(2)])
  for (const number of [1, 2, 3, 4]) scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, 0)
  scheduler.handle({ kind: 'arrived', attempt: attempt(5, { apart: true, accepted: true }) }, 0)
  let number = 5
  let placed = false
  for (let ended = 1; ended <= 4; ended += 1) {
    number += 1
    placed ||= kinds(scheduler.handle({ kind: 'ended', id: idOf(ended), result: { kind: 'whole', usage: USAGE } }, ended)).some(([kind, id]) => kind === 'dispatch' && id === idOf(5))
    scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, ended)
  }
  assert.ok(placed)
})

test('an accepted suspected request probes an ejected upstream if no other is left', () => {
  // Failure guarded against: an upstream dies while it takes over a running request. The request must then run alone and
  // not at an upstream where it failed, and the only other upstream is ejected. Without new requests that would probe
  // the ejected upstream, the caller would wait forever.
  const scheduler = start([view(1), view(2), view(3)])
  const crash = (number: number, at: number): void => {
    const [upstream] = dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(number, { arrivedAt: at, excluded: [nameOf(2), nameOf(3)] }) }, at))
    assert.equal(upstream, nameOf(1))
    scheduler.handle({ kind: 'ended', id: idOf(number), result: { kind: 'failed', verdict: 'may-have-run', upstreamDied: true } }, at)
  }
  crash(1, 0)
  crash(2, 1)
  const suspect = attempt(3, { accepted: true, apart: true, arrivedAt: 2, excluded: [nameOf(2), nameOf(3)] })
  assert.deepEqual(scheduler.handle({ kind: 'arrived', attempt: suspect }, 2), [])
  assert.deepEqual(kinds(scheduler.handle({ kind: 'tick' }, 60_000)), [['dispatch', idOf(3)]])
})

test('without upstreams an accepted request waits and a new one is refused at once', () => {
  // All upstreams are reclaimed. The caller of an accepted request has the id of its answer and must not lose it. A new
  // caller must learn at once that its request has not run.
  const scheduler = start([view(1, true)])
  assert.deepEqual(scheduler.handle({ kind: 'arrived', attempt: attempt(1, { accepted: true, tokensSoFar: 5 }) }, 0), [])
  assert.deepEqual(kinds(scheduler.handle({ kind: 'arrived', attempt: attempt(2) }, 0)), [['refuse', idOf(2)]])
  const effects = scheduler.handle({ kind: 'upstreams', upstreams: [view(1, true), view(2)] }, 5)
  assert.deepEqual(kinds(effects), [['dispatch', idOf(1)]])
})

test('a request that can no longer meet its target is refused before its deadline', () => {
  // The engine stays full. The request must start within 0.6 s. Its caller needs the refusal in time to try elsewhere,
  // not after the target of 8 s for the whole answer.
  const scheduler = start([view(1)])
  fillSlots(scheduler, 1)
  const late = attempt(1_000, { class: question, arrivedAt: 10 })
  const effects = [...scheduler.handle({ kind: 'arrived', attempt: late }, 10)]
  for (let now = 20; now <= 700 && effects.length === 0; now += 20) effects.push(...scheduler.handle({ kind: 'tick' }, now))
  assert.deepEqual(kinds(effects).filter(([, id]) => id === late.id), [['refuse', late.id]])
})

test('a request of a small organisation is served before many requests of a large one', () => {
  // Failure guarded against: one organisation sends far more requests than the engine can run. In order of arrival, a
  // single request of another organisation would wait for all of them.
  const scheduler = start([view(1)])
  let number = fillSlots(scheduler, 1)
  for (let index = 0; index < 40; index += 1) scheduler.handle({ kind: 'arrived', attempt: attempt(++number) }, 0)
  const single = attempt(++number, { organisation: small, arrivedAt: 1 })
  assert.deepEqual(scheduler.handle({ kind: 'arrived', attempt: single }, 1).filter((effect) => effect.id === single.id), [])
  const freed = scheduler.handle({ kind: 'ended', id: idOf(1), result: { kind: 'whole', usage: USAGE } }, 2)
  const next = scheduler.handle({ kind: 'ended', id: idOf(2), result: { kind: 'whole', usage: USAGE } }, 3)
  const order = [...freed, ...next].flatMap((effect) => effect.kind === 'dispatch' ? [effect.id] : [])
  assert.ok(order.includes(single.id), `dispatched first: ${order.join(', ')}`)
})

test('nodes with the same outdated load report do not all dispatch to the least loaded upstream', () => {
  // Failure guarded against: sixteen nodes have the same report, in which one engine has less work than three others.
  // If each node dispatched its next request there, the resulting queue would only be visible in the next report.
  const counts = new Map<string, number>()
  for (let node = 0; node < 16; node += 1) {
    const scheduler = createScheduler({ random: createRandom(node) })
    scheduler.handle({ kind: 'configured', configuration }, 0)
    scheduler.handle({ kind: 'nodes', count: 16 }, 0)
    scheduler.handle({ kind: 'upstreams', upstreams: [0, 1, 2, 3].map((index) => view(index)) }, 0)
    for (const index of [0, 1, 2, 3]) scheduler.handle({ kind: 'load', report: report(index, index === 0 ? 8 : 10, 0) }, 0)
    const [upstream] = dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(node) }, 900))
    assert.ok(upstream !== undefined)
    counts.set(upstream, (counts.get(upstream) ?? 0) + 1)
  }
  assert.ok(Math.max(...counts.values()) <= 12, JSON.stringify([...counts]))
})

test('an upstream that accepts requests and never answers receives no more of them', () => {
  // Failure guarded against: a hanging engine still accepts connections. It looks idle compared with the others and
  // would receive every new request of the service.
  const scheduler = start([view(1), view(2), view(3), view(4)])
  const stuck = nameOf(1)
  const busy: { number: number, upstream: string | undefined }[] = []
  let sentToStuck = 0
  for (let number = 1; number <= 300; number += 1) {
    const now = number * 100
    const isStuck = number > 100
    scheduler.handle({ kind: 'tick' }, now)
    const [upstream] = dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(number, { arrivedAt: now }) }, now))
    if (isStuck && upstream === stuck) sentToStuck += 1
    if (!isStuck || upstream !== stuck) scheduler.handle({ kind: 'first-token', id: idOf(number) }, now + 50)
    busy.push({ number, upstream })
    const oldest = busy.length > 24 ? busy.shift() : undefined
    if (oldest === undefined || (oldest.number > 100 && oldest.upstream === stuck)) continue
    scheduler.handle({ kind: 'ended', id: idOf(oldest.number), result: { kind: 'whole', usage: USAGE } }, now + 90)
  }
  assert.ok(sentToStuck <= 10, `${sentToStuck} requests were dispatched to the upstream that hangs`)
})

test('an engine receives requests only when its weights are loaded', () => {
  // Failure guarded against: after a wave of reclaims, new engines are listed at once and accept requests. They answer
  // only a minute later, when their weights are loaded, so the first requests would miss their targets.
  const scheduler = start([view(1), view(2)])
  scheduler.handle({ kind: 'load', report: { ...report(1, 4, 0), models: ['m@1'] } }, 0)
  scheduler.handle({ kind: 'load', report: report(2, 0, 0) }, 0)
  const first = [1, 2].flatMap((number) => dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, 1)))
  assert.ok(!first.includes(nameOf(2)))
  scheduler.handle({ kind: 'load', report: { ...report(2, 0, 0), models: ['m@1'] } }, 2)
  const next = [3, 4].flatMap((number) => dispatchedTo(scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, 3)))
  assert.ok(next.includes(nameOf(2)))
})

test('refused callers get different retry delays', () => {
  // Failure guarded against: the requests of a burst are refused together. With equal delays the callers retry together
  // and are refused together again.
  const scheduler = start([view(1)])
  let number = fillSlots(scheduler, 1)
  const times = new Set<number>()
  for (let index = 0; index < 200; index += 1) {
    for (const effect of scheduler.handle({ kind: 'arrived', attempt: attempt(++number, { organisation: large }) }, 0)) {
      if (effect.kind === 'refuse') times.add(effect.retryAfter)
    }
  }
  assert.ok(times.size > 20, `${times.size} different delays`)
})
