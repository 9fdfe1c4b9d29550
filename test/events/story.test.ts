/** Timeline of a request, reconstructed from log lines alone. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readLine, reconstructTimeline } from '../../src/events/index.js'
import type { LoggedLine } from '../../src/events/index.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')

function line (after: number, event: string, facts: object = {}, process = 'front-1'): LoggedLine {
  const read = readLine(JSON.stringify({ time: new Date(START + after).toISOString(), level: 'info', process, event, ...facts }))
  assert.ok(read !== undefined, event)
  return read
}

const decisiveEvent = (lines: readonly LoggedLine[], id: string): string | undefined => reconstructTimeline(lines, id)?.entries.find((entry) => entry.decisive)?.line.event

describe('the timeline of a request', () => {
  // Failure guarded against: a request breaks off because its engine was reclaimed two seconds after the notice, and the
  // timeline does not show the reclaim. The request may run only once, so it is not repeated.
  it('links an interrupted request to the reclaim of its engine', () => {
    const lines = [
      line(0, 'configuration-in-force', { version: 7, source: 'store', routes: 4 }),
      line(1_000, 'upstream-new', { upstream: 'i-1', service: 's', address: 'a', failureDomain: 'z', reclaimable: true, source: 'watch' }),
      line(5_000, 'request-sent', { request: 'r', upstream: 'i-1', send: 1, reading: 100, waiting: 0, candidates: 3, nodes: 9 }),
      line(5_100, 'request-sent', { request: 'other', upstream: 'i-2', send: 1, reading: 100, waiting: 0, candidates: 3, nodes: 9 }),
      line(6_000, 'upstream-leaving', { upstream: 'i-1', service: 's', address: 'a', failureDomain: 'z', reclaimable: true, leavesIn: 2_000, source: 'watch' }),
      line(6_100, 'upstream-leaving', { upstream: 'i-2', service: 's', address: 'b', failureDomain: 'z', reclaimable: true, leavesIn: 2_000, source: 'watch' }),
      line(8_000, 'attempt-broken', { request: 'r', upstream: 'i-1', events: 57, attempts: 1, after: 3_000, reason: 'other side closed' }),
      line(8_001, 'repeat-refused', { request: 'r', reason: 'it may run only once', attempts: 1, unrun: 0 }),
      line(8_002, 'request-failed', { request: 'r', code: 'connection-lost', verdict: 'may-have-run', reason: 'other side closed', after: 3_002, nodes: 9 })
    ]
    const timeline = reconstructTimeline(lines, 'r')
    assert.deepEqual(timeline?.entries.map((entry) => entry.line.event), ['configuration-in-force', 'upstream-new', 'request-sent', 'upstream-leaving', 'attempt-broken', 'repeat-refused', 'request-failed'])
    assert.equal(decisiveEvent(lines, 'r'), 'repeat-refused')
    assert.equal(timeline?.cause, 'Upstream i-1 broke off after 57 events (other side closed); it was known to be leaving 2000 ms before. It was not sent once more: it may run only once.')
    assert.deepEqual(timeline?.end, { kind: 'failed', code: 'connection-lost', verdict: 'may-have-run' })
    assert.deepEqual(timeline?.gaps, [])
  })

  it('explains a quota refusal by the usage of all nodes', () => {
    const lines = [
      line(0, 'shares-dealt', { nodes: 9, heard: 8 }),
      line(10, 'quota-refused', { request: 'r', organisation: 'o', cost: 12_000, rate: 90_000, offered: 130_000, retryAfter: 800, nodes: 9 }),
      line(11, 'request-failed', { request: 'r', code: 'organisation-limit', verdict: 'not-run', reason: 'x', after: 1, nodes: 9 })
    ]
    assert.equal(decisiveEvent(lines, 'r'), 'quota-refused')
    assert.equal(reconstructTimeline(lines, 'r')?.cause, 'o had used up its quota of 90000 a second; 130000 a second were asked of all 9 nodes.')
  })

  it('shows the upstreams that became unavailable before none was found', () => {
    const lines = [
      line(0, 'upstream-gone', { upstream: 'i-9', source: 'watch' }),
      line(0, 'upstream-paused', { upstream: 'i-8', reason: 'unreachable' }, 'front-2'),
      line(100, 'upstream-not-found', { request: 'r', service: 's', ready: 0, tried: 0, waited: 100, upstreamsAge: 300, nodes: 9 }),
      line(101, 'request-failed', { request: 'r', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 101, nodes: 9 })
    ]
    const timeline = reconstructTimeline(lines, 'r')
    assert.deepEqual(timeline?.entries.map((entry) => entry.line.event), ['upstream-gone', 'upstream-not-found', 'request-failed'], 'observations of other nodes are not included')
    assert.match(timeline?.cause ?? '', /Of 0 ready upstreams of s, known as of 300 ms before/)
  })

  it('reports how long an upstream would have taken to begin a request that was refused', () => {
    const facts = { request: 'r', service: 's', rank: 0, backlog: 3_200, left: 2_000, waited: 0, queued: 40, tried: 0, retryAfter: 600 }
    const failed = line(1, 'request-failed', { request: 'r', code: 'overloaded', verdict: 'not-run', reason: 'x', after: 1, nodes: 9 })
    const cause = (refusal: 'overloaded' | 'full'): string | undefined => reconstructTimeline([line(0, 'overload-refused', { ...facts, cause: refusal }), failed], 'r')?.cause
    assert.equal(cause('overloaded'), 'An upstream of s was expected to begin it after 3200 ms, with 2000 ms left to its limit; 40 requests waited for the service.')
    assert.equal(cause('full'), 'The node had no room for more waiting requests; 40 waited for s.')
  })

  it('reports that all upstreams had asked for fewer requests', () => {
    const lines = [
      line(0, 'upstream-not-found', { request: 'r', service: 's', ready: 0, tried: 0, waited: 0, withheld: 900, nodes: 9 }),
      line(1, 'request-failed', { request: 'r', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 1, nodes: 9 })
    ]
    assert.equal(reconstructTimeline(lines, 'r')?.cause, 'All upstreams of s had asked for fewer requests; the first takes one of this node again after 900 ms.')
  })

  // Failure guarded against: a request has neither an answer nor a line about its end, because its node was killed. After
  // the restart the node does not know the request, so the end must be derived from the line about the restart.
  it('reports that the process ended, and which lines were left out', () => {
    const sent = line(0, 'request-sent', { request: 'r', upstream: 'i-1', send: 1, reading: 0, waiting: 0, candidates: 3, nodes: 9 })
    const restart = line(900, 'node-started', { incarnation: 'b', failureDomain: 'z', front: 'f' })
    assert.deepEqual(reconstructTimeline([restart, sent], 'r')?.end, { kind: 'process-ended', startedAgain: START + 900 })
    const leftOut = [line(700, 'lines-left-out', { 'request-failed': 12 }), line(700, 'lines-left-out', { 'request-failed': 9 }, 'front-2')]
    const timeline = reconstructTimeline([sent, ...leftOut], 'r')
    assert.deepEqual([timeline?.end.kind, timeline?.gaps], ['not-told', [{ process: 'front-1', at: START + 700, event: 'request-failed', count: 12 }]])
  })

  it('is undefined for an id that no line names', () => {
    assert.equal(reconstructTimeline([line(0, 'node-stopped')], 'r'), undefined)
  })
})

describe('a log line', () => {
  it('is parsed after text that a log collector wrote before the line', () => {
    const text = '12.345 front-1 | {"time":"2026-01-01T00:00:00.000Z","level":"info","process":"front-1","event":"duty-taken","fencing":3}'
    assert.deepEqual(readLine(text), { time: START, process: 'front-1', event: 'duty-taken', facts: { fencing: 3 } })
  })

  it('that is incomplete, of another program or of an unknown event is ignored', () => {
    for (const text of ['', 'Error: x', '{"time":"2026-01-01T00:00:00.000Z","lev', '{"time":"yesterday","level":"info","process":"a","event":"node-stopped"}', '{"time":"2026-01-01T00:00:00.000Z","level":"info","process":"a","event":"of another version"}']) {
      assert.equal(readLine(text), undefined, text)
    }
  })

  // Failure guarded against: one of the few requests that were dispatched to a new version fails, and the timeline shows
  // no cause. The nodes stopped the roll-out of that version one second later.
  it('names the version of a roll-out that a failed request was dispatched to', () => {
    const lines = [
      line(1_000, 'rollout-stage', { service: 's', version: 'v2', stage: 'canary', order: 7 }),
      line(5_000, 'request-sent', { request: 'r', upstream: 'i-9', send: 1, reading: 0, waiting: 0, candidates: 1, nodes: 9, tries: 'v2' }),
      line(5_100, 'attempt-broken', { request: 'r', upstream: 'i-9', events: 0, attempts: 1, after: 100, reason: 'other side closed' }),
      line(5_101, 'repeat-refused', { request: 'r', reason: 'it may run only once', attempts: 1, unrun: 0 }),
      line(5_102, 'request-failed', { request: 'r', code: 'connection-lost', verdict: 'may-have-run', reason: 'other side closed', after: 102, nodes: 9 }),
      line(6_000, 'rollout-stopped', { service: 's', version: 'v2', route: 'booking', fault: 'failing', sent: 400, exposed: 30, order: 7 })
    ]
    const timeline = reconstructTimeline(lines, 'r')
    assert.match(timeline?.cause ?? '', /Send 1 tried version v2 of a roll-out, at i-9/)
    assert.ok(timeline?.entries.some(({ line: { event } }) => event === 'rollout-stopped'))
  })
})
