/** Resumable streams whose callers take them up after all nodes were killed, where the service has had two versions. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { NodeThreads } from '../../stand-ins/machines/node-threads.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const NODE_NAMES = ['node-1', 'node-2', 'node-3']
const UPSTREAMS_PER_VERSION = 2
const STREAMS = 24

/** Streams that are taken up go on at least half as often as new ones begin, while two upstreams of their version serve. All new ones begin here. */
const MIN_RESUMED_FRACTION = 1 / 2

const EVENTS = 120
const EVENT_PAUSE: Milliseconds = 25

/** Time for which streams have run when the nodes are killed. */
const RUN_BEFORE_KILL: Milliseconds = 1_000

/** Time after their start at which nodes without knowledge of the past have taken the version that they saw for the only one. */
const LONG_AFTER_START: Milliseconds = 4_000

/** Pause between two tries of a caller whose stream was refused, and the number of tries. */
const RETRY_PAUSE: Milliseconds = 100
const TRIES = 4

const POLL_INTERVAL: Milliseconds = 25
const TEST_TIMEOUT: Milliseconds = 40_000

const configuration = {
  version: 1,
  routes: [{ name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: 20_000, targetLatencyMs: 800, service: 'model', maxAttempts: 4 }],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }]
}

/** A stream that has begun, and whose connection may end with its node. */
interface BegunStream {
  readonly id: string
  readonly version: string
  /** Resolves with the id of the last event that its caller received, once the connection has ended. */
  readonly lastEvent: Promise<number>
}

interface Outcome {
  readonly status: number
  readonly begunAt: string
  readonly wentOnAt: string | undefined
  /** Whether its caller has received all events, each once and in order. */
  readonly isWhole: boolean
}

function eventsIn (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event))
}

