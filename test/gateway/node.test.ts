/** Gateway nodes with the platform adapter, in front of stand-ins for upstreams and the platform's services. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { after, before, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { createSystemClock, SECOND } from '../../src/clock.js'
import { EVENTS } from '../../src/events/index.js'
import type { EventName } from '../../src/events/index.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { Behaviour, UpstreamStandIn, UpstreamStandInOptions } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'

const route = (name: string, kind: string, more: object = {}): object => ({
  name, host: HOST, prefix: `/${name}/`, kind, timeoutMs: 3_000, targetLatencyMs: 1_000, service: 'plain', maxAttempts: 2, ...more
})

const configuration = (version: number, more: object = {}): object => ({
  version,
  routes: [
    route('booking', 'non_idempotent'),
    route('lookup', 'idempotent'),
    route('question', 'streaming', { service: 'model', resumable: true }),
    route('plan', 'streaming', { service: 'model', maxAttempts: 1 }),
    route('draft', 'streaming', { service: 'model' }),
    route('open', 'idempotent', { anonymous: true }),
    route('short', 'non_idempotent', { timeoutMs: 300 })
  ],
  services: [{ name: 'plain', maxConns: 100 }, { name: 'model', maxConns: 100, engine: { slots: 8, kvCapacityTokens: 100_000, moves: true } }],
  limits: { maxBodyBytes: 1_000, maxHeaderBytes: 4_000 },
  tenants: [{ name: 'tejo', apiKeys: ['key-1'], unit: 'tokens', plainTokens: 10 }],
  ...more
})

interface Answer {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: string
}

describe('a gateway node', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let plain: UpstreamStandIn[]
  let models: UpstreamStandIn[]
  let ids = 0
  let reclaims = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    plain = await Promise.all(['p-1', 'p-2'].map((id) => serveUpstream({ id, clock })))
    models = await Promise.all(['m-1', 'm-2'].map((id) => serveUpstream({ id, clock, events: 6 })))
    node = await deployment.startNode('node-1')
    assert.equal((await ask('lookup')).status, 503, 'no configuration is known yet')
    deployment.configure(configuration(1))
    for (const upstream of plain) deployment.register(upstream)
    for (const upstream of models) deployment.register(upstream, { service: 'model' })
    await until(async () => (await ask('lookup')).status === 200 && (await ask('plan', { tokens: true })).status === 200)
  })

  beforeEach(async () => {
    behave(models, 'answer')
    behave(plain, 'answer')
    // Waits until no upstream is paused any more because of the failures of a previous test.
    await until(async () => (await Promise.all([1, 2, 3, 4].map(() => ask('lookup')))).every(({ status }) => status === 200))
  })

  after(async () => {
    await deployment?.close()
    await Promise.all([...plain ?? [], ...models ?? []].map((upstream) => upstream.close()))
  })

  async function ask (name: string, options: { method?: string, headers?: Record<string, string>, body?: string, tokens?: boolean, id?: string } = {}): Promise<Answer> {
    ids += 1
    const response = await request(`http://${node.addresses.front}/${name}/x?y=1`, {
      method: (options.method ?? 'POST') as 'POST',
      headers: {
        host: HOST,
        'x-hornbeamgap-request-id': options.id ?? `r${ids}`,
        'x-hornbeamgap-deadline-ms': '2000',
        'api-key': 'key-1',
        ...(options.tokens ? { 'x-hornbeamgap-token-usage': '100,50', 'x-hornbeamgap-prompt-prefix': 'aa:60,bb:40' } : {}),
        ...options.headers
      },
      body: options.body ?? ''
    })
    return { status: response.statusCode, headers: response.headers, body: await response.body.text().catch(() => 'broken off') }
  }

  /** Sets the behaviour of these upstreams for the next requests, in order. The last entry applies to all further requests. */
  function behave (upstreams: readonly UpstreamStandIn[], ...behaviours: Behaviour[]): void {
    for (const upstream of upstreams) upstream.setBehaviour(() => behaviours.length > 1 ? behaviours.shift()! : behaviours[0]!)
  }

  async function until (condition: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await condition())) await clock.sleep(10)
  }

  function logged (event: string, upstream: string): boolean {
    return deployment.lines.some((line) => line.event === event && line.upstream === upstream)
  }

  function runsOf (id: string): number {
    return [...plain, ...models].reduce((sum, upstream) => sum + upstream.runs.filter((run) => run.id === id).length, 0)
  }

  it('forwards method, path and body, sets its own headers and does not forward the API key', async () => {
    const answer = await ask('booking', { id: 'whole', method: 'PUT', body: 'a booking', headers: { 'x-hornbeamgap-tenant': 'forged', 'x-hornbeamgap-kv-hold': '1', 'kv-from': '1.2.3.4:5/6', 'x-other': '2' } })
    assert.equal(answer.status, 200)
    const upstream = plain.find((one) => one.runs.some((run) => run.id === 'whole'))!
    const run = upstream.runs.find((one) => one.id === 'whole')!
    assert.deepEqual([run.method, run.path, run.body], ['PUT', '/booking/x?y=1', 'a booking'])
    assert.equal(run.headers['x-hornbeamgap-tenant'], 'tejo')
    assert.equal(run.headers['x-hornbeamgap-expect-instance'], upstream.id)
    assert.equal(run.headers['x-other'], '2')
    for (const name of ['api-key', 'x-hornbeamgap-kv-hold', 'kv-from']) assert.equal(run.headers[name], undefined, name)
    assert.ok(Number(run.headers['x-hornbeamgap-deadline-ms']) <= 2_000)
    assert.equal(answer.headers['x-hornbeamgap-server-stamp'], upstream.id)
    assert.equal(answer.body, `answer of ${upstream.id}`)
  })

  // Guards against work for callers whose time ended while a busy node had not read what they sent.
  it('refuses a request that it reads after its time, as not run', async () => {
    const [host, port] = node.addresses.front.split(':')
    const caller = connect(Number(port), host)
    await once(caller, 'connect')
    await clock.sleep(SECOND / 10)
    caller.write(`POST /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\napi-key: key-1\r\nx-hornbeamgap-request-id: read-late\r\nx-hornbeamgap-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n`)
    const blockedUntil = clock.now() + SECOND / 2
    while (clock.now() < blockedUntil);
    const [answer] = await once(caller, 'data') as [Buffer]
    caller.destroy()
    assert.match(answer.toString(), /^HTTP\/1\.1 503 /)
    assert.match(answer.toString(), /"verdict":"not-run"/)
    assert.equal(runsOf('read-late'), 0)
  })

  it('answers requests that it does not forward with the matching status code', async () => {
    assert.equal((await ask('unknown')).status, 404)
    assert.equal((await ask('lookup', { headers: { 'api-key': 'stranger' } })).status, 401)
    assert.equal((await ask('open', { headers: { 'api-key': 'stranger' } })).status, 200)
    assert.equal((await ask('lookup', { id: '' })).status, 400)
    assert.equal((await ask('booking', { body: 'x'.repeat(1_001) })).status, 413)
    assert.equal((await ask('booking', { headers: { 'x-long': 'x'.repeat(4_000) } })).status, 431)
  })

  // Failure guarded against: an upstream dies while it runs a non-idempotent request, the request is dispatched to another
  // upstream, and it runs twice.
  it('dispatches a non-idempotent request once, unless the upstream states that it has not run the request', async () => {
    behave(plain, 'lose', 'answer')
    assert.equal((await ask('booking', { id: 'lost' })).status, 502)
    assert.equal(runsOf('lost'), 1)
    behave(plain, 'full', 'answer')
    assert.equal((await ask('booking', { id: 'shed' })).status, 200)
    assert.equal(runsOf('shed'), 1)
  })

  it('answers 503 with a retry time to a request that no upstream has run', async () => {
    behave(plain, 'full')
    const refused = await ask('booking', { id: 'refused' })
    assert.equal(refused.status, 503)
    assert.ok(Number(refused.headers['retry-after']) > 0)
    assert.equal(runsOf('refused'), 0)
  })

  it('repeats an idempotent request up to the maximum number of attempts of its route', async () => {
    behave(plain, 'lose')
    assert.equal((await ask('lookup', { id: 'tried' })).status, 502)
    assert.equal(runsOf('tried'), 2)
  })

  it('forwards the failure of the upstream after the last attempt', async () => {
    behave(plain, 'error')
    const answer = await ask('lookup', { id: 'failed' })
    assert.deepEqual([answer.status, answer.body, runsOf('failed')], [500, 'failed', 2])
  })

  // Guards against work for callers that have left: a busy node reads a request and dispatches it before it reads that its caller is gone.
  it('dispatches no request whose caller left while the node was busy', async () => {
    const { hostname, port } = new URL(`http://${node.addresses.front}`)
    const gone = Array.from({ length: 10 }, (_, index) => `gone-${index}`)
    const sockets = await Promise.all(gone.map(async () => {
      const socket = connect(Number(port), hostname)
      await once(socket, 'connect')
      return socket
    }))
    // The answered request shows that the node has accepted the connections before.
    await ask('lookup')
    for (const [index, socket] of sockets.entries()) {
      socket.write(`GET /lookup/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Hornbeamgap-Request-Id: ${gone[index]}\r\nX-Hornbeamgap-Deadline-Ms: 1000\r\nApi-Key: key-1\r\n\r\n`)
      socket.destroySoon()
    }
    await Promise.all(sockets.map((socket) => once(socket, 'close')))
    await until(() => gone.every((id) => deployment.lines.some((line) => line.request === id && (line.event === 'request-failed' || line.event === 'request-served'))))
    assert.deepEqual(gone.filter((id) => runsOf(id) > 0), [])
  })

  // Failure guarded against: an engine dies in the middle of an event, and the caller gets the incomplete event joined to
  // the first event of the next engine.
  it('resumes a resumable stream after its last whole event', async () => {
    behave(models, 'break', 'answer')
    const answer = await ask('question', { id: 'joined', tokens: true })
    const expected = Array.from({ length: 6 }, (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`).join('')
    assert.deepEqual([answer.status, answer.body], [200, expected])
    const resumed = models.flatMap((upstream) => upstream.runs).filter((run) => run.id === 'joined').map((run) => run.headers['last-event-id'])
    assert.deepEqual(resumed.sort(), ['2', undefined])
  })

  it('aborts the answer if an interrupted stream is not resumable, so that it does not look complete', async () => {
    behave(models, 'break', 'answer')
    assert.equal((await ask('plan', { id: 'torn', tokens: true })).body, 'broken off')
    assert.equal(runsOf('torn'), 1)
  })

  // Failure guarded against: the caller gets an incomplete stream since the engine is reclaimed during the run. A run of
  // this route may neither start again nor be resumed from its events alone.
  it('continues a run at another engine from its moved memory when its engine is reclaimed', () => withReclaim(async (leaving, others, plan) => {
    const answer = await plan('evacuated')
    const expected = Array.from({ length: 40 }, (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`).join('')
    assert.deepEqual([answer.status, answer.body], [200, expected])
    const [continued] = others.flatMap(({ runs }) => runs).filter((run) => run.id === 'evacuated')
    assert.equal(continued?.headers['kv-from'], `${leaving.address}/${leaving.moved.get('evacuated')}`)
    assert.ok(Number(continued?.headers['last-event-id']) > 0)
  }))

  // Failure guarded against: the engine that is to continue a run is full and states that it has not run the request. The
  // request is then started from the beginning and runs twice.
  it('does not start a run again when its continuation is refused', () => withReclaim(async (leaving, others, plan) => {
    behave(others, 'full', 'answer')
    assert.equal((await plan('not-taken')).body, 'broken off')
    assert.equal(leaving.moved.has('not-taken'), true)
    assert.deepEqual(others.map(({ runs }) => runs.length), [0, 0])
  }))

  // Failure guarded against: half a plan looks whole. The engine stops its run for a move that then finds no room, and ends its answer, which has
  // no length, as it ends a whole one.
  it('breaks an answer off whose run was stopped for a refused move', () => withReclaim(async (leaving, others, plan) => {
    assert.equal((await plan('stopped')).body, 'broken off')
    assert.equal(leaving.moved.has('stopped'), true)
    assert.deepEqual(others.map(({ runs }) => runs.length), [0, 0])
  }, { unframed: true, movesRefused: true }))

  /** Starts three engines. The first one runs the request and is reclaimed during the run. */
  async function withReclaim (check: (leaving: UpstreamStandIn, others: readonly UpstreamStandIn[], plan: (id: string) => Promise<Answer>) => Promise<void>, options: Partial<UpstreamStandInOptions> = {}): Promise<void> {
    reclaims += 1
    const [leaving, ...others] = await Promise.all(['leaving', 'near', 'far'].map((name) => serveUpstream({ id: `${name}-${reclaims}`, clock, events: 40, pause: 50, ...options })))
    const firstLine = deployment.lines.length
    try {
      for (const upstream of models) deployment.unregister(upstream)
      deployment.register(leaving!, { service: 'model', spot: true })
      await until(() => logged('upstream-new', leaving!.id) && models.every(({ id }) => deployment.lines.slice(firstLine).some((line) => line.event === 'upstream-gone' && line.upstream === id)))
      await check(leaving!, others, async (id) => {
        // The route allows two attempts, but the request must not run twice.
        const asked = ask('draft', { id, tokens: true, headers: { 'x-hornbeamgap-deadline-ms': '9000' } })
        await until(() => leaving!.runs.some((run) => run.id === id))
        for (const other of others) deployment.register(other, { service: 'model' })
        await until(() => others.every((other) => logged('upstream-new', other.id)))
        deployment.register(leaving!, { service: 'model', spot: true, state: 'draining', leaves_ms: 200 })
        return asked
      })
    } finally {
      for (const upstream of [leaving!, ...others]) deployment.unregister(upstream)
      for (const upstream of models) deployment.register(upstream, { service: 'model' })
      await until(async () => (await ask('plan', { tokens: true })).status === 200)
      await Promise.all([leaving!, ...others].map((upstream) => upstream.close()))
    }
  }

  it('tries another upstream when one sends nothing for too long', async () => {
    behave(models, 'hang', 'answer')
    assert.equal((await ask('question', { id: 'silent', tokens: true })).status, 200)
    assert.equal(runsOf('silent'), 2)
  })

  // Guards against refusing requests that are alike for a minute, as crashing upstreams, because their upstreams were silent for a moment.
  it('serves requests that are alike after their upstreams were silent', async () => {
    behave(plain, 'hang')
    await Promise.all([1, 2, 3].map(() => ask('lookup', { body: 'alike' })))
    behave(plain, 'answer')
    await until(async () => (await ask('lookup')).status === 200)
    assert.equal((await ask('lookup', { body: 'alike' })).status, 200)
  })

  it('ends a request and its run at the timeout of its route', async () => {
    behave(plain, 'hang')
    assert.equal((await ask('short', { id: 'late' })).status, 504)
    assert.equal(runsOf('late'), 1)
    await until(() => plain.every((upstream) => upstream.activeRequests() === 0))
  })

  it('ends the run when its caller disconnects', async () => {
    behave(plain, 'hang')
    const leaving = new AbortController()
    const asked = request(`http://${node.addresses.front}/booking/x`, { method: 'POST', headers: { host: HOST, 'x-hornbeamgap-request-id': 'gone', 'api-key': 'key-1' }, signal: leaving.signal })
    await until(() => runsOf('gone') === 1)
    leaving.abort()
    await assert.rejects(asked)
    await until(() => plain.every((upstream) => upstream.activeRequests() === 0))
  })

  it('dispatches nothing to a leaving upstream', async () => {
    deployment.register(plain[0]!, { state: 'draining' })
    await until(() => deployment.lines.some((line) => line.event === 'upstream-leaving' && line.upstream === 'p-1'))
    const before = plain[0]!.runs.length
    for (let count = 0; count < 10; count += 1) assert.equal((await ask('lookup')).status, 200)
    assert.equal(plain[0]!.runs.length, before)
    deployment.unregister(plain[0]!)
    await until(() => deployment.lines.some((line) => line.event === 'upstream-gone' && line.upstream === 'p-1'))
    await plain[0]!.close()
    const replacement = await serveUpstream({ id: 'p-3', clock })
    plain[0] = replacement
    deployment.register(replacement)
    await until(async () => {
      await Promise.all([1, 2, 3, 4].map(() => ask('lookup')))
      return replacement.runs.length > 0
    })
  })

  it('applies a newer configuration version and never an older or invalid one', async () => {
    deployment.configure(configuration(5, { tenants: [{ name: 'tejo', apiKeys: ['key-1', 'key-2'] }] }))
    await until(async () => (await ask('lookup', { headers: { 'api-key': 'key-2' } })).status === 200)
    deployment.configure(configuration(4))
    deployment.configure({ version: 'nonsense' })
    await until(() => deployment.lines.some((line) => line.event === 'configuration-unreadable'))
    assert.equal((await ask('lookup', { headers: { 'api-key': 'key-2' } })).status, 200)
  })

  it('answers with its address, is ready, and exposes documented metrics only', async () => {
    const answer = await request(`http://${node.addresses.directory}/resolve?name=${HOST}&region=region&zone=zone-a`)
    const { addresses, ttlS } = await answer.body.json() as { addresses: string[], ttlS: number }
    assert.ok(addresses.includes(node.addresses.front))
    assert.ok(ttlS > 0 && ttlS <= 5)
    assert.equal((await request(`http://${node.addresses.ready}/ready`)).statusCode, 200)
    const metrics = await (await request(`http://${node.addresses.ready}/metrics`)).body.text()
    assert.match(metrics, /hornbeamgap_requests_total\{route="lookup",organisation="tejo",outcome="served",verdict="ran"\} \d+/)
    const page = readFileSync(new URL('../../docs/OPERATIONS.md', import.meta.url), 'utf8')
    for (const [, name] of metrics.matchAll(/^hornbeamgap_([a-z_]+)/gm)) assert.ok(page.includes(`\`${name!.replace(/_count$/, '')}\``), `${name} is missing in docs/OPERATIONS.md`)
  })

  it('reports the same counts whenever it reports a usage window, under one fencing number', async () => {
    await until(() => deployment.api.reports.length >= 1)
    const seen = new Map<unknown, unknown>()
    for (const { body } of deployment.api.reports) {
      assert.deepEqual(seen.get(body.windowSeq) ?? body.counts, body.counts)
      seen.set(body.windowSeq, body.counts)
    }
    assert.equal(new Set(deployment.api.reports.map((call) => call.fencing)).size, 1)
  })

  it('logs only events of the catalogue, with the fields declared there', async () => {
    await until(() => deployment.lines.some((line) => line.event === 'requests-summed'))
    assertCatalogued(deployment.lines)
    for (const event of ['request-sent', 'request-served', 'request-failed', 'repeat-refused', 'attempt-broken', 'send-not-run', 'shares-dealt']) {
      assert.ok(deployment.lines.some((line) => line.event === event), event)
    }
  })

  // Failure guarded against: a node stops while the store does not answer. The node waits for the store to remove its
  // record until it is killed at the end of its grace period, which cuts off its remaining requests.
  it('stops within its grace period while the store does not answer, and serves requests meanwhile', async () => {
    behave(models, 'answer')
    deployment.store.faultSwitch.faults.silent = true
    const stopped = node.stop()
    assert.equal((await request(`http://${node.addresses.ready}/ready`)).statusCode, 503)
    const answer = await ask('lookup')
    assert.deepEqual([answer.status, answer.headers.connection], [200, 'close'])
    await stopped
    await assert.rejects(ask('lookup'))
    assert.ok(deployment.lines.some((line) => line.event === 'node-stopped'))
    assertCatalogued(deployment.lines)
  })
})

