/** Requests at a node that is asked to stop, beside another one that goes on. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import { afterPendingInput, createSystemClock } from '../../src/clock.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment, runNode } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn, UpstreamStandInOptions } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const POLL_INTERVAL: Milliseconds = 20

/** Grace period of the nodes, and a request's own time, which is longer. */
const GRACE: Milliseconds = 4_000
const TIME_LIMIT: Milliseconds = 10_000

const configuration = {
  version: 1,
  routes: [
    { name: 'plan', host: HOST, prefix: '/plan/', kind: 'streaming', timeoutMs: TIME_LIMIT, targetLatencyMs: 8_000, targetGapMs: 2_000, service: 'model', maxAttempts: 1 },
    { name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: TIME_LIMIT, targetLatencyMs: 8_000, targetGapMs: 2_000, service: 'model', maxAttempts: 3 },
    { name: 'booking', host: HOST, prefix: '/booking/', kind: 'non_idempotent', timeoutMs: TIME_LIMIT, targetLatencyMs: 8_000, service: 'plain', maxAttempts: 1 },
    { name: 'lookup', host: HOST, prefix: '/lookup/', kind: 'idempotent', timeoutMs: TIME_LIMIT, targetLatencyMs: 8_000, service: 'plain', maxAttempts: 3 },
    { name: 'short', host: HOST, prefix: '/short/', kind: 'non_idempotent', timeoutMs: 500, targetLatencyMs: 200, service: 'plain', maxAttempts: 1 }
  ],
  tenants: [{ name: 'tejo', apiKeys: ['key-1'] }],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }, { name: 'plain', maxConns: 500 }]
}
type Route = 'plan' | 'question' | 'booking' | 'lookup' | 'short'

/** Grace period after the time for which callers keep an address: requests with a short limit are taken until its end. */
const LONG_GRACE: Milliseconds = 8_000

/** Bytes of an answer that doesn't fit into the buffers of a connection. */
const LARGE_ANSWER = 16_000_000

/** How a request ended at its caller. */
interface Outcome {
  readonly id: string
  /** Undefined if the connection ended without an answer. */
  readonly status: number | undefined
  readonly retryAfter: string | undefined
  readonly events: number
  /** Whether there was an answer that ended as its framing says. */
  readonly isComplete: boolean
  /** Time from the request to the end of its answer. */
  readonly took: Milliseconds
}

