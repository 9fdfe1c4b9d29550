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
const VERSIONS = ['v1', 'v2']
const UPSTREAMS_PER_VERSION = 2
const STREAMS = 32

/** Number of events in a stream, and the pause before each. */
const EVENTS = 5
const EVENT_PAUSE: Milliseconds = 20
const EVENT_IDS = Array.from({ length: EVENTS }, (_, index) => index + 1)

const configuration = {
  version: 1,
  routes: [{ name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: 3_000, targetLatencyMs: 800, service: 'model', maxAttempts: 2 }],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }]
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
    nodes = await Promise.all(['node-1', 'node-2', 'node-3'].map(deployment.startNode))
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

  function ask (node: GatewayNode, id: string): Promise<Awaited<ReturnType<typeof request>>> {
    return request(`http://${node.addresses.front}/question/x`, { method: 'POST', body: 'a question', headers: { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '2500', [HEADER.tokenUsage]: '100,10' } })
  }

  /** Reads a whole answer. @returns its status and the ids of its events */
  async function read (node: GatewayNode, id: string): Promise<{ readonly status: number, readonly events: readonly number[] }> {
    const { statusCode, body } = await ask(node, id)
    const text = await body.text().catch(() => '')
    return { status: statusCode, events: [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event)) }
  }

  /** Versions of the upstreams that ran one of these attempts. */
  function versionsOf (...ids: readonly string[]): ReadonlySet<string> {
    return new Set([...upstreams].filter(([{ runs }]) => runs.some((run) => ids.includes(run.id))).map(([, version]) => version))
  }

  // Guards against answers that join what two versions wrote: an upstream breaks off after some events, and the stream continues at one of another version.
  it('continues within its answer at an upstream of the version that began it', { timeout: 30_000 }, async () => {
    for (const upstream of upstreams.keys()) upstream.setBehaviour((lastEvent) => lastEvent === undefined ? 'break' : 'answer')
    const ids = Array.from({ length: STREAMS }, nextId)
    const answers = await Promise.all(ids.map((id, index) => read(nodes[index % nodes.length]!, id)))
    assert.deepEqual(ids.filter((id) => versionsOf(id).size > 1), [])
    for (const { events } of answers) assert.deepEqual(events, EVENT_IDS)
  })
})
