/** Load of a day from the lines of single requests. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createDayLoad, readLine } from '../../src/events/index.js'
import type { LoadCounts, LoadPart, LoadSummary, LoggedLine } from '../../src/events/index.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')

function text (after: number, event: string, facts: object = {}, process = 'a'): string {
  return JSON.stringify({ time: new Date(START + after).toISOString(), level: 'info', process, event, ...facts })
}

/** A line of an event or with a field that this version of the catalogue need not know. */
function line (after: number, event: string, facts: LoggedLine['facts'] = {}, process = 'a'): LoggedLine {
  return { time: START + after, process, event: event as LoggedLine['event'], facts }
}

function upstream (after: number, name: string, service = 'engines'): LoggedLine {
  return line(after, 'upstream-new', { upstream: name, service, address: 'x', failureDomain: 'z', reclaimable: true, source: 'watch' })
}

/** Lines of a request that is dispatched once and answered. */
function served (request: string, sent: number, ended: number, facts: LoggedLine['facts'], process = 'a'): LoggedLine[] {
  return [
    line(sent, 'request-sent', { request, upstream: facts.upstream ?? 'i-1', send: 1, reading: 0, waiting: 0, candidates: 2 }, process),
    line(ended, 'request-served', { request, route: 'plans', organisation: 'o-1', upstream: 'i-1', attempts: 1, unrun: 0, events: 1, firstAfter: 10, after: ended - sent, late: false, ...facts }, process)
  ]
}

function refused (request: string, at: number, code: string, facts: LoggedLine['facts'] = {}, process = 'a'): LoggedLine {
  return line(at, 'request-failed', { request, route: 'plans', organisation: 'o-1', code, verdict: 'not-run', reason: 'x', after: 1, ...facts }, process)
}

function load (lines: readonly (LoggedLine | undefined)[], step = 1_000): LoadSummary {
  const day = createDayLoad(step)
  for (const each of lines) day.add(each)
  return day.summary()
}

function counts (expected: Partial<LoadCounts>): LoadCounts {
  return { requests: 0, inTime: 0, late: 0, refused: {}, failed: {}, left: 0, ...expected }
}

function withoutUpstreamFields ({ requests, inTime, late, refused, failed, left }: LoadCounts): LoadCounts {
  return { requests, inTime, late, refused, failed, left }
}

/** Sum of the counts of a group. */
function sumOfGroup (group: Readonly<Record<string, LoadCounts>>): object {
  const sums = { requests: 0, inTime: 0, late: 0, left: 0, refused: new Map<string, number>(), failed: new Map<string, number>() }
  for (const each of Object.values(group)) {
    for (const name of ['requests', 'inTime', 'late', 'left'] as const) sums[name] += each[name]
    for (const name of ['refused', 'failed'] as const) {
      for (const [code, count] of Object.entries(each[name])) sums[name].set(code, (sums[name].get(code) ?? 0) + count)
    }
  }
  return { ...sums, refused: Object.fromEntries([...sums.refused].sort()), failed: Object.fromEntries([...sums.failed].sort()) }
}

