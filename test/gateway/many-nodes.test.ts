/** A fleet with members, in one process with the platform's stand-ins. */
import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { MAX_FULL_MESH_NODES } from '../../src/gossip/index.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const NODES = MAX_FULL_MESH_NODES + 2
const ENDLESS_PAUSE = 5 * SECOND

const configuration = (version: number, ...routes: string[]): object => ({
  version,
  routes: routes.map((name) => ({ name, host: HOST, prefix: `/${name}/`, kind: 'idempotent', timeoutMs: 3_000, targetLatencyMs: 1_000, service: 'plain', maxAttempts: 2 })),
  services: [{ name: 'plain', maxConns: 1_000 }]
})

function untilAborted (signal: AbortSignal | undefined): Promise<never> {
  return new Promise((_resolve, reject) => signal?.addEventListener('abort', () => reject(signal.reason), { once: true }))
}

describe(`${NODES} nodes`, () => {
  let deployment: MachineDeployment
  let nodes: GatewayNode[]
  let upstreams: UpstreamStandIn[]
  let requestCount = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    upstreams = await Promise.all(['p-1', 'p-2'].map((id) => serveUpstream({ id, clock })))
    deployment.configure(configuration(1, 'first'))
    for (const upstream of upstreams) deployment.register(upstream)
    nodes = await Promise.all(Array.from({ length: NODES }, (_, index) => deployment.startNode(`node-${index}`)))
  })

  after(async () => {
    await deployment?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  async function statuses (route: string): Promise<number[]> {
    return Promise.all(nodes.map(async (node) => {
      requestCount += 1
      const { statusCode, body } = await request(`http://${node.addresses.front}/${route}/x`, { headers: { host: HOST, 'x-hornbeamgap-request-id': `r${requestCount}`, 'x-hornbeamgap-deadline-ms': '2000' } })
      await body.dump()
      return statusCode
    }))
  }

  async function waitUntil (condition: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await condition())) await clock.sleep(20)
  }

  const countNodesInRole = (role: string): number => new Set(deployment.lines.filter((line) => line.event === 'exchange-role' && line.role === role).map((line) => line.process)).size

  it('divide into a few aggregators and their members, and all serve', async () => {
    await waitUntil(() => countNodesInRole('member') >= NODES - MAX_FULL_MESH_NODES)
    await waitUntil(async () => (await statuses('first')).every((status) => status === 200))
  })

  // Guards against members that miss a configuration change because they do not watch the store: they would answer 404 for an
  // added route and keep serving a removed route.
  it('all follow the configuration, members through the updates of their aggregators', async () => {
    deployment.configure(configuration(2, 'second'))
    await waitUntil(async () => (await statuses('second')).every((status) => status === 200))
    await waitUntil(async () => (await statuses('first')).every((status) => status === 404))
  })

  it('all stop dispatching to an upstream that announces its departure', async () => {
    const [leaving] = upstreams
    deployment.register(leaving!, { state: 'draining' })
    await waitUntil(() => new Set(deployment.lines.filter((line) => line.event === 'upstream-leaving' && line.upstream === leaving!.id).map((line) => line.process)).size === NODES)
    const before = leaving!.runs.length
    assert.ok((await statuses('second')).every((status) => status === 200))
    assert.equal(leaving!.runs.length, before)
  })
})

describe('a node that starts', () => {
  // Guards against surplus upstreams that run on, and are charged for, after the start. A node that is not a candidate yet at
  // its first read of the lease's key would read the key again only about ten seconds later.
  it('takes the duties without waiting for its next periodic read of the key', { timeout: 60_000 }, async () => {
    // With this clock, a pause as long as the one between two periodic reads of the key never ends.
    const clockWithoutLongPauses: Clock = { ...clock, sleep: (duration, signal) => duration < ENDLESS_PAUSE ? clock.sleep(duration, signal) : untilAborted(signal) }
    const deployment = await createMachineDeployment(clockWithoutLongPauses)
    await deployment.startNode('alone')
    while (!deployment.lines.some((line) => line.event === 'duty-taken')) await clock.sleep(20)
    await deployment.close()
  })
})