function assertCatalogued (lines: readonly Record<string, unknown>[]): void {
  for (const { time, level, process, event, ...facts } of lines) {
    assert.ok(String(event) in EVENTS, String(event))
    const checked = EVENTS[event as EventName].safeParse(facts)
    assert.ok(checked.success, `${event}: ${JSON.stringify(facts)} ${checked.error?.message}`)
  }
}

describe('gateway nodes that join running nodes', () => {
  let deployment: MachineDeployment

  before(async () => { deployment = await createMachineDeployment(clock) })
  after(() => deployment.close())

  function nodeCounts (name: string): number[] {
    return deployment.lines.filter((line) => line.process === name && line.event === 'shares-dealt').map((line) => Number(line.nodes))
  }

  // Failure guarded against: all nodes are killed and start again. Each one knows only itself at first and uses the whole
  // quota of all nodes, so that an organisation gets several times its quota for half a second.
  it('use no more than a small share of the common limits before they have read the number of nodes', async () => {
    const others = ['node-1', 'node-2', 'node-3', 'node-4']
    await Promise.all(others.map((name) => deployment.startNode(name)))
    while (!others.every((name) => nodeCounts(name).includes(4))) await clock.sleep(10)
    await deployment.startNode('node-5')
    while (!nodeCounts('node-5').includes(5)) await clock.sleep(10)
    assert.ok(nodeCounts('node-5').every((nodes) => nodes >= 4), `limits were divided by ${nodeCounts('node-5').join(', ')} nodes`)
  })
})