describe('the load of a day', () => {
  const lines = [
    upstream(0, 'i-1'), upstream(0, 'i-2'), upstream(0, 'p-1', 'lookup'),
    ...served('r1', 100, 600, { promptTokens: 400 }),
    ...served('r2', 100, 900, { promptTokens: 8_000, late: true, firstAfter: 700, upstream: 'i-2' }),
    refused('r3', 300, 'organisation-limit', { organisation: 'o-2', promptTokens: 400 }),
    line(300, 'quota-refused', { request: 'r3', organisation: 'o-2', cost: 500, rate: 100, offered: 300, retryAfter: 200, nodes: 2, cause: 'window' }),
    ...served('r4', 1_000, 3_000, { promptTokens: 400 }),
    line(1_100, 'request-sent', { request: 'r5', upstream: 'p-1', send: 1, reading: 0, waiting: 0, candidates: 1 }),
    line(1_200, 'attempt-broken', { request: 'r5', upstream: 'p-1', events: 0, attempts: 1, after: 100, reason: 'reset' }),
    line(1_201, 'request-failed', { request: 'r5', route: 'bookings', organisation: 'o-1', code: 'connection-lost', verdict: 'may-have-run', reason: 'reset', after: 101 }),
    refused('r6', 1_500, 'cancelled'),
    line(1_600, 'request-queued', { request: 'r7', route: 'plans', rank: 0, waiting: 3 })
  ]
  const summary = load(lines)
  const [first, second, third, fourth] = summary.parts

  it('counts by class, organisation, size and upstream in each span', () => {
    assert.deepEqual(summary.parts.map(({ from }) => from - START), [0, 1_000, 2_000, 3_000])
    assert.deepEqual(first?.classes, { plans: counts({ requests: 3, inTime: 1, late: 1, refused: { 'organisation-limit': 1 } }) })
    assert.deepEqual(first?.organisations, { 'o-1': counts({ requests: 2, inTime: 1, late: 1 }), 'o-2': counts({ requests: 1, refused: { 'organisation-limit': 1 } }) })
    assert.deepEqual(first?.sizes, { 'smallest-half': counts({ requests: 2, inTime: 1, refused: { 'organisation-limit': 1 } }), 'next-four-tenths': counts({ requests: 1, late: 1 }) })
    assert.deepEqual(Object.entries(first!.upstreams).map(([name, { requests, late }]) => [name, requests, late]), [['i-1', 1, 0], ['i-2', 1, 1], ['none', 1, 0], ['p-1', 0, 0]])
    assert.deepEqual(second?.classes, { bookings: counts({ requests: 1, failed: { 'connection-lost': 1 } }), plans: counts({ requests: 1, left: 1 }) })
    assert.equal(second?.upstreams['p-1']?.attemptsBroken, 1)
    assert.deepEqual(third?.classes, {})
    assert.deepEqual(fourth?.classes, { plans: counts({ requests: 1, inTime: 1 }) })
    assert.deepEqual(summary.total.classes.plans, counts({ requests: 5, inTime: 2, late: 1, left: 1, refused: { 'organisation-limit': 1 } }))
  })

  it('takes the mean of requests in flight over each span, and compares upstreams of one service only', () => {
    assert.deepEqual(first?.inFlight, { engines: { upstreams: 2, minimum: 0.5, median: 0.65, maximum: 0.8 }, lookup: { upstreams: 1, minimum: 0, median: 0, maximum: 0 } })
    assert.deepEqual([second?.inFlight.engines?.maximum, second?.inFlight.lookup?.maximum], [1, 0.1])
    assert.equal(third?.upstreams['i-1']?.inFlight, 1, 'in a span in which no request began or ended')
  })

  it('takes the time to the first answer from the dispatch', () => {
    const near = (value: number | undefined, expected: number): void => assert.ok(Math.abs(value! / expected - 1) <= 0.025, `${value} for ${expected}`)
    near(first?.upstreams['i-2']?.firstAnswer?.median, 700)
    near(summary.total.upstreams['i-1']?.firstAnswer?.quantile90, 10)
    assert.equal(first?.upstreams['p-1']?.firstAnswer, undefined)
    // It waited at the node for 5 of its 6 seconds, which says nothing about the upstream.
    const waited = load([line(5_000, 'request-sent', { request: 'r', upstream: 'i-1' }), line(6_200, 'request-served', { request: 'r', route: 'plans', upstream: 'i-1', firstAfter: 6_000, after: 6_200, late: true })])
    near(waited.total.upstreams['i-1']?.firstAnswer?.median, 1_000)
  })

  it('counts refusals by quotas by cause, and requests that wait by class', () => {
    assert.deepEqual([first?.quotaRefused, second?.quotaRefused, second?.queued], [{ 'o-2': { window: 1 } }, {}, { plans: 1 }])
  })

  // Failure guarded against: a request that failed at its first upstream and was answered by the second counts at both, or
  // the first is shown as busy with it to the end.
  it('counts a repeated request at its last upstream, and each attempt at its own', () => {
    const { total } = load([
      upstream(0, 'i-1'), upstream(0, 'i-2'),
      line(0, 'request-sent', { request: 'r', upstream: 'i-1' }),
      line(200, 'send-not-run', { request: 'r', upstream: 'i-1', reason: 'full' }),
      line(200, 'request-sent', { request: 'r', upstream: 'i-2' }),
      line(1_000, 'request-served', { request: 'r', route: 'plans', upstream: 'i-2', firstAfter: 300, after: 1_000, late: false })
    ])
    assert.deepEqual([total.upstreams['i-1']?.requests, total.upstreams['i-1']?.attemptsNotRun, total.upstreams['i-2']?.requests], [0, 1, 1])
    // The whole day is two spans: the answer came at the first millisecond of the second.
    assert.deepEqual([total.upstreams['i-1']?.inFlight, total.upstreams['i-2']?.inFlight], [0.1, 0.4])
  })

  it('follows a run that is moved to another upstream', () => {
    const { parts } = load([
      upstream(0, 'i-1'), upstream(0, 'i-2'),
      line(0, 'request-sent', { request: 'r', upstream: 'i-1' }),
      line(300, 'run-moved', { request: 'r', upstream: 'i-1', target: 'i-2', outcome: 'moved', took: 20 }),
      line(900, 'request-served', { request: 'r', route: 'plans', upstream: 'i-2', firstAfter: 100, after: 900, late: false })
    ])
    assert.deepEqual([parts[0]?.upstreams['i-1']?.inFlight, parts[0]?.upstreams['i-2']?.inFlight], [0.3, 0.6])
    assert.equal(parts[0]?.upstreams['i-2']?.firstAnswer, undefined, 'the answer began before the move')
  })

  // Failure guarded against: a fleet that shrinks shows a minimum of 0 in flight, as if an upstream were idle.
  it('leaves out upstreams that are gone or not there yet', () => {
    const { parts } = load([upstream(0, 'i-1'), upstream(0, 'i-2'), ...served('r1', 0, 500, {}), line(1_000, 'upstream-gone', { upstream: 'i-2', source: 'watch' }), upstream(1_900, 'i-3'), ...served('r2', 1_000, 2_000, {})])
    assert.deepEqual(parts.map(({ inFlight }) => inFlight.engines?.upstreams), [2, 1, 2])
  })

  // Failure guarded against: an upstream answers with errors, and counts as the best one since it does so at once.
  it('counts an error of an upstream as failed', () => {
    const { classes, upstreams } = load(served('r', 0, 5, { failed: true })).total
    assert.deepEqual(classes.plans, counts({ requests: 1, failed: { 'upstream-failed': 1 } }))
    assert.equal(upstreams['i-1']?.firstAnswer, undefined)
  })

  // Failure guarded against: the lines of nodes are added up node by node, and the result depends on the order of the files.
  it('is the same for any order of the nodes\' files', () => {
    const others = lines.map((each) => ({ ...each, process: 'b' }))
    const oneByOne = load([...lines, ...others])
    assert.deepEqual(load([...others, ...lines]), oneByOne)
    assert.deepEqual(load(lines.flatMap((each, index) => [each, others[index]])), oneByOne)
  })
})

