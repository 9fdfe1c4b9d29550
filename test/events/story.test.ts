/** What the command tells of a request afterwards, from lines alone. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readLine, tellStory } from '../../src/events/index.js'
import type { LoggedLine } from '../../src/events/index.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')

function line (after: number, event: string, facts: object = {}, process = 'front-1'): LoggedLine {
  const read = readLine(JSON.stringify({ time: new Date(START + after).toISOString(), level: 'info', process, event, ...facts }))
  assert.ok(read !== undefined, event)
  return read
}

const decisive = (lines: readonly LoggedLine[], id: string): string | undefined => tellStory(lines, id)?.entries.find((entry) => entry.decisive)?.line.event

describe('the story of a request', () => {
  // A technician's plan stops midway. Its engine was taken back two seconds after it said so; the plan had
  // not ended by then, and a plan may run only once.
  it('leads from a plan that was cut off to the reclaim of its engine', () => {
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
    const story = tellStory(lines, 'r')
    assert.deepEqual(story?.entries.map((entry) => entry.line.event), ['configuration-in-force', 'upstream-new', 'request-sent', 'upstream-leaving', 'attempt-broken', 'repeat-refused', 'request-failed'])
    assert.equal(decisive(lines, 'r'), 'repeat-refused')
    assert.equal(story?.cause, 'Upstream i-1 broke off after 57 events (other side closed); it was known to be leaving 2000 ms before. It was not sent once more: it may run only once.')
    assert.deepEqual(story?.end, { kind: 'failed', code: 'connection-lost', verdict: 'may-have-run' })
    assert.deepEqual(story?.gaps, [])
  })

  it('names the use of all nodes that decided a refusal', () => {
    const lines = [
      line(0, 'shares-dealt', { nodes: 9, heard: 8 }),
      line(10, 'quota-refused', { request: 'r', organisation: 'o', cost: 12_000, rate: 90_000, offered: 130_000, retryAfter: 800, nodes: 9 }),
      line(11, 'request-failed', { request: 'r', code: 'organisation-limit', verdict: 'not-run', reason: 'x', after: 1, nodes: 9 })
    ]
    assert.equal(decisive(lines, 'r'), 'quota-refused')
    assert.equal(tellStory(lines, 'r')?.cause, 'o had used up its quota of 90000 a second; 130000 a second were asked of all 9 nodes.')
  })

  it('shows the upstreams that went where none was left', () => {
    const lines = [
      line(0, 'upstream-gone', { upstream: 'i-9', source: 'watch' }),
      line(0, 'upstream-paused', { upstream: 'i-8', reason: 'unreachable' }, 'front-2'),
      line(100, 'upstream-not-found', { request: 'r', service: 's', ready: 0, tried: 0, waited: 100, upstreamsAge: 300, nodes: 9 }),
      line(101, 'request-failed', { request: 'r', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 101, nodes: 9 })
    ]
    const story = tellStory(lines, 'r')
    assert.deepEqual(story?.entries.map((entry) => entry.line.event), ['upstream-gone', 'upstream-not-found', 'request-failed'], 'what another node believed is no part of it')
    assert.match(story?.cause ?? '', /Of 0 ready upstreams of s, known as of 300 ms before/)
  })

  it('says that all upstreams had asked for less', () => {
    const lines = [
      line(0, 'upstream-not-found', { request: 'r', service: 's', ready: 0, tried: 0, waited: 0, withheld: 900, nodes: 9 }),
      line(1, 'request-failed', { request: 'r', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 1, nodes: 9 })
    ]
    assert.equal(tellStory(lines, 'r')?.cause, 'All upstreams of s had asked for fewer requests; the first takes one of this node again after 900 ms.')
  })

  // A booking has no answer and no line of an end. Its node was killed with it, and its next life knows nothing.
  it('says that the process ended, and what was left out', () => {
    const sent = line(0, 'request-sent', { request: 'r', upstream: 'i-1', send: 1, reading: 0, waiting: 0, candidates: 3, nodes: 9 })
    const again = line(900, 'node-started', { incarnation: 'b', failureDomain: 'z', front: 'f' })
    assert.deepEqual(tellStory([again, sent], 'r')?.end, { kind: 'process-ended', startedAgain: START + 900 })
    const left = [line(700, 'lines-left-out', { 'request-failed': 12 }), line(700, 'lines-left-out', { 'request-failed': 9 }, 'front-2')]
    const story = tellStory([sent, ...left], 'r')
    assert.deepEqual([story?.end.kind, story?.gaps], ['not-told', [{ process: 'front-1', at: START + 700, event: 'request-failed', count: 12 }]])
  })

  it('is empty for an id that no line names', () => {
    assert.equal(tellStory([line(0, 'node-stopped')], 'r'), undefined)
  })
})

describe('a line', () => {
  it('is read after what a collector wrote before it', () => {
    const text = '12.345 front-1 | {"time":"2026-01-01T00:00:00.000Z","level":"info","process":"front-1","event":"duty-taken","fencing":3}'
    assert.deepEqual(readLine(text), { time: START, process: 'front-1', event: 'duty-taken', facts: { fencing: 3 } })
  })

  it('that is torn, foreign or of an unknown event is passed over', () => {
    for (const text of ['', 'Error: x', '{"time":"2026-01-01T00:00:00.000Z","lev', '{"time":"yesterday","level":"info","process":"a","event":"node-stopped"}', '{"time":"2026-01-01T00:00:00.000Z","level":"info","process":"a","event":"of another version"}']) {
      assert.equal(readLine(text), undefined, text)
    }
  })

  // A dispatcher's booking fails while all looks well. It was one of the few that tried a new version, which the nodes
  // stopped a second later.
  it('names the version of a roll-out that a failed request was sent to', () => {
    const lines = [
      line(1_000, 'rollout-stage', { service: 's', version: 'v2', stage: 'canary', order: 7 }),
      line(5_000, 'request-sent', { request: 'r', upstream: 'i-9', send: 1, reading: 0, waiting: 0, candidates: 1, nodes: 9, tries: 'v2' }),
      line(5_100, 'attempt-broken', { request: 'r', upstream: 'i-9', events: 0, attempts: 1, after: 100, reason: 'other side closed' }),
      line(5_101, 'repeat-refused', { request: 'r', reason: 'it may run only once', attempts: 1, unrun: 0 }),
      line(5_102, 'request-failed', { request: 'r', code: 'connection-lost', verdict: 'may-have-run', reason: 'other side closed', after: 102, nodes: 9 }),
      line(6_000, 'rollout-stopped', { service: 's', version: 'v2', route: 'booking', fault: 'failing', sent: 400, exposed: 30, order: 7 })
    ]
    const story = tellStory(lines, 'r')
    assert.match(story?.cause ?? '', /Send 1 tried version v2 of a roll-out, at i-9/)
    assert.ok(story?.entries.some(({ line: { event } }) => event === 'rollout-stopped'))
  })
})
