/** Resumable streams of a service whose upstreams run two versions of their software side by side. */
import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const NODE_NAMES = ['node-1', 'node-2', 'node-3']
const VERSIONS = ['v1', 'v2']
const UPSTREAMS_PER_VERSION = 2
const STREAMS = 32

/** Streams that are resumed are to go on at least half as often as new ones begin. All new ones begin here. */
const MIN_RESUMED_FRACTION = 1 / 2

/** Time between two heartbeats of an upstream. */
const HEARTBEAT: Milliseconds = 200

/** Number of events in a stream, and the pause before each. */
const EVENTS = 5
const EVENT_PAUSE: Milliseconds = 20
const EVENT_IDS = Array.from({ length: EVENTS }, (_, index) => index + 1)

const configuration = {
  version: 1,
  routes: [{ name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: 3_000, targetLatencyMs: 800, service: 'model', maxAttempts: 4 }],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }]
}

interface StreamAnswer {
  readonly status: number
  /** Version of the upstream that sent the first event; undefined if there is none. */
  readonly version: string | undefined
  readonly events: readonly number[]
}

/** A stream that its caller has left. */
interface BegunStream {
  readonly id: string
  readonly lastEvent: number
  readonly version: string | undefined
}

interface ResumedStream extends StreamAnswer {
  readonly begun: BegunStream
  readonly id: string
}

const UNKNOWN_STREAM: BegunStream = { id: 'unknown', lastEvent: 1, version: undefined }

function eventsIn (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event))
}