describe('the load of a day from incomplete lines', () => {
  // Failure guarded against: a line cut off by a kill, or a line of another program, ends the command.
  it('counts lines that cannot be parsed', () => {
    const texts = [text(0, 'request-served', { request: 'r', route: 'plans', upstream: 'i-1', firstAfter: 1, after: 1, late: false }), '{"time":"2026-01-01T00:', 'Killed', text(0, 'of-a-newer-node')]
    const { source, total } = load(texts.map(readLine))
    assert.deepEqual([source.lines, source.unreadable, source.requests, total.classes.plans?.inTime], [4, 3, 1, 1])
  })

  // Failure guarded against: during a roll-out of the gateway itself, answers of the older nodes all count as in time.
  it('tells lateness and size of older lines from answer-late', () => {
    const old = { route: 'plans', organisation: 'o-1', upstream: 'i-1', attempts: 1, unrun: 0, events: 1 }
    const { source, total } = load([
      line(0, 'answer-late', { request: 'r1', route: 'plans', upstream: 'i-1', failureDomain: 'z', target: 500, waited: 500, sends: 1, promptTokens: 900, loads: '' }),
      // After 500.3 ms; lines state whole milliseconds.
      line(100, 'request-served', { ...old, request: 'r1', firstAfter: 500, after: 700 }),
      // Its line of the late answer was left out; the target is known from the other one.
      line(200, 'request-served', { ...old, request: 'r2', firstAfter: 501, after: 700 }),
      line(300, 'request-served', { ...old, request: 'r3', firstAfter: 500, after: 700 }),
      line(400, 'request-failed', { request: 'r4', route: 'plans', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 1 }),
      line(400, 'quota-refused', { request: 'r4', organisation: 'o-1', cost: 1, rate: 1, offered: 1, retryAfter: 1, nodes: 1 })
    ])
    assert.deepEqual(total.classes.plans, counts({ requests: 4, inTime: 1, late: 2, refused: { 'no-upstream': 1 } }))
    assert.deepEqual(Object.entries(total.sizes).map(([size, { requests }]) => [size, requests]), [['next-four-tenths', 1], ['unknown', 3]])
    assert.deepEqual([source.withoutLate, total.quotaRefused], [3, { 'o-1': { unknown: 1 } }])
  })

  it('tells how much is missing', () => {
    const { source } = load([
      line(0, 'request-sent', { request: 'r1', upstream: 'i-1' }),
      ...served('r2', 0, 10, {}),
      line(20, 'lines-left-out', { level: 'warn', 'request-served': 7, 'request-sent': 2 }),
      line(30, 'lines-left-out', { 'request-served': 3 }, 'b'),
      line(40, 'requests-summed', { served: 9, late: 2, refused: 1, lost: 0, left: 0, span: 2_000 })
    ])
    assert.deepEqual(source, { processes: ['a', 'b'], lines: 6, unreadable: 0, leftOut: { 'request-served': 10, 'request-sent': 2 }, requests: 1, requestsSummed: 12, withoutLate: 0, unendedAttempts: 1 })
  })

  // Failure guarded against: the line of a dispatch was left out under load, and its upstream is shown as idle.
  it('takes an attempt without a line of its dispatch from the arrival', () => {
    const { parts } = load([upstream(0, 'i-1'), line(900, 'request-served', { request: 'r', route: 'plans', upstream: 'i-1', firstAfter: 100, after: 500, late: false })])
    assert.equal(parts[0]?.upstreams['i-1']?.inFlight, 0.5)
  })

  // Failure guarded against: the id of a request comes again after its line of the end was left out, or a clock jumps, and
  // an upstream is shown as busy for an hour.
  it('does not take as in flight what no request lasts', () => {
    const { parts, source } = load([upstream(0, 'i-1'), ...served('r', 0, 3_600_000, {}), ...served('s', 5_000, 4_000, {})])
    assert.ok(parts.every((part) => (part.upstreams['i-1']?.inFlight ?? 0) === 0))
    assert.equal(source.unendedAttempts, 2)
  })

  // Failure guarded against: a log of a whole day at one second has 86,400 spans, which do not fit into memory.
  it('has a bounded number of spans, and loses nothing when they become longer', () => {
    const seconds = Array.from({ length: 5_000 }, (_, index) => index)
    const { parts, step, total } = load(seconds.flatMap((second) => served(`r${second}`, second * 1_000, second * 1_000 + 500, { promptTokens: 100 })))
    assert.equal(step, 16_000)
    assert.ok(parts.length <= 500, `${parts.length}`)
    assert.equal(total.classes.plans?.inTime, 5_000)
    assert.equal(parts.reduce((sum, part) => sum + (part.classes.plans?.inTime ?? 0), 0), 5_000)
    assert.ok(Math.abs(total.upstreams['i-1']!.inFlight! - 0.5) < 0.01)
  })
})

