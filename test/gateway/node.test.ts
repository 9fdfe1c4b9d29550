/** Gateway nodes in front of stand-ins that speak the platform's protocol through the adapter. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { after, before, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { createSystemClock } from '../../src/clock.js'
import { EVENTS } from '../../src/events/index.js'
import type { EventName } from '../../src/events/index.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { Behaviour, UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

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
    // Pauses of upstreams that a test before has failed are over, or the answer ends them.
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

  /** What the next requests to any of these upstreams meet; the last entry stands for all that follow. */
  function behave (upstreams: readonly UpstreamStandIn[], ...behaviours: Behaviour[]): void {
    for (const upstream of upstreams) upstream.behave(() => behaviours.length > 1 ? behaviours.shift()! : behaviours[0]!)
  }

  async function until (condition: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await condition())) await clock.sleep(10)
  }

  function told (event: string, upstream: string): boolean {
    return deployment.lines.some((line) => line.event === event && line.upstream === upstream)
  }

  function runsOf (id: string): number {
    return [...plain, ...models].reduce((sum, upstream) => sum + upstream.runs.filter((run) => run.id === id).length, 0)
  }

  it('passes method, path and body on, sets its own headers and keeps the key to itself', async () => {
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

  it('tells what is wrong with a request that goes nowhere', async () => {
    assert.equal((await ask('unknown')).status, 404)
    assert.equal((await ask('lookup', { headers: { 'api-key': 'stranger' } })).status, 401)
    assert.equal((await ask('open', { headers: { 'api-key': 'stranger' } })).status, 200)
    assert.equal((await ask('lookup', { id: '' })).status, 400)
    assert.equal((await ask('booking', { body: 'x'.repeat(1_001) })).status, 413)
    assert.equal((await ask('booking', { headers: { 'x-long': 'x'.repeat(4_000) } })).status, 431)
  })

  // Two vans arrive: a booking's upstream dies while it runs it, and the booking is sent to another one.
  it('sends what may run once to one upstream only, unless that one says that it has not run it', async () => {
    behave(plain, 'lose', 'answer')
    assert.equal((await ask('booking', { id: 'lost' })).status, 502)
    assert.equal(runsOf('lost'), 1)
    behave(plain, 'full', 'answer')
    assert.equal((await ask('booking', { id: 'shed' })).status, 200)
    assert.equal(runsOf('shed'), 1)
  })

  it('promises that a request has not run only when no upstream has it', async () => {
    behave(plain, 'full')
    const refused = await ask('booking', { id: 'refused' })
    assert.equal(refused.status, 503)
    assert.ok(Number(refused.headers['retry-after']) > 0)
    assert.equal(runsOf('refused'), 0)
  })

  it('tries what may be repeated at another upstream, as often as its route allows', async () => {
    behave(plain, 'lose')
    assert.equal((await ask('lookup', { id: 'tried' })).status, 502)
    assert.equal(runsOf('tried'), 2)
  })

  it('passes the upstream\'s own failure on when there is no further attempt', async () => {
    behave(plain, 'error')
    const answer = await ask('lookup', { id: 'failed' })
    assert.deepEqual([answer.status, answer.body, runsOf('failed')], [500, 'failed', 2])
  })

  // Passengers stand at the wrong kerb: an engine dies in the middle of an event, and the caller gets the
  // torn event joined to the next engine's first.
  it('joins a resumable stream after its last whole event', async () => {
    behave(models, 'break', 'answer')
    const answer = await ask('question', { id: 'joined', tokens: true })
    const expected = Array.from({ length: 6 }, (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`).join('')
    assert.deepEqual([answer.status, answer.body], [200, expected])
    const resumed = models.flatMap((upstream) => upstream.runs).filter((run) => run.id === 'joined').map((run) => run.headers['last-event-id'])
    assert.deepEqual(resumed.sort(), ['2', undefined])
  })

  it('breaks a stream off that may not be resumed, so that it does not look complete', async () => {
    behave(models, 'break', 'answer')
    assert.equal((await ask('plan', { id: 'torn', tokens: true })).body, 'broken off')
    assert.equal(runsOf('torn'), 1)
  })

  // A closure plan reaches the depot with half its timetable missing. Its engine was reclaimed while the plan
  // ran, and a plan may neither run again nor be resumed from its events alone.
  it('goes on elsewhere from the run\'s memory when the engine of a plan is reclaimed', () => withReclaim(async (leaving, others, plan) => {
    const answer = await plan('evacuated')
    const expected = Array.from({ length: 40 }, (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`).join('')
    assert.deepEqual([answer.status, answer.body], [200, expected])
    const [continued] = others.flatMap(({ runs }) => runs).filter((run) => run.id === 'evacuated')
    assert.equal(continued?.headers['kv-from'], `${leaving.address}/${leaving.moved.get('evacuated')}`)
    assert.ok(Number(continued?.headers['last-event-id']) > 0)
  }))

  // A plan runs twice: the engine that was to go on with it had no room, said that it had not run it, and the
  // plan was begun anew.
  it('does not run a plan anew when its continuation is not taken', () => withReclaim(async (leaving, others, plan) => {
    behave(others, 'full', 'answer')
    assert.equal((await plan('not-taken')).body, 'broken off')
    assert.equal(leaving.moved.has('not-taken'), true)
    assert.deepEqual(others.map(({ runs }) => runs.length), [0, 0])
  }))

  /** Three engines, of which the first runs a plan and is reclaimed meanwhile. */
  async function withReclaim (check: (leaving: UpstreamStandIn, others: readonly UpstreamStandIn[], plan: (id: string) => Promise<Answer>) => Promise<void>): Promise<void> {
    reclaims += 1
    const [leaving, ...others] = await Promise.all(['leaving', 'near', 'far'].map((name) => serveUpstream({ id: `${name}-${reclaims}`, clock, events: 40, pause: 50 })))
    const gone = deployment.lines.length
    try {
      for (const upstream of models) deployment.unregister(upstream)
      deployment.register(leaving!, { service: 'model', spot: true })
      await until(() => told('upstream-new', leaving!.id) && models.every(({ id }) => deployment.lines.slice(gone).some((line) => line.event === 'upstream-gone' && line.upstream === id)))
      await check(leaving!, others, async (id) => {
        // Its route allows two attempts, which must not become two runs.
        const asked = ask('draft', { id, tokens: true, headers: { 'x-hornbeamgap-deadline-ms': '9000' } })
        await until(() => leaving!.runs.some((run) => run.id === id))
        for (const other of others) deployment.register(other, { service: 'model' })
        await until(() => others.every((other) => told('upstream-new', other.id)))
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

  it('asks another upstream when one has been silent for too long', async () => {
    behave(models, 'hang', 'answer')
    assert.equal((await ask('question', { id: 'silent', tokens: true })).status, 200)
    assert.equal(runsOf('silent'), 2)
  })

  it('ends a request at its route\'s limit, and the run with it', async () => {
    behave(plain, 'hang')
    assert.equal((await ask('short', { id: 'late' })).status, 504)
    assert.equal(runsOf('late'), 1)
    await until(() => plain.every((upstream) => upstream.working() === 0))
  })

  it('ends the run when its caller leaves', async () => {
    behave(plain, 'hang')
    const leaving = new AbortController()
    const asked = request(`http://${node.addresses.front}/booking/x`, { method: 'POST', headers: { host: HOST, 'x-hornbeamgap-request-id': 'gone', 'api-key': 'key-1' }, signal: leaving.signal })
    await until(() => runsOf('gone') === 1)
    leaving.abort()
    await assert.rejects(asked)
    await until(() => plain.every((upstream) => upstream.working() === 0))
  })

  it('sends nothing to an upstream that leaves', async () => {
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

  it('takes a new version over and never goes back', async () => {
    deployment.configure(configuration(5, { tenants: [{ name: 'tejo', apiKeys: ['key-1', 'key-2'] }] }))
    await until(async () => (await ask('lookup', { headers: { 'api-key': 'key-2' } })).status === 200)
    deployment.configure(configuration(4))
    deployment.configure({ version: 'nonsense' })
    await until(() => deployment.lines.some((line) => line.event === 'configuration-unreadable'))
    assert.equal((await ask('lookup', { headers: { 'api-key': 'key-2' } })).status, 200)
  })

  it('names itself to callers and is ready', async () => {
    const answer = await request(`http://${node.addresses.directory}/resolve?name=${HOST}&region=region&zone=zone-a`)
    const { addresses, ttlS } = await answer.body.json() as { addresses: string[], ttlS: number }
    assert.ok(addresses.includes(node.addresses.front))
    assert.ok(ttlS > 0 && ttlS <= 5)
    assert.equal((await request(`http://${node.addresses.ready}/ready`)).statusCode, 200)
    const metrics = await (await request(`http://${node.addresses.ready}/metrics`)).body.text()
    assert.match(metrics, /hornbeamgap_requests_total\{route="lookup",organisation="tejo",outcome="served",verdict="ran"\} \d+/)
    const page = readFileSync(new URL('../../docs/OPERATIONS.md', import.meta.url), 'utf8')
    for (const [, name] of metrics.matchAll(/^hornbeamgap_([a-z_]+)/gm)) assert.ok(page.includes(`\`${name!.replace(/_count$/, '')}\``), `${name} is missing in the operators' page`)
  })

  it('reports each window once, under one fencing number', async () => {
    await until(() => deployment.api.reports.length >= 1)
    const seen = new Map<unknown, unknown>()
    for (const { body } of deployment.api.reports) {
      assert.deepEqual(seen.get(body.windowSeq) ?? body.counts, body.counts)
      seen.set(body.windowSeq, body.counts)
    }
    assert.equal(new Set(deployment.api.reports.map((call) => call.fencing)).size, 1)
  })

  it('writes lines of the catalogue only, with their facts', async () => {
    await until(() => deployment.lines.some((line) => line.event === 'requests-summed'))
    assertCatalogued(deployment.lines)
    for (const event of ['request-sent', 'request-served', 'request-failed', 'repeat-refused', 'attempt-broken', 'send-not-run', 'shares-dealt']) {
      assert.ok(deployment.lines.some((line) => line.event === event), event)
    }
  })

  // A rolling restart while the store is away: the node waits for the store to take its name out of the
  // records, is killed at the end of its grace, and the requests that it still had are cut off.
  it('stops within its grace while the store is silent, and serves on meanwhile', async () => {
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

describe('gateway nodes that start beside others', () => {
  let deployment: MachineDeployment

  before(async () => { deployment = await createMachineDeployment(clock) })
  after(() => deployment.close())

  function dealt (name: string): number[] {
    return deployment.lines.filter((line) => line.process === name && line.event === 'shares-dealt').map((line) => Number(line.nodes))
  }

  // An organisation gets several times its quota for half a second after all nodes were killed: each new process knew
  // of itself alone, and took the whole of what all of them may use together.
  it('take no more than a small part of what all nodes may use before they have read how many they are', async () => {
    const others = ['node-1', 'node-2', 'node-3', 'node-4']
    await Promise.all(others.map((name) => deployment.startNode(name)))
    while (!others.every((name) => dealt(name).includes(4))) await clock.sleep(10)
    await deployment.startNode('node-5')
    while (!dealt('node-5').includes(5)) await clock.sleep(10)
    assert.ok(dealt('node-5').every((nodes) => nodes >= 4), `parts of ${dealt('node-5').join(', ')} nodes`)
  })
})