describe('a node that is asked to stop', () => {
  let deployment: MachineDeployment
  let upstreams: UpstreamStandIn[] = []
  let lastId = 0

  afterEach(async () => {
    await deployment.close()
    await Promise.all(upstreams.splice(0).map((upstream) => upstream.close()))
  })

  /** Starts nodes before one engine and one plain service. */
  async function startNodes (names: readonly string[], engine: Partial<UpstreamStandInOptions>, { grace = GRACE, service = {} as Partial<UpstreamStandInOptions> } = {}): Promise<GatewayNode[]> {
    deployment = await createMachineDeployment(clock, { graceS: grace / 1_000 })
    deployment.configure(configuration)
    upstreams = await Promise.all([serveUpstream({ id: 'm-1', clock, ...engine }), serveUpstream({ id: 'p-1', clock, ...service })])
    deployment.register(upstreams[0]!, { service: 'model', slots: 64 })
    deployment.register(upstreams[1]!, { service: 'plain' })
    const nodes = await Promise.all(names.map(deployment.startNode))
    for (const node of nodes) {
      while ((await ask(node, 'short')).status !== 200) await clock.sleep(POLL_INTERVAL)
      while (await addressCount(node) < names.length) await clock.sleep(POLL_INTERVAL)
    }
    return nodes
  }

  async function addressCount (node: GatewayNode): Promise<number> {
    const { statusCode, body } = await request(`http://${node.addresses.directory}/resolve?name=${HOST}&region=region&zone=zone-a`)
    const text = await body.text()
    return statusCode === 200 ? JSON.parse(text).addresses.length : 0
  }

  async function ask (node: GatewayNode, route: Route): Promise<Outcome> {
    lastId += 1
    const id = `r${lastId}`
    const start = clock.now()
    const headers: Record<string, string> = { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: String(TIME_LIMIT), 'api-key': 'key-1' }
    if (route === 'plan' || route === 'question') headers[HEADER.tokenUsage] = '100,10'
    let status: number | undefined
    let retryAfter: string | undefined
    let text = ''
    let isComplete = false
    try {
      const response = await request(`http://${node.addresses.front}/${route}/x`, { method: 'POST', body: `${route} ${id}`, headers, reset: true })
      status = response.statusCode
      retryAfter = response.headers['retry-after'] as string | undefined
      for await (const chunk of response.body) text += String(chunk)
      isComplete = true
    } catch { /* cut off */ }
    return { id, status, retryAfter, events: text.split('\n\n').length - 1, isComplete, took: clock.now() - start }
  }

  /** Asks for an answer, and reads none of it before `reading` resolves. @returns the bytes read, and whether the connection was reset */
  async function readLate (node: GatewayNode, reading: Promise<unknown>): Promise<{ readonly bytes: number, readonly isReset: boolean }> {
    const [host, port] = node.addresses.front.split(':')
    const caller = connect(Number(port), host)
    caller.write(`GET /lookup/x HTTP/1.1\r\nhost: ${HOST}\r\napi-key: key-1\r\n${HEADER.requestId}: late-reader\r\n\r\n`)
    await reading
    let bytes = 0
    let isReset = false
    caller.on('data', (chunk: Buffer) => { bytes += chunk.length })
    caller.on('error', () => { isReset = true })
    await new Promise((resolve) => caller.once('close', resolve))
    return { bytes, isReset }
  }

  /** Opens a connection that brings nothing yet. */
  async function openConnection (node: GatewayNode): Promise<Socket> {
    const [host, port] = node.addresses.front.split(':')
    const connection = connect(Number(port), host)
    connection.on('error', () => {})
    await once(connection, 'connect')
    return connection
  }

  /** @returns undefined if the node closes before it has accepted the connection: the kernel resets it then */
  async function openUnlessClosed (node: GatewayNode): Promise<Socket | undefined> {
    try {
      return await openConnection(node)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ECONNRESET') throw error
      return undefined
    }
  }

  /** Sends a request on an open connection. @returns the text that came until the connection ended */
  async function askOn (connection: Socket, id: string, { route = 'short' as Route, headers = '' } = {}): Promise<string> {
    let text = ''
    connection.on('data', (chunk: Buffer) => { text += String(chunk) })
    connection.write(`GET /${route}/x HTTP/1.1\r\nhost: ${HOST}\r\napi-key: key-1\r\n${HEADER.requestId}: ${id}\r\n${headers}\r\n`)
    if (!connection.destroyed) await new Promise((resolve) => connection.once('close', resolve))
    return text
  }

  /** Resolves when the node writes a line of this event. */
  async function untilLogged (node: string, event: string): Promise<void> {
    while (!deployment.lines.some((line) => line.process === node && line.event === event)) await clock.sleep(POLL_INTERVAL / 4)
  }

  function hasRun ({ id }: { readonly id: string }): boolean {
    return upstreams.some(({ runs }) => runs.some((run) => run.id === id))
  }

  // Guards against plans that are cut off: they come to a stopping node, are expected to end in time, and take longer.
  it('cuts off no stream that comes after that: it ends whole, or is refused as not run and served by another node', { timeout: 60_000 }, async () => {
    const events = 25
    const [stopping, other] = await startNodes(['node-1', 'node-2'], { events, pause: 100 })
    const begin = clock.now()
    const stopped = stopping!.stop()
    const outcomes: Promise<Outcome>[] = []
    for (const at of [0, 500, 1_000, 1_500, 2_000, 2_600, 3_000, 3_400]) {
      await clock.sleep(Math.max(0, begin + at - clock.now()))
      outcomes.push(ask(stopping!, 'plan'), ask(stopping!, 'question'))
    }
    for (const outcome of await Promise.all(outcomes)) {
      const { status, isComplete, took } = outcome
      assert.ok(isComplete, `cut off: ${JSON.stringify(outcome)}`)
      if (status === 200) assert.equal(outcome.events, events)
      else assert.deepEqual({ status, isRun: hasRun(outcome), isAtOnce: took < 500, isAskedBackSoon: Number(outcome.retryAfter) <= 0.1 }, { status: 503, isRun: false, isAtOnce: true, isAskedBackSoon: true })
    }
    assert.deepEqual({ ...await ask(other!, 'plan'), id: '', took: 0 }, { id: '', status: 200, retryAfter: undefined, events, isComplete: true, took: 0 })
    await stopped
  })

  // Guards against a request that waits at the node until its connection is closed, with no answer, though it has not run.
  it('answers a request that still waits once it can no longer end in time', { timeout: 60_000 }, async () => {
    const grace = 1_000
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { grace })
    deployment.unregister(upstreams[0]!)
    while (!deployment.lines.some(({ event, process }) => event === 'upstream-gone' && process === 'node-1')) await clock.sleep(POLL_INTERVAL)
    const waiting = [ask(stopping!, 'plan'), ask(stopping!, 'question')]
    while (deployment.lines.filter(({ event }) => event === 'request-queued').length < waiting.length) await clock.sleep(POLL_INTERVAL)
    const stopped = stopping!.stop()
    for (const outcome of await Promise.all(waiting)) assert.deepEqual({ status: outcome.status, isComplete: outcome.isComplete, isRun: hasRun(outcome), isInTime: outcome.took < grace }, { status: 503, isComplete: true, isRun: false, isInTime: true })
    assert.equal(deployment.lines.filter(({ event, code }) => event === 'request-failed' && code === 'stopping').length, waiting.length)
    await stopped
  })

  // Guards against a connection that ends without an answer: its request was sent before the stop, and its upstream never answers.
  it('answers a request that may have run, if it is still unanswered at the cut-off', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {})
    for (const upstream of upstreams) upstream.setBehaviour(() => 'hang')
    const unanswered = [ask(stopping!, 'booking'), ask(stopping!, 'plan'), ask(stopping!, 'lookup')]
    await clock.sleep(100)
    const stopped = stopping!.stop()
    for (const { status, isComplete } of await Promise.all(unanswered)) assert.deepEqual({ status, isComplete }, { status: 502, isComplete: true })
    await stopped
  })

  it('serves requests that end by their own limit before it does', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {})
    const begin = clock.now()
    const stopped = stopping!.stop()
    for (const at of [0, 1_000, 2_000, 3_000]) {
      await clock.sleep(Math.max(0, begin + at - clock.now()))
      assert.equal((await ask(stopping!, 'short')).status, 200)
    }
    await stopped
  })

  // Guards against callers that are sent away although no node could take their requests.
  it('serves what it can in the first third of its grace period if there is no other node', { timeout: 60_000 }, async () => {
    const events = 5
    const [only] = await startNodes(['node-1'], { events, pause: 100 })
    const stopped = only!.stop()
    assert.deepEqual({ ...await ask(only!, 'plan'), id: '', took: 0 }, { id: '', status: 200, retryAfter: undefined, events, isComplete: true, took: 0 })
    await clock.sleep(GRACE / 3)
    const late = await ask(only!, 'plan')
    assert.deepEqual({ status: late.status, isComplete: late.isComplete, isRun: hasRun(late) }, { status: 503, isComplete: true, isRun: false })
    await stopped
  })

  // Guards against a truncated answer: it has been handed over, and its caller, which reads slowly, has not received all of it.
  it('lets a caller read an answer to its end', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { service: { answerBytes: LARGE_ANSWER } })
    const read = readLate(stopping!, clock.sleep(1_500))
    await clock.sleep(500)
    const stopped = stopping!.stop()
    const { bytes, isReset } = await read
    assert.ok(bytes > LARGE_ANSWER, `${bytes} bytes`)
    assert.equal(isReset, false)
    await stopped
  })

  // Guards against bookings that are broken off: the node takes them after its last look for requests, while the store is slow to take its counts.
  it('takes no request once it has stopped waiting for those in progress', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { grace: LONG_GRACE, service: { work: 30 } })
    const stopped = stopping!.stop()
    await clock.sleep(LONG_GRACE / 2)
    const early = await Promise.all(Array.from({ length: 4 }, () => openConnection(stopping!)))
    assert.equal((await ask(stopping!, 'short')).status, 200)
    deployment.store.faultSwitch.faults.latency = 500
    await untilLogged('node-1', 'requests-awaited')
    const onNew = ask(stopping!, 'short')
    const onEarly = await Promise.all(early.map(async (connection, index) => {
      await clock.sleep(index * POLL_INTERVAL)
      return { id: `early-${index}`, answer: await askOn(connection, `early-${index}`) }
    }))
    // A request that crosses the end of its connection is neither read nor answered.
    for (const { id, answer } of onEarly) assert.deepEqual({ id, isRun: hasRun({ id }), isRefused: answer === '' || /^HTTP\/1.1 503 .*\r\n\r\n\{.*\}$/s.test(answer) }, { id, isRun: false, isRefused: true })
    const { status } = await onNew
    assert.deepEqual({ status, isRun: hasRun(await onNew) }, { status: undefined, isRun: false })
    await stopped
    assert.deepEqual(deployment.lines.filter(({ event, process }) => event === 'node-stopped' && process === 'node-1').map(({ inFlight }) => inFlight), [0])
  })

  // Guards against bookings that are broken off while no other node takes them, so that callers keep the addresses of nodes that stop.
  for (const grace of [1_000, LONG_GRACE]) {
    it(`answers all that it has passed on, where all nodes stop at once with a grace period of ${grace} ms`, { timeout: 60_000 }, async () => {
      const work = 48
      const nodes = await startNodes(['node-1', 'node-2'], {}, { grace, service: { work } })
      const stopped = Promise.all(nodes.map((node) => node.stop()))
      const outcomes: Promise<Outcome>[] = []
      while (deployment.lines.filter(({ event }) => event === 'node-stopped').length < nodes.length) {
        outcomes.push(...nodes.map((node) => ask(node, 'short')))
        // A little longer than a request takes, so that the nodes are idle for moments.
        await clock.sleep(work * 1.2)
      }
      await stopped
      const ended = await Promise.all(outcomes)
      assert.deepEqual(ended.filter((outcome) => hasRun(outcome) && !(outcome.status === 200 && outcome.isComplete)), [])
      assert.ok(ended.some(({ status }) => status === 200))
    })
  }

  // Guards against a request that is passed on although its connection ends with the answer before it.
  it('runs no request that is pipelined behind the last answer of its connection', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { service: { work: 100 } })
    const stopped = stopping!.stop()
    const connection = await openConnection(stopping!)
    const second = `GET /short/x HTTP/1.1\r\nhost: ${HOST}\r\napi-key: key-1\r\n${HEADER.requestId}: pipelined\r\n\r\n`
    const answers = askOn(connection, 'first')
    connection.write(second)
    assert.deepEqual({ answers: (await answers).match(/HTTP\/1.1 \d+/g), isRun: hasRun({ id: 'pipelined' }) }, { answers: ['HTTP/1.1 200'], isRun: false })
    await stopped
  })

  // Guards against a request that is cut off because its body comes late: its head came before the node closed.
  it('serves a request whose body comes after it has closed', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { grace: LONG_GRACE })
    const stopped = stopping!.stop()
    await clock.sleep(LONG_GRACE / 2)
    let outcome: Promise<string> | undefined
    while (!deployment.lines.some(({ event, process }) => event === 'node-closed' && process === 'node-1')) {
      const connection = await openUnlessClosed(stopping!)
      if (connection === undefined) continue
      outcome = askOn(connection, 'uploaded', { headers: 'content-length: 4\r\n' })
      setTimeout(() => connection.write('body'), 200)
      await clock.sleep(100)
    }
    assert.match(await outcome!, /^HTTP\/1.1 200 /)
    await stopped
  })

  // Guards against a caller that is told that its request came too slowly, and not when to come back: the node stops before its body is there.
  it('refuses a request as not run whose body has not come when it can no longer end in time', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { grace: 1_000 })
    const connection = await openConnection(stopping!)
    const answer = askOn(connection, 'late-body', { route: 'lookup', headers: 'content-length: 4\r\n' })
    await afterPendingInput()
    const stopped = stopping!.stop()
    assert.match(await answer, /^HTTP\/1.1 503 .*"type":"stopping","verdict":"not-run"/s)
    await stopped
  })

  // Guards against a process that ends while its stop is in progress: the second request to stop was answered at once.
  it('ends once, however often it is asked to stop', { timeout: 60_000 }, async () => {
    const [stopping] = await startNodes(['node-1', 'node-2'], {}, { grace: 500 })
    const stopped = stopping!.stop()
    await stopping!.stop()
    assert.equal(deployment.lines.filter(({ event, process }) => event === 'node-stopped' && process === 'node-1').length, 1)
    await stopped
    await assert.rejects(openConnection(stopping!))
  })

  // Guards against a process that lives on after its stop, until its grace period is over, and so starts again later.
  it('leaves no timer behind that keeps its process alive', { timeout: 60_000 }, async () => {
    const pending = new Set<object>()
    const track = (delay: Milliseconds): object => {
      const timer = { delay }
      pending.add(timer)
      return timer
    }
    const tracking: Clock = {
      ...clock,
      sleep: (delay, signal) => {
        const timer = track(delay)
        return clock.sleep(delay, signal).finally(() => pending.delete(timer))
      },
      schedule: (delay, callback) => {
        const timer = track(delay)
        const cancel = clock.schedule(delay, () => {
          pending.delete(timer)
          callback()
        })
        return () => {
          pending.delete(timer)
          cancel()
        }
      }
    }
    await startNodes(['node-1'], {})
    const { store, api } = deployment
    const node = await runNode(tracking, { name: 'node-2', store: store.address, api: api.address, seed: 1, bounds: { graceS: LONG_GRACE / 1_000 } }, () => {})
    while ((await ask(node, 'short')).status !== 200) await clock.sleep(POLL_INTERVAL)
    await node.stop()
    await afterPendingInput()
    assert.deepEqual([...pending], [])
  })

  for (const grace of [500, 1_000, 12_000]) {
    it(`cuts off no request that comes after that with a grace period of ${grace} ms`, { timeout: 60_000 }, async () => {
      const [stopping] = await startNodes(['node-1', 'node-2'], { events: 20, pause: 100 }, { grace })
      const stopped = stopping!.stop()
      const outcomes: Outcome[] = []
      for (let sent = 0; sent < 10; sent += 1) {
        const outcome = await ask(stopping!, 'plan')
        // The node has ended.
        if (outcome.status === undefined && !hasRun(outcome)) break
        outcomes.push(outcome)
      }
      assert.deepEqual(outcomes.filter((outcome) => !outcome.isComplete || (outcome.status === 503 && hasRun(outcome))), [])
      await stopped
    })
  }
})