describe('the sums of the load', () => {
  const name = (prefix: string, count: number): fc.Arbitrary<string> => fc.nat(count).map((index) => `${prefix}-${index}`)
  const request = fc.record({
    at: fc.nat(20_000),
    took: fc.nat(3_000),
    process: name('front', 3),
    route: fc.option(name('route', 2), { nil: undefined }),
    organisation: fc.option(name('o', 4), { nil: undefined }),
    upstream: name('i', 3),
    promptTokens: fc.option(fc.nat(40_000), { nil: undefined }),
    sent: fc.boolean(),
    end: fc.constantFrom('inTime', 'late', 'older', 'error', 'organisation-limit', 'no-upstream', 'connection-lost', 'timeout', 'cancelled')
  })
  type Request = typeof request extends fc.Arbitrary<infer Value> ? Value : never

  function linesOf ({ at, took, process, sent, end, upstream, ...rest }: Request, index: number): LoggedLine[] {
    const facts = Object.fromEntries(Object.entries({ ...rest, request: `r${index}`, after: took }).filter(([, value]) => value !== undefined)) as LoggedLine['facts']
    const isAnswer = ['inTime', 'late', 'older', 'error'].includes(end)
    const ending: LoggedLine['facts'] = isAnswer
      ? { ...facts, upstream, firstAfter: Math.floor(took / 2), ...(end === 'older' ? {} : { late: end === 'late' }), ...(end === 'error' ? { failed: true } : {}) }
      : { ...facts, code: end, verdict: end === 'connection-lost' || (end === 'timeout' && sent) ? 'may-have-run' : 'not-run' }
    return [
      ...(sent ? [line(at, 'request-sent', { request: `r${index}`, upstream }, process)] : []),
      line(at + took, isAnswer ? 'request-served' : 'request-failed', ending, process)
    ]
  }

  function assertAgreement (part: LoadPart): void {
    const classes = sumOfGroup(part.classes)
    assert.deepEqual(sumOfGroup(part.organisations), classes)
    assert.deepEqual(sumOfGroup(part.sizes), classes)
    assert.deepEqual(sumOfGroup(part.upstreams), classes)
  }

  // Failure guarded against: a request without a key, size or upstream is missing in one of the tables, and an operator who
  // compares them looks for a cause that does not exist.
  it('agree between classes, organisations, sizes and upstreams, in each span and over all spans', () => {
    fc.assert(fc.property(fc.array(request, { maxLength: 80, size: 'max' }), fc.integer({ min: 1, max: 5_000 }), (requests, step) => {
      const { total, parts, source } = load(requests.flatMap(linesOf), step)
      for (const part of [total, ...parts]) assertAgreement(part)
      for (const group of ['classes', 'organisations', 'sizes', 'upstreams'] as const) {
        const names = [...new Set(parts.flatMap((part) => Object.keys(part[group])))]
        for (const each of names) {
          const inParts = parts.flatMap((part) => (part[group] as Record<string, LoadCounts>)[each] ?? [])
          assert.deepEqual(sumOfGroup({ [each]: withoutUpstreamFields((total[group] as Record<string, LoadCounts>)[each]!) }), sumOfGroup(inParts as never), `${group} ${each}`)
        }
      }
      assert.equal(Object.values(total.classes).reduce((sum, { requests: count }) => sum + count, 0), requests.length)
      for (const { requests: count, inTime, late, left, refused, failed } of Object.values(total.classes)) {
        const codes = [...Object.values(refused), ...Object.values(failed)].reduce((sum, each) => sum + each, 0)
        assert.equal(inTime + late + left + codes, count)
      }
      assert.equal(source.requests, requests.length)
    }), { seed: 61 })
  })

  it('divide the prompts of each class by their rank', () => {
    fc.assert(fc.property(fc.uniqueArray(fc.integer({ min: 0, max: 60 }), { minLength: 10, maxLength: 50 }), (exponents) => {
      // Each prompt is a quarter larger than the next smaller one, so that no two share a bucket.
      const { sizes } = load(exponents.flatMap((exponent, index) => served(`r${index}`, 0, 10, { promptTokens: Math.ceil(10 * 1.25 ** exponent) }))).total
      const [small, middle, large] = (['smallest-half', 'next-four-tenths', 'largest-tenth'] as const).map((size) => sizes[size]?.requests ?? 0)
      assert.ok(Math.abs(small! - exponents.length * 0.5) <= 1 && Math.abs(middle! - exponents.length * 0.4) <= 1 && Math.abs(large! - exponents.length * 0.1) <= 1, `${small} ${middle} ${large}`)
    }), { seed: 62 })
  })
})
