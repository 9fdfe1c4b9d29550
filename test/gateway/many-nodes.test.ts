/** More nodes than all exchange directly, with the platform's stand-ins, in one process. */
import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { EQUALS } from '../../src/gossip/index.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const NODES = EQUALS + 2
const LONG_PAUSE = 5 * SECOND

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
  let ids = 0

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
      ids += 1
      const { statusCode, body } = await request(`http://${node.addresses.front}/${route}/x`, { headers: { host: HOST, 'x-hornbeamgap-request-id': `r${ids}`, 'x-hornbeamgap-deadline-ms': '2000' } })
      await body.dump()
      return statusCode
    }))
  }

  async function until (condition: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await condition())) await clock.sleep(20)
  }

  const rolesOf = (role: string): number => new Set(deployment.lines.filter((line) => line.event === 'exchange-role' && line.role === role).map((line) => line.process)).size

  it('become few aggregators and their members, and all serve', async () => {
    await until(() => rolesOf('member') >= NODES - EQUALS)
    await until(async () => (await statuses('first')).every((status) => status === 200))
  })

  // The operators add a route and take one away. Members, which don't watch the store, answered 404 for the new one and
  // went on serving the old one.
  it('all follow the configuration, members by what their aggregators tell them', async () => {
    deployment.configure(configuration(2, 'second'))
    await until(async () => (await statuses('second')).every((status) => status === 200))
    await until(async () => (await statuses('first')).every((status) => status === 404))
  })

  it('all leave an upstream that gives notice alone', async () => {
    const [leaving] = upstreams
    deployment.register(leaving!, { state: 'draining' })
    await until(() => new Set(deployment.lines.filter((line) => line.event === 'upstream-leaving' && line.upstream === leaving!.id).map((line) => line.process)).size === NODES)
    const before = leaving!.runs.length
    assert.ok((await statuses('second')).every((status) => status === 200))
    assert.equal(leaving!.runs.length, before)
  })
})

describe('a node that starts', () => {
  // The upstreams that are found at the start were paid for until the traffic came: the first node had to be put together
  // before it might take the duties, missed its first look at their key, and looked again after some ten seconds.
  it('takes the duties without waiting for its next look at their key', { timeout: 60_000 }, async () => {
    // Pauses as long as those between two looks never end here.
    const hasty: Clock = { ...clock, sleep: (duration, signal) => duration < LONG_PAUSE ? clock.sleep(duration, signal) : untilAborted(signal) }
    const deployment = await createMachineDeployment(hasty)
    await deployment.startNode('alone')
    while (!deployment.lines.some((line) => line.event === 'duty-taken')) await clock.sleep(20)
    await deployment.close()
  })
})
