import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../../src/clock.js'
import { requestIdSchema } from '../../../src/identifiers.js'
import type { RequestId } from '../../../src/identifiers.js'
import { createLinkEstimate, createExportQueue } from '../../../src/upstream/reclaim/index.js'
import type { ExportDecision, ExportRequest } from '../../../src/upstream/reclaim/index.js'

const DEADLINE = 3 * SECOND

function request (index: number, change: Partial<ExportRequest> = {}): ExportRequest {
  return { id: requestIdSchema.parse(`entry-1.${String(index).padStart(16, '0')}`), tokens: 2_000, rank: index, required: false, ...change }
}

/** Simulates exports over a link of the given rate that are all requested at once. Exports in `lost` never end. */
function simulate (requests: readonly ExportRequest[], rate: number, lost: ReadonlySet<RequestId> = new Set()): { moved: RequestId[], givenUp: RequestId[], lastGivenUpAt: number, maxConcurrent: number } {
  const queue = createExportQueue(createLinkEstimate(), DEADLINE)
  const running = new Map<RequestId, number>()
  const result = { moved: [] as RequestId[], givenUp: [] as RequestId[], lastGivenUpAt: 0, maxConcurrent: 0 }
  const tokens = new Map(requests.map((one) => [one.id, one.tokens]))
  const apply = (decisions: readonly ExportDecision[], now: number): void => {
    for (const { id, kind } of decisions) {
      if (kind === 'go') {
        running.set(id, now + (tokens.get(id) ?? 0) / rate)
        continue
      }
      result.givenUp.push(id)
      result.lastGivenUpAt = now
    }
    result.maxConcurrent = Math.max(result.maxConcurrent, [...running.keys()].filter((id) => !lost.has(id)).length)
  }
  for (const one of requests) apply(queue.enqueue(one, 0), 0)
  for (let now = 0; now <= 2 * DEADLINE; now += 10) {
    for (const [id, endAt] of [...running]) {
      if (endAt > now || lost.has(id)) continue
      running.delete(id)
      if (now <= DEADLINE) result.moved.push(id)
      apply(queue.ended(id, now <= DEADLINE, now), now)
    }
    apply(queue.tick(now), now)
  }
  return result
}

// Visible effect: all streams of an engine are recomputed although the link could carry three of six. Cause: the
// exports of six nodes start at once on a link five times slower than estimated, and none of them ends before the
// deadline because they share it.
test('on a link slower than expected the first exports complete, and the others are given up early', () => {
  const requests = Array.from({ length: 6 }, (_, index) => request(index))
  const { moved, givenUp, lastGivenUpAt, maxConcurrent } = simulate(requests, 2)
  assert.deepEqual(moved, requests.slice(0, 3).map((one) => one.id))
  assert.equal(givenUp.length, 3)
  assert.equal(lastGivenUpAt, SECOND, 'as soon as the first export has shown the rate of the link')
  assert.equal(maxConcurrent, 1)
})

test('every request is decided at most once', () => {
  const requests = fc.uniqueArray(fc.record({ index: fc.nat(999), tokens: fc.integer({ min: 300, max: 20_000 }), required: fc.boolean() }), { selector: (one) => one.index, maxLength: 15 })
    .map((all) => all.map((one) => request(one.index, one)))
  fc.assert(fc.property(requests, fc.double({ min: 0.5, max: 100, noNaN: true }), (all, rate) => {
    const { moved, givenUp } = simulate(all, rate)
    assert.equal(new Set([...moved, ...givenUp]).size, moved.length + givenUp.length)
    assert.ok(moved.length + givenUp.length <= all.length)
    for (const id of givenUp) assert.ok(!moved.includes(id))
  }), { seed: 1, numRuns: 300 })
})

// Visible effect: streams are recomputed because the node whose export was running has died.
test('the next export starts when the node of the running one has died', () => {
  const requests = [request(0), request(1), request(2)]
  const { moved } = simulate(requests, 10, new Set([requests[0]!.id]))
  assert.deepEqual(moved, requests.slice(1).map((one) => one.id))
})

test('a required export runs first and is not given up', () => {
  const requests = [request(0), request(1, { required: true, tokens: 60_000 })]
  const queue = createExportQueue(createLinkEstimate(), DEADLINE)
  queue.enqueue(requests[0]!, 0)
  queue.enqueue(requests[1]!, 0)
  assert.deepEqual(queue.ended(requests[0]!.id, true, 200), [{ id: requests[1]!.id, kind: 'go' }])
})
