/** Backpressure of upstreams against real nodes, through the platform adapter and the stand-ins. */
import assert from 'node:assert/strict'
import { after, before, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const NODE_COUNT = 9

/** Time until all nodes respect a newly announced limit. */
const LIMIT_PROPAGATION_TIME: Milliseconds = 3 * SECOND
const WINDOW: Milliseconds = 4 * SECOND

/** Maximum number of requests that an upstream with a limit may receive in a window. */
const maxRequestsAt = (rateLimit: number): number => 1.5 * rateLimit * WINDOW / SECOND + 5

/** Time after which an upstream that announced its departure receives no new requests. */
const DEPARTURE_PROPAGATION_TIME: Milliseconds = 2 * SECOND

/** Pause between two requests of the single caller of each node. */
const CALL_INTERVAL: Milliseconds = 50

const configuration = {
  version: 1,
  routes: [{ name: 'lookup', host: HOST, prefix: '/lookup/', kind: 'idempotent', timeoutMs: 3_000, targetLatencyMs: 1_000, service: 'plain', maxAttempts: 2 }],
  services: [{ name: 'plain', maxConns: 500 }]
}

let lastId = 0

async function ask (node: GatewayNode): Promise<{ readonly status: number, readonly retryAfter: number }> {
  lastId += 1
  const { statusCode, headers, body } = await request(`http://${node.addresses.front}/lookup/x`, { headers: { host: HOST, 'x-hornbeamgap-request-id': `r${lastId}`, 'x-hornbeamgap-deadline-ms': '2000' } })
  await body.dump()
  return { status: statusCode, retryAfter: Number(headers['retry-after'] ?? Number.NaN) }
}

async function until (condition: () => Promise<boolean> | boolean): Promise<void> {
  while (!(await condition())) await clock.sleep(20)
}

describe(`an upstream behind ${NODE_COUNT} nodes`, () => {
  let deployment: MachineDeployment
  let nodes: GatewayNode[]
  let upstreams: UpstreamStandIn[]
  let arrivals: Milliseconds[]
  let traffic: AbortController
  let callers: Promise<void>[]

  before(async () => {
    deployment = await createMachineDeployment(clock)
    upstreams = await Promise.all(['p-1', 'p-2', 'p-3'].map((id) => serveUpstream({ id, clock })))
    deployment.configure(configuration)
    for (const upstream of upstreams) deployment.register(upstream)
    nodes = await Promise.all(Array.from({ length: NODE_COUNT }, (_, index) => deployment.startNode(`node-${index}`)))
    traffic = new AbortController()
    callers = nodes.map(call)
    await until(() => upstreams.every(({ runs }) => runs.length > NODE_COUNT))
  })

  beforeEach(() => { arrivals = [] })

  after(async () => {
    traffic?.abort()
    await Promise.all(callers ?? [])
    await deployment?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  async function call (node: GatewayNode): Promise<void> {
    while (!traffic.signal.aborted) {
      await ask(node)
      await clock.sleep(CALL_INTERVAL)
    }
  }

  function limitEventsOf (node: string): readonly Record<string, unknown>[] {
    return deployment.lines.filter((line) => line.process === node && line.event === 'upstream-limit')
  }

  function watchArrivals (upstream: UpstreamStandIn): void {
    arrivals = []
    upstream.setBehaviour(() => {
      arrivals.push(clock.now())
      return 'answer'
    })
  }

  /** Returns the maximum number of arrivals in any window. */
  function maxArrivalsInWindow (): number {
    return Math.max(0, ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + WINDOW).length))
  }

  // Guards against nodes that ignore an announced limit: the answers of an upstream name a limit of one request a
  // second, while its record is still ready. Nodes that choose upstreams by records and failures alone relay these
  // answers and keep sending: 19 requests arrived within 4 s where 11 are allowed, and no log line named the limit.
  it('receives requests from all nodes together up to its announced limit, but no more', async () => {
    const [limited] = upstreams
    limited!.setHeaders({ 'server-limit': '1' })
    await clock.sleep(LIMIT_PROPAGATION_TIME)
    watchArrivals(limited!)
    await clock.sleep(2 * WINDOW)
    assert.ok(maxArrivalsInWindow() <= maxRequestsAt(1), `${maxArrivalsInWindow()} requests in ${WINDOW} ms`)
    assert.ok(arrivals.length > 0, 'the upstream still receives requests')
  })

  it('receives its full share again once its answers announce no limit', async () => {
    const [limited, other] = upstreams
    limited!.setHeaders({})
    await until(() => nodes.every((_node, index) => limitEventsOf(`node-${index}`).at(-1)?.rate === undefined))
    watchArrivals(limited!)
    const before = other!.runs.length
    await until(() => other!.runs.length >= before + 10 * NODE_COUNT)
    assert.ok(arrivals.length > NODE_COUNT, `${arrivals.length} requests, and another upstream received ${10 * NODE_COUNT} of another`)
  })

  // Guards against callers that wait in vain or retry too early: every upstream of the service takes two requests a
  // second, and more than a hundred are requested.
  it('causes requests beyond the limits of all upstreams to be refused at once with a retry time', async () => {
    for (const upstream of upstreams) upstream.setHeaders({ 'server-limit': '2' })
    await until(() => nodes.every((_node, index) => new Set(limitEventsOf(`node-${index}`).filter(({ rate }) => rate === 2).map(({ upstream }) => upstream)).size === upstreams.length))
    const answers = (await Promise.all(Array.from({ length: 8 }, () => Promise.all(nodes.map(ask))))).flat()
    const refused = answers.filter(({ status }) => status === 503)
    assert.ok(refused.length >= answers.length / 2, `${refused.length} of ${answers.length} refused`)
    assert.ok(refused.every(({ retryAfter }) => retryAfter >= 0.3 && retryAfter <= 3), 'six nodes share the limits, which allows each one request in three seconds')
    for (const upstream of upstreams) upstream.setHeaders({})
    await until(async () => (await Promise.all(nodes.map(ask))).every(({ status }) => status === 200))
  })

  // Guards against requests to a departing upstream whose record still says ready, because the store is unreachable and
  // cannot take its notice. Only its answers announce the departure. A node that ignored them still sent two requests
  // more than 3 s after such an answer.
  it('receives no new requests once its answers announce its departure, even if its record does not', async () => {
    const [leaving, other] = upstreams
    leaving!.setHeaders({ 'server-leaving': '1' })
    const runsBefore = leaving!.runs.length
    await until(() => leaving!.runs.length > runsBefore)
    await clock.sleep(DEPARTURE_PROPAGATION_TIME)
    watchArrivals(leaving!)
    // The heartbeats continue, and so do answers that had already begun.
    leaving!.setHeaders({})
    deployment.register(leaving!, { sequence: 2 })
    const before = other!.runs.length
    await until(() => other!.runs.length >= before + 20 * NODE_COUNT)
    assert.equal(arrivals.length, 0, `${arrivals.length} requests after the announced departure`)
  })
})

describe('an upstream behind one node', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let upstreams: UpstreamStandIn[]

  before(async () => {
    deployment = await createMachineDeployment(clock)
    upstreams = await Promise.all(['p-1', 'p-2'].map((id) => serveUpstream({ id, clock })))
    deployment.configure(configuration)
    for (const upstream of upstreams) deployment.register(upstream)
    node = await deployment.startNode('node-1')
    await until(async () => (await ask(node)).status === 200)
  })

  after(async () => {
    await deployment?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  const askMany = (count: number): Promise<{ readonly status: number, readonly retryAfter: number }[]> => Promise.all(Array.from({ length: count }, () => ask(node)))

  // Guards against treating each refusal as a full queue: an upstream asks for a pause of 30 s, the node tries it again
  // after 50 ms, and requests are refused once the retry budget is used up ('send-not-run' with reason 'full', then
  // 'repeat-refused').
  it('receives no requests during the pause that it asked for with a refusal', async () => {
    const [pausing] = upstreams
    let arrivals = 0
    pausing!.setHeaders({ 'retry-after': '30' })
    pausing!.setBehaviour(() => {
      arrivals += 1
      return 'full'
    })
    await until(async () => {
      await askMany(6)
      return arrivals > 0
    })
    await clock.sleep(SECOND / 2)
    arrivals = 0
    for (let round = 0; round < 10; round += 1) {
      await clock.sleep(CALL_INTERVAL)
      assert.ok((await askMany(12)).every(({ status }) => status === 200))
    }
    assert.equal(arrivals, 0, `${arrivals} requests during the pause`)
  })

  it('determines the retry time of the caller if no other upstream is available', async () => {
    const [, other] = upstreams
    other!.setHeaders({ 'retry-after': '10' })
    other!.setBehaviour(() => 'full')
    await ask(node)
    const { status, retryAfter } = await ask(node)
    assert.equal(status, 503)
    assert.ok(retryAfter > 1 && retryAfter <= 10, `${retryAfter} s`)
  })
})
