/** Log lines of ended requests. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EVENTS } from '../../src/events/index.js'
import { recordRequest } from '../../src/gateway/accounting.js'
import type { CallerRequest, RequestEnd } from '../../src/gateway/accounting.js'
import type { GatewayContext } from '../../src/gateway/context.js'
import { ServingError } from '../../src/verdict.js'

/** Records the end of a request with a target of 500 ms and returns its log line. */
function lineOf (end: RequestEnd, timeToFirstAnswer: number | undefined): Record<string, unknown> {
  const lines: Record<string, unknown>[] = []
  const log = { info: (event: string, facts: object) => { lines.push({ event, ...facts }) } }
  const context = { log, clock: { now: () => 1_000 }, metrics: { count: () => {}, record: () => {} }, sums: { add: () => {} }, freshness: () => ({ nodes: 1 }) } as unknown as GatewayContext
  const head = { id: 'r', tokens: { prompt: 4_000, generated: 100 } }
  const accepted = { head, route: { name: 'plans', target: 500 }, organisation: { name: 'o' }, priority: 0 }
  const proxied = { accepted, upstream: 'i', attempts: 1, unrun: 0, progress: { events: 1 }, timeToFirstAnswer }
  recordRequest(context, { head, arrival: 0, accepted, proxied } as unknown as CallerRequest, end)
  const [{ event, ...facts }] = lines as [Record<string, unknown>]
  const checked = EVENTS[event as 'request-served' | 'request-failed'].safeParse(facts)
  assert.ok(checked.success, checked.error?.message)
  return lines[0]!
}

const broken: RequestEnd = { kind: 'failed', failure: new ServingError('reset', { code: 'connection-lost', verdict: 'may-have-run' }) }

describe('the line of an ended request', () => {
  // Failure guarded against: operators cannot tell from the lines which requests wait and which pay for it, since only
  // late answers state their size.
  it('states the size of the prompt and whether the answer was late', () => {
    const cases: [RequestEnd, number | undefined, boolean | undefined][] = [
      [{ kind: 'answered', outcome: 'served' }, 500, false],
      [{ kind: 'answered', outcome: 'served' }, 501, true],
      [broken, 501, true],
      [broken, undefined, undefined]
    ]
    for (const [end, first, late] of cases) {
      const line = lineOf(end, first)
      assert.deepEqual([line.promptTokens, line.late, line.failed], [4_000, late, undefined])
    }
  })

  it('tells an error of the upstream from an answer', () => {
    assert.equal(lineOf({ kind: 'answered', outcome: 'upstream-failed' }, 10).failed, true)
  })
})
