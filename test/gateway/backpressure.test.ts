/** Upstreams that ask for less work in what they answer, in front of real nodes through the adapter and the platform's stand-ins. */
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
const NODES = 9

/** Time until the nodes keep to a limit that was named for the first time, and the window in which it counts from then on. */
const HEARD_AFTER: Milliseconds = 3 * SECOND
const WINDOW: Milliseconds = 4 * SECOND

/** Requests that an upstream with a limit may get in a window. */
const mostOf = (rateLimit: number): number => 1.5 * rateLimit * WINDOW / SECOND + 5

/** Time after which an upstream that says that it leaves gets nothing new. */
const DRAIN: Milliseconds = 2 * SECOND

/** Pause of the one caller of each node between two requests. */
const PAUSE: Milliseconds = 50

const configuration = {
  version: 1,
  routes: [{ name: 'lookup', host: HOST, prefix: '/lookup/', kind: 'idempotent', timeoutMs: 3_000, targetLatencyMs: 1_000, service: 'plain', maxAttempts: 2 }],
  services: [{ name: 'plain', maxConns: 500 }]
}

let ids = 0

async function ask (node: GatewayNode): Promise<{ readonly status: number, readonly retryAfter: number }> {
  ids += 1
  const { statusCode, headers, body } = await request(`http://${node.addresses.front}/lookup/x`, { headers: { host: HOST, 'x-hornbeamgap-request-id': `r${ids}`, 'x-hornbeamgap-deadline-ms': '2000' } })
  await body.dump()
  return { status: statusCode, retryAfter: Number(headers['retry-after'] ?? Number.NaN) }
}

async function until (condition: () => Promise<boolean> | boolean): Promise<void> {
  while (!(await condition())) await clock.sleep(20)
}

describe(`an upstream in front of ${NODES} nodes`, () => {
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
    nodes = await Promise.all(Array.from({ length: NODES }, (_, index) => deployment.startNode(`node-${index}`)))
    traffic = new AbortController()
    callers = nodes.map(call)
    await until(() => upstreams.every(({ runs }) => runs.length > NODES))
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
      await clock.sleep(PAUSE)
    }
  }

  function limitsOf (node: string): readonly Record<string, unknown>[] {
    return deployment.lines.filter((line) => line.process === node && line.event === 'upstream-limit')
  }

  function watchArrivals (upstream: UpstreamStandIn): void {
    arrivals = []
    upstream.behave(() => {
      arrivals.push(clock.now())
      return 'answer'
    })
  }

  /** Most arrivals in a window. */
  function mostArrivals (): number {
    return Math.max(0, ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + WINDOW).length))
  }

  // A user waits behind the queue of a server that had asked for mercy. It names a limit of one request a second in all that
  // it answers and is registered as ready; nine nodes pass its answers on and go on sending, since placement went by the
  // registry and by failures alone. Their lines 'request-sent' to it: 1, 1 and 2 in the seconds before the word, 4, 3, 5, 2, 2
  // and 8 after it; 19 requests arrived in 4 s where 11 are allowed. None failed, and no line told of the limit.
  it('gets no more from all nodes together than the limit that it names, and no less than it can take', async () => {
    const [limited] = upstreams
    limited!.announce({ 'server-limit': '1' })
    await clock.sleep(HEARD_AFTER)
    watchArrivals(limited!)
    await clock.sleep(2 * WINDOW)
    assert.ok(mostArrivals() <= mostOf(1), `${mostArrivals()} requests in ${WINDOW} ms`)
    assert.ok(arrivals.length > 0, 'it serves what it can take')
  })

  it('gets its part of all requests again once its answers name no limit any more', async () => {
    const [limited, other] = upstreams
    limited!.announce({})
    await until(() => nodes.every((_node, index) => limitsOf(`node-${index}`).at(-1)?.rate === undefined))
    watchArrivals(limited!)
    const before = other!.runs.length
    await until(() => other!.runs.length >= before + 10 * NODES)
    assert.ok(arrivals.length > NODES, `${arrivals.length} beside ${10 * NODES} of another`)
  })

  // A user waits for an answer that can't come in time, or is told to come back at once and is refused again: all upstreams
  // of the service take two requests a second, and a hundred and more are asked for.
  it('refuses at once what the limits of all leave over, and says when the next may come', async () => {
    for (const upstream of upstreams) upstream.announce({ 'server-limit': '2' })
    await until(() => nodes.every((_node, index) => new Set(limitsOf(`node-${index}`).filter(({ rate }) => rate === 2).map(({ upstream }) => upstream)).size === upstreams.length))
    const answers = (await Promise.all(Array.from({ length: 8 }, () => Promise.all(nodes.map(ask))))).flat()
    const refused = answers.filter(({ status }) => status === 503)
    assert.ok(refused.length >= answers.length / 2, `${refused.length} of ${answers.length} refused`)
    assert.ok(refused.every(({ retryAfter }) => retryAfter >= 0.3 && retryAfter <= 3), 'six nodes take turns, which is one request of each in three seconds')
    for (const upstream of upstreams) upstream.announce({})
    await until(async () => (await Promise.all(nodes.map(ask))).every(({ status }) => status === 200))
  })

  // A user's request is sent to a server that is about to go. The store is away and can't take the server's notice, so that its
  // record stands as ready; its answers say that it leaves, are passed on, and nobody reads them. Seen with the store silent for
  // 15 s ('store-lost' of all nine nodes, no 'upstream-leaving'): the notice came at 7.5 s, an answer told a node at 9.1 s, and
  // that node sent two more questions at 12.8 s.
  it('gets nothing new once its answers say that it leaves, though its record says otherwise', async () => {
    const [leaving, other] = upstreams
    leaving!.announce({ 'server-leaving': '1' })
    const told = leaving!.runs.length
    await until(() => leaving!.runs.length > told)
    await clock.sleep(DRAIN)
    watchArrivals(leaving!)
    // Its heartbeats go on, and so do answers that were begun before.
    leaving!.announce({})
    deployment.register(leaving!, { sequence: 2 })
    const before = other!.runs.length
    await until(() => other!.runs.length >= before + 20 * NODES)
    assert.equal(arrivals.length, 0, `${arrivals.length} requests after it said that it leaves`)
  })
})

describe('an upstream in front of one node', () => {
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

  // A user's request is sent on and turned away, again and again, until the budget of repeats is used up and it is refused: an
  // upstream says with a refusal that it wants nothing for 30 s, and the node, which takes each refusal for a full queue, asks it
  // again 50 ms later ('send-not-run' with reason 'full', then 'repeat-refused').
  it('gets nothing for the time that it named when it turned a request away', async () => {
    const [pausing] = upstreams
    let arrivals = 0
    pausing!.announce({ 'retry-after': '30' })
    pausing!.behave(() => {
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
      await clock.sleep(PAUSE)
      assert.ok((await askMany(12)).every(({ status }) => status === 200))
    }
    assert.equal(arrivals, 0, `${arrivals} requests while it wanted none`)
  })

  it('is named with its time to the caller where no other is left', async () => {
    const [, other] = upstreams
    other!.announce({ 'retry-after': '10' })
    other!.behave(() => 'full')
    await ask(node)
    const { status, retryAfter } = await ask(node)
    assert.equal(status, 503)
    assert.ok(retryAfter > 1 && retryAfter <= 10, `${retryAfter} s`)
  })
})
