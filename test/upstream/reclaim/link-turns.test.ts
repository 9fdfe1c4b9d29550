import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../../src/clock.js'
import { requestIdSchema } from '../../../src/identifiers.js'
import type { RequestId } from '../../../src/identifiers.js'
import { createLinkEstimate, createLinkTurns } from '../../../src/upstream/reclaim/index.js'
import type { TurnDecision, TurnRequest } from '../../../src/upstream/reclaim/index.js'

const DEADLINE = 3 * SECOND

function request (index: number, change: Partial<TurnRequest> = {}): TurnRequest {
  return { id: requestIdSchema.parse(`entry-1.${String(index).padStart(16, '0')}`), tokens: 2_000, rank: index, required: false, ...change }
}

/** Runs exports over a link of a true rate, as nodes would that ask all at once. */
function run (requests: readonly TurnRequest[], rate: number, lost: ReadonlySet<RequestId> = new Set()): { moved: RequestId[], givenUp: RequestId[], lastGivenUpAt: number, mostAtOnce: number } {
  const turns = createLinkTurns(createLinkEstimate(), DEADLINE)
  const running = new Map<RequestId, number>()
  const result = { moved: [] as RequestId[], givenUp: [] as RequestId[], lastGivenUpAt: 0, mostAtOnce: 0 }
  const tokens = new Map(requests.map((one) => [one.id, one.tokens]))
  const take = (decisions: readonly TurnDecision[], now: number): void => {
    for (const { id, kind } of decisions) {
      if (kind === 'go') {
        running.set(id, now + (tokens.get(id) ?? 0) / rate)
        continue
      }
      result.givenUp.push(id)
      result.lastGivenUpAt = now
    }
    result.mostAtOnce = Math.max(result.mostAtOnce, [...running.keys()].filter((id) => !lost.has(id)).length)
  }
  for (const one of requests) take(turns.ask(one, 0), 0)
  for (let now = 0; now <= 2 * DEADLINE; now += 10) {
    for (const [id, endAt] of [...running]) {
      if (endAt > now || lost.has(id)) continue
      running.delete(id)
      if (now <= DEADLINE) result.moved.push(id)
      take(turns.ended(id, now <= DEADLINE, now), now)
    }
    take(turns.tick(now), now)
  }
  return result
}

// A user would see all plans of an engine computed again although the link could carry three of six.
// Six nodes' exports begin at once on a link five times slower than any was seen before; sharing it,
// none ends before the deadline.
test('on a link slower than expected the first exports still arrive, and the rest are given up early', () => {
  const requests = Array.from({ length: 6 }, (_, index) => request(index))
  const { moved, givenUp, lastGivenUpAt, mostAtOnce } = run(requests, 2)
  assert.deepEqual(moved, requests.slice(0, 3).map((one) => one.id))
  assert.equal(givenUp.length, 3)
  assert.equal(lastGivenUpAt, SECOND, 'as soon as the first export has shown the rate')
  assert.equal(mostAtOnce, 1)
})

test('every request for a turn is answered once, and one export runs at a time', () => {
  const requests = fc.uniqueArray(fc.record({ index: fc.nat(999), tokens: fc.integer({ min: 300, max: 20_000 }), required: fc.boolean() }), { selector: (one) => one.index, maxLength: 15 })
    .map((all) => all.map((one) => request(one.index, one)))
  fc.assert(fc.property(requests, fc.double({ min: 0.5, max: 100, noNaN: true }), (all, rate) => {
    const { moved, givenUp } = run(all, rate)
    assert.equal(new Set([...moved, ...givenUp]).size, moved.length + givenUp.length)
    assert.ok(moved.length + givenUp.length <= all.length)
    for (const id of givenUp) assert.ok(!moved.includes(id))
  }), { seed: 1, numRuns: 300 })
})

// A user would see plans computed again because the node that held the link died with its turn.
test('the turn of a node that died passes on', () => {
  const requests = [request(0), request(1), request(2)]
  const { moved } = run(requests, 10, new Set([requests[0]!.id]))
  assert.deepEqual(moved, requests.slice(1).map((one) => one.id))
})

test('a stream that only an export can save goes first and is not given up', () => {
  const requests = [request(0), request(1, { required: true, tokens: 60_000 })]
  const turns = createLinkTurns(createLinkEstimate(), DEADLINE)
  turns.ask(requests[0]!, 0)
  turns.ask(requests[1]!, 0)
  assert.deepEqual(turns.ended(requests[0]!.id, true, 200), [{ id: requests[1]!.id, kind: 'go' }])
})