describe('streams that are taken up after all nodes were killed', () => {
  let deployment: MachineDeployment
  let threads: NodeThreads
  let upstreams: UpstreamStandIn[]
  let lastId = 0

  beforeEach(async () => {
    upstreams = []
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    await addVersion('v1')
    await startNodes()
  })

  afterEach(async () => {
    await deployment.close()
    await Promise.all(upstreams.map((upstream) => upstream.close()))
  })

  async function addVersion (version: string): Promise<void> {
    for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
      const upstream = await serveUpstream({ id: `${version}-${index}`, clock, events: EVENTS, pause: EVENT_PAUSE })
      upstreams.push(upstream)
      deployment.register(upstream, { service: 'model', slots: 64, version })
    }
  }

  function removeVersion (version: string): void {
    for (const upstream of upstreams.filter(({ id }) => versionOf(id) === version)) deployment.unregister(upstream)
  }

  /** Waits until each node has written the event for all upstreams of a version. */
  async function untilNodesKnow (event: 'upstream-new' | 'upstream-gone', version: string): Promise<void> {
    const linesOf = (name: string): number => deployment.lines.filter((line) => line.process === name && line.event === event && versionOf(String(line.upstream)) === version).length
    while (NODE_NAMES.some((name) => linesOf(name) < UPSTREAMS_PER_VERSION)) await clock.sleep(POLL_INTERVAL)
  }

  async function startNodes (): Promise<void> {
    threads = await deployment.startNodesInThreads(NODE_NAMES, 1)
    for (const node of threads.addresses.keys()) while ((await ask(node)).statusCode !== 200) await clock.sleep(POLL_INTERVAL)
  }

  /** Waits until each node sends requests to upstreams of a version. */
  async function untilServed (version: string): Promise<void> {
    for (const node of threads.addresses.keys()) {
      while (versionOf(String((await ask(node)).headers['x-hornbeamgap-server-stamp'])) !== version) await clock.sleep(POLL_INTERVAL)
    }
  }

  function versionOf (upstream: string): string {
    return upstream.slice(0, upstream.indexOf('-'))
  }

  function nextId (): string {
    lastId += 1
    return `r${lastId}`
  }

  /** Sends a request and reads none of its answer. */
  async function ask (node: number, id = nextId(), resumed: Record<string, string> = {}): Promise<Awaited<ReturnType<typeof request>>> {
    const { front } = threads.addresses[node % threads.addresses.length]!
    const response = await request(`http://${front}/question/x`, { method: 'POST', body: `question ${id}`, headers: { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '15000', [HEADER.tokenUsage]: '100,10', ...resumed } })
    if (id.startsWith('s')) return response
    response.body.on('error', () => {}).destroy()
    return response
  }

  /** Begins streams that run until the nodes are killed, and waits until the first events of all have come. */
  async function beginStreams (): Promise<BegunStream[]> {
    const begun = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
      const id = `s${nextId()}`
      const { headers, body } = await ask(index, id)
      const chunks = body[Symbol.asyncIterator]()
      let text = String((await chunks.next()).value)
      const lastEvent = readRest(chunks, (chunk) => { text += chunk }).then(() => eventsIn(text).at(-1)!)
      return { id, version: versionOf(String(headers['x-hornbeamgap-server-stamp'])), lastEvent }
    }))
    await clock.sleep(RUN_BEFORE_KILL)
    return begun
  }

  async function readRest (chunks: AsyncIterator<unknown>, onChunk: (chunk: string) => void): Promise<void> {
    try {
      for (let next = await chunks.next(); next.done !== true; next = await chunks.next()) onChunk(String(next.value))
    } catch {
      // The node was killed.
    }
  }

  /** Takes a stream up at one node after the other until one lets it go on. */
  async function takeUp (begun: BegunStream, node: number): Promise<Outcome> {
    const lastEvent = await begun.lastEvent
    let status = 0
    for (let round = 0; round < TRIES; round += 1) {
      const response = await ask(node + round, `s${nextId()}`, { [HEADER.lastEventId]: String(lastEvent), [HEADER.resumes]: begun.id })
      const text = await response.body.text()
      status = response.statusCode
      if (status === 200) {
        const rest = Array.from({ length: EVENTS - lastEvent }, (_, index) => lastEvent + 1 + index)
        return { status, begunAt: begun.version, wentOnAt: versionOf(String(response.headers['x-hornbeamgap-server-stamp'])), isWhole: eventsIn(text).join() === rest.join() }
      }
      await clock.sleep(RETRY_PAUSE)
    }
    return { status, begunAt: begun.version, wentOnAt: undefined, isWhole: false }
  }

  async function takeUpAll (begun: readonly BegunStream[]): Promise<Outcome[]> {
    return Promise.all(begun.map((stream, index) => takeUp(stream, index)))
  }

  function assertNoneCrossed (outcomes: readonly Outcome[]): void {
    const crossed = outcomes.filter(({ begunAt, wentOnAt = begunAt }) => wentOnAt !== begunAt)
    assert.equal(crossed.length, 0, `${crossed.length} of ${outcomes.length} went on at another version`)
  }

  function assertMostWentOn (outcomes: readonly Outcome[]): void {
    const whole = outcomes.filter(({ isWhole }) => isWhole)
    assert.ok(whole.length >= outcomes.length * MIN_RESUMED_FRACTION, `${whole.length} of ${outcomes.length} went on`)
  }

  // Guards against streams of two versions: nodes that have just started take the only version that they see for the only one that there was.
  it('do not go on at another version where theirs left before the kill', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await beginStreams()
    await addVersion('v2')
    removeVersion('v1')
    await untilNodesKnow('upstream-gone', 'v1')
    await threads.kill()
    await startNodes()
    await clock.sleep(LONG_AFTER_START)
    assertNoneCrossed(await takeUpAll(begun))
  })

  // Guards against the same where the old version is gone when the nodes come back.
  it('do not go on at another version where theirs left while no node was there', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await beginStreams()
    await threads.kill()
    await addVersion('v2')
    removeVersion('v1')
    await startNodes()
    const early = await takeUpAll(begun.slice(STREAMS / 2))
    await clock.sleep(LONG_AFTER_START)
    assertNoneCrossed([...early, ...await takeUpAll(begun.slice(0, STREAMS / 2))])
  })

  // Guards against losing streams with the memory of the nodes although upstreams of their version serve.
  it('go on at their versions where both serve', { timeout: TEST_TIMEOUT }, async () => {
    await addVersion('v2')
    await untilServed('v2')
    const begun = await beginStreams()
    assert.equal(new Set(begun.map(({ version }) => version)).size, 2)
    await threads.kill()
    await startNodes()
    const outcomes = await takeUpAll(begun)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })

  // Guards against losing the streams that began before there was a second version, of which no node kept a record.
  it('go on at their version where another one came while they ran', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await beginStreams()
    await addVersion('v2')
    await untilNodesKnow('upstream-new', 'v2')
    await clock.sleep(RUN_BEFORE_KILL)
    await threads.kill()
    await startNodes()
    const outcomes = await takeUpAll(begun)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })
})