describe('a stream of a service with upstreams of two versions', () => {
  let deployment: MachineDeployment
  let nodes: GatewayNode[]
  let upstreams: ReadonlyMap<UpstreamStandIn, string>
  let lastId = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    upstreams = new Map(await Promise.all(VERSIONS.flatMap((version) => Array.from({ length: UPSTREAMS_PER_VERSION }, async (_, index) => {
      const upstream = await serveUpstream({ id: `${version}-${index}`, clock, events: EVENTS, pause: EVENT_PAUSE })
      deployment.register(upstream, { service: 'model', slots: 64, version })
      return [upstream, version] as const
    }))))
    nodes = await Promise.all(NODE_NAMES.map(deployment.startNode))
    for (const node of nodes) while ((await read(node, nextId())).status !== 200) await clock.sleep(EVENT_PAUSE)
  })

  after(async () => {
    await deployment?.close()
    await Promise.all([...upstreams?.keys() ?? []].map((upstream) => upstream.close()))
  })

  function nextId (): string {
    lastId += 1
    return `r${lastId}`
  }

  function ask (node: GatewayNode, id: string, begun?: BegunStream): Promise<Awaited<ReturnType<typeof request>>> {
    const headers: Record<string, string> = { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '2500', [HEADER.tokenUsage]: '100,10' }
    if (begun !== undefined) Object.assign(headers, { [HEADER.lastEventId]: String(begun.lastEvent), [HEADER.resumes]: begun.id })
    return request(`http://${node.addresses.front}/question/x`, { method: 'POST', body: `question ${id}`, headers })
  }

  function upstreamsOf (version: string): UpstreamStandIn[] {
    return [...upstreams].filter(([, other]) => other === version).map(([upstream]) => upstream)
  }

  /** Begins a stream, or resumes one, and leaves it after the first events that arrive. */
  async function begin (node: GatewayNode, before?: BegunStream): Promise<BegunStream> {
    const id = nextId()
    const { headers, body } = await ask(node, id, before)
    const { value } = await body[Symbol.asyncIterator]().next()
    body.destroy()
    return { id, lastEvent: eventsIn(String(value)).at(-1)!, version: versionOfStamp(headers) }
  }

  async function resume (node: GatewayNode, begun: BegunStream): Promise<ResumedStream> {
    const id = nextId()
    return { begun, id, ...await read(node, id, begun) }
  }

  /** Streams that went on at a version other than the one that began them, by the ids of their first attempts. */
  function crossings (resumed: readonly ResumedStream[]): readonly string[] {
    return resumed.filter(({ begun, id, version = begun.version }) => version !== begun.version || isContinuedElsewhere(id, begun.version)).map(({ begun }) => begun.id)
  }

  /** Streams of which the caller has received the rest. */
  function wholeOnes (resumed: readonly ResumedStream[]): readonly ResumedStream[] {
    return resumed.filter(({ begun, events }) => events.join() === EVENT_IDS.slice(begun.lastEvent).join())
  }

  /** Reads a whole answer. @returns its status and the ids of its events */
  async function read (node: GatewayNode, id: string, begun?: BegunStream): Promise<StreamAnswer> {
    const { statusCode, headers, body } = await ask(node, id, begun)
    const text = await body.text().catch(() => '')
    return { status: statusCode, version: versionOfStamp(headers), events: eventsIn(text) }
  }

  function versionOfStamp (headers: Awaited<ReturnType<typeof request>>['headers']): string | undefined {
    return [...upstreams].find(([{ id }]) => id === headers['x-hornbeamgap-server-stamp'])?.[1]
  }

  /** Whether an upstream of another version has run the attempt from its last event on. */
  function isContinuedElsewhere (id: string, version: string | undefined): boolean {
    return [...upstreams].some(([{ runs }, other]) => other !== version && runs.some((run) => run.id === id && run.headers[HEADER.lastEventId] !== undefined))
  }

  // Guards against answers that join what two versions wrote: an upstream breaks off after some events, and the stream continues at one of another version.
  it('continues within its answer at an upstream of the version that began it', { timeout: 30_000 }, async () => {
    for (const upstream of upstreams.keys()) upstream.setBehaviour((lastEvent) => lastEvent === undefined ? 'break' : 'answer')
    const ids = Array.from({ length: STREAMS }, nextId)
    const answers = await Promise.all(ids.map((id, index) => read(nodes[index % nodes.length]!, id)))
    assert.deepEqual(ids.filter((id, index) => isContinuedElsewhere(id, answers[index]!.version)), [])
    for (const { events } of answers) assert.deepEqual(events, EVENT_IDS)
  })

  // Guards against streams of two versions over a caller's tries: the caller loses its connection and resumes at a node that does not know the version.
  it('continues at the version that began it when its caller resumes it at another node', { timeout: 30_000 }, async () => {
    for (const upstream of upstreams.keys()) upstream.setBehaviour(() => 'answer')
    const resumed = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => resume(nodes[(index + 1) % nodes.length]!, await begin(nodes[index % nodes.length]!))))
    assert.deepEqual(crossings(resumed), [])
    assert.ok(wholeOnes(resumed).length >= STREAMS * MIN_RESUMED_FRACTION, `${wholeOnes(resumed).length} of ${STREAMS} went on`)
  })

  // Guards against losing what a node knew with the node: its callers resume elsewhere, and no other node holds the version.
  it('continues at its version when the node that began it is gone', { timeout: 30_000 }, async () => {
    const departing = await deployment.startNode('departing')
    while ((await read(departing, nextId())).status !== 200) await clock.sleep(EVENT_PAUSE)
    const begun = await Promise.all(Array.from({ length: STREAMS }, () => begin(departing)))
    await departing.stop()
    const resumed = await Promise.all(begun.map((stream, index) => resume(nodes[index % nodes.length]!, stream)))
    assert.deepEqual(crossings(resumed), [])
    assert.ok(wholeOnes(resumed).length >= STREAMS * MIN_RESUMED_FRACTION, `${wholeOnes(resumed).length} of ${STREAMS} went on`)
  })

  // Guards against a node that restarts and takes up streams of its callers without knowing what they began with.
  it('continues at its version at a node that has started since', { timeout: 30_000 }, async () => {
    const begun = await Promise.all(Array.from({ length: STREAMS }, (_, index) => begin(nodes[index % nodes.length]!)))
    const late = await deployment.startNode('late')
    while ((await read(late, nextId())).status !== 200) await clock.sleep(EVENT_PAUSE)
    const resumed = await Promise.all(begun.map((stream) => resume(late, stream)))
    assert.deepEqual(crossings(resumed), [])
    assert.ok(wholeOnes(resumed).length >= STREAMS * MIN_RESUMED_FRACTION, `${wholeOnes(resumed).length} of ${STREAMS} went on`)
  })

  // Guards against a guess: no node knows the stream, so any version may have begun it.
  it('is refused as not run, with a time to come back, if no node knows its version', { timeout: 30_000 }, async () => {
    const id = nextId()
    const { statusCode, headers, body } = await ask(nodes[0]!, id, UNKNOWN_STREAM)
    await body.dump()
    assert.equal(statusCode, 503)
    assert.ok(Number(headers['retry-after']) > 0)
    assert.ok([...upstreams.keys()].every(({ runs }) => runs.every((run) => run.id !== id)))
  })

  // Guards against streams that are lost with their records although the service has a single version.
  it('continues without a record where the service has had one version only', { timeout: 30_000 }, async () => {
    const [kept] = VERSIONS
    const single = await createMachineDeployment(clock)
    try {
      single.configure(configuration)
      const [upstream] = [...upstreams].find(([, version]) => version === kept)!
      upstream.setBehaviour(() => 'answer')
      const heartbeat = setInterval(() => single.register(upstream, { service: 'model', slots: 64, version: kept }), HEARTBEAT)
      try {
        const node = await single.startNode('alone')
        while ((await read(node, nextId(), UNKNOWN_STREAM)).status !== 200) await clock.sleep(EVENT_PAUSE)
      } finally {
        clearInterval(heartbeat)
      }
    } finally {
      await single.close()
    }
  })

  // Guards against a second resumption that knows only the first: the caller names the attempt that brought the first event each time.
  it('continues at its version over a chain of attempts at different nodes', { timeout: 30_000 }, async () => {
    const resumed = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
      const node = (offset: number): GatewayNode => nodes[(index + offset) % nodes.length]!
      const begun = await begin(node(0))
      const { lastEvent } = await begin(node(1), begun)
      return resume(node(2), { ...begun, lastEvent })
    }))
    assert.deepEqual(crossings(resumed), [])
    assert.ok(wholeOnes(resumed).length >= STREAMS * MIN_RESUMED_FRACTION, `${wholeOnes(resumed).length} of ${STREAMS} went on`)
  })

  // Guards against a record that is old: another version's upstream answers at its address.
  it('does not continue at an address that an upstream of another version uses by now', { timeout: 30_000 }, async () => {
    const [first, ...others] = upstreamsOf('v1')
    const [reused] = upstreamsOf('v2')
    deployment.register(first!, { service: 'model', slots: 64, version: 'v1', address: reused!.address })
    const resumed = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => resume(nodes[(index + 1) % nodes.length]!, await begin(nodes[index % nodes.length]!))))
    deployment.register(first!, { service: 'model', slots: 64, version: 'v1' })
    assert.ok(others.length > 0)
    assert.deepEqual(crossings(resumed), [])
  })

  // Guards against the only upstreams left, which are of another version. Leaving is final, so this test is the last.
  it('is refused as not run when all upstreams of its version leave', { timeout: 30_000 }, async () => {
    const begun = (await Promise.all(Array.from({ length: STREAMS }, (_, index) => begin(nodes[index % nodes.length]!)))).filter(({ version }) => version === 'v1')
    for (const upstream of upstreamsOf('v1')) deployment.register(upstream, { service: 'model', slots: 64, version: 'v1', state: 'draining' })
    const noticesAt = (name: string): number => deployment.lines.filter(({ process, event, version }) => process === name && event === 'upstream-leaving' && version === 'v1').length
    while (NODE_NAMES.some((name) => noticesAt(name) < UPSTREAMS_PER_VERSION)) await clock.sleep(EVENT_PAUSE)
    const resumed = await Promise.all(begun.map((stream, index) => resume(nodes[index % nodes.length]!, stream)))
    assert.ok(resumed.length > 0)
    assert.deepEqual(resumed.map(({ status }) => status), resumed.map(() => 503))
    assert.deepEqual(crossings(resumed), [])
  })
})
