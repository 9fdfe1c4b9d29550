/** Roll-outs with real nodes, the platform adapter, and stand-ins for the platform and the upstreams. */
import assert from 'node:assert/strict'
import { after, afterEach, beforeEach, describe, it } from 'node:test'
import { request } from 'undici'
import { STATUS_KEY, STORE_KEY } from '../../platform/names.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'
import { startPacedClock } from '../../stand-ins/paced-clock.js'
import { waitUntil } from '../wait-until.js'

/** Roll-outs judge the times of answers. On a busy machine these are long, with the clock of the system, and good versions seem slow. */
const clock = startPacedClock()
const HOST = 'api.example'
const SERVICE = 'plain'

/** Number of concurrent callers, and the pause of each caller between two requests in milliseconds. */
const CALLERS = 12
const PAUSE = 30

const configuration = {
  version: 1,
  routes: [
    { name: 'lookup', host: HOST, prefix: '/lookup/', kind: 'idempotent', timeoutMs: 3_000, targetLatencyMs: 1_000, service: SERVICE, maxAttempts: 2 },
    { name: 'booking', host: HOST, prefix: '/booking/', kind: 'non_idempotent', timeoutMs: 3_000, targetLatencyMs: 1_000, service: SERVICE, maxAttempts: 1 }
  ],
  services: [{ name: SERVICE, maxConns: 200 }]
}

after(() => clock.stop())

describe('a roll-out', () => {
  let deployment: MachineDeployment
  let nodes: GatewayNode[]
  let oldUpstreams: UpstreamStandIn[]
  let newUpstreams: UpstreamStandIn[]
  let traffic: AbortController
  let callers: Promise<void>[]
  let ids = 0

  beforeEach(async () => {
    deployment = await createMachineDeployment(clock)
    oldUpstreams = await Promise.all(['old-1', 'old-2'].map((id) => serveUpstream({ id, clock })))
    newUpstreams = await Promise.all(['new-1', 'new-2'].map((id) => serveUpstream({ id, clock })))
    deployment.configure(configuration)
    for (const upstream of oldUpstreams) deployment.register(upstream, { version: 'v1' })
    nodes = await Promise.all(['node-1', 'node-2', 'node-3'].map(deployment.startNode))
    await until(async () => (await Promise.all(nodes.map((node) => ask(node, 'lookup')))).every((status) => status === 200))
    traffic = new AbortController()
    callers = Array.from({ length: CALLERS }, (_, index) => call(index))
  })

  afterEach(async () => {
    traffic?.abort()
    await Promise.all(callers ?? [])
    await deployment?.close()
    await Promise.all([...oldUpstreams ?? [], ...newUpstreams ?? []].map((upstream) => upstream.close()))
  })

  async function call (index: number): Promise<void> {
    while (!traffic.signal.aborted) {
      await ask(nodes[index % nodes.length]!, index % 4 === 0 ? 'booking' : 'lookup')
      await clock.sleep(PAUSE)
    }
  }

  async function ask (node: GatewayNode, route: string): Promise<number> {
    ids += 1
    const { statusCode, body } = await request(`http://${node.addresses.front}/${route}/x`, { method: 'POST', headers: { host: HOST, 'x-hornbeamgap-request-id': `r${ids}`, 'x-hornbeamgap-deadline-ms': '2000' } })
    await body.dump()
    return statusCode
  }

  /** @throws if the condition is not met in time, with the last status and stages of the nodes */
  async function until (condition: () => Promise<boolean> | boolean, what = 'what the test waits for'): Promise<void> {
    try {
      await waitUntil(condition, { clock, what })
    } catch (cause) {
      const stages = deployment.lines.filter(({ event }) => event === 'rollout-stage').map(({ process, version, stage }) => `${process} ${version} ${stage}`)
      throw new Error(`the roll-out is ${JSON.stringify(status())}, stages: ${stages.join(', ')}`, { cause })
    }
  }

  function order (version: string, durationS = 6): void {
    deployment.store.store.put(STORE_KEY.rolloutOrders + SERVICE, JSON.stringify({ service: SERVICE, to: version, durationS }))
  }

  function status (): { state?: string, to?: string } {
    return JSON.parse(deployment.store.store.get(STATUS_KEY.rollouts + SERVICE)?.value ?? '{}')
  }

  const runsOf = (upstreams: readonly UpstreamStandIn[]): number => upstreams.reduce((sum, { runs }) => sum + runs.length, 0)

  const runningAt = (upstreams: readonly UpstreamStandIn[]): number => upstreams.reduce((sum, upstream) => sum + upstream.activeRequests(), 0)

  const countLogged = (event: string): number => deployment.lines.filter((line) => line.event === event).length

  // Failure guarded against: requests are cut off at the end of a roll-out. The old upstreams stop without notice as soon
  // as the status is done, while a node still dispatches to them or requests still run there.
  it('of a good version is done once nothing runs at the old version', async () => {
    order('v2')
    for (const upstream of newUpstreams) deployment.register(upstream, { version: 'v2' })
    await until(() => status().state === 'running', 'the beginning of the roll-out')
    await until(() => status().state === 'done', 'the end of the roll-out')
    const runs = runsOf(oldUpstreams)
    assert.equal(runningAt(oldUpstreams), 0)
    assert.equal(status().to, 'v2')
    for (const upstream of oldUpstreams) deployment.unregister(upstream)
    const served = runsOf(newUpstreams)
    await until(() => runsOf(newUpstreams) > served + 50)
    assert.equal(runsOf(oldUpstreams), runs)
  })

  // Failure guarded against: one in ten requests fails for the whole trial. Failures of the new version that follow each
  // other closely are counted as a single crash of one upstream, so that the version is not found bad.
  it('of a failing version is rolled back, and the version gets no more requests', async () => {
    for (const upstream of newUpstreams) upstream.setBehaviour(() => 'error')
    order('v2')
    for (const upstream of newUpstreams) deployment.register(upstream, { version: 'v2' })
    await until(() => status().state === 'rolled_back')
    await until(() => nodes.every((_, index) => deployment.lines.some((line) => line.process === `node-${index + 1}` && line.event === 'rollout-stage' && line.stage === 'rolled-back')))
    const failed = runsOf(newUpstreams)
    const served = runsOf(oldUpstreams)
    assert.ok(failed <= served * 0.1 + 20, `${failed} of ${served} requests`)
    await until(() => runsOf(oldUpstreams) > served + 100)
    assert.equal(runsOf(newUpstreams), failed)
    // The new upstreams are still registered for some seconds. A node that starts now has no evidence of its own.
    const lateNode = await deployment.startNode('node-4')
    await until(async () => await ask(lateNode, 'lookup') === 200)
    for (let count = 0; count < 60; count += 1) await ask(lateNode, 'lookup')
    assert.equal(runsOf(newUpstreams), failed)
  })

  // Failure guarded against: a new version gets more requests than its bounds allow. Orders and upstreams are received by
  // separate watches, so a node may see upstreams of the new version before the order and use them like any others.
  it('limits the requests to upstreams of a version that was never seen before', async () => {
    order('v2', 600)
    await until(() => countLogged('rollout-ordered') === nodes.length)
    for (const upstream of newUpstreams) deployment.register(upstream, { version: 'v2' })
    await until(() => runsOf(newUpstreams) > 0)
    const exposed = runsOf(newUpstreams)
    const served = runsOf(oldUpstreams)
    assert.ok(exposed <= served * 0.1 + 5, `${exposed} of ${served}`)
  })

  // Failure guarded against: the operator orders another version during a trial, and the abandoned version still serves.
  it('for another version ends the trial of the present one', async () => {
    order('v2', 600)
    for (const upstream of newUpstreams) deployment.register(upstream, { version: 'v2' })
    await until(() => runsOf(newUpstreams) > 0)
    order('v3', 600)
    await until(() => status().to === 'v3' && deployment.lines.filter((line) => line.event === 'rollout-stage' && line.version === 'v3').length === nodes.length)
    const sentBefore = runsOf(newUpstreams)
    const served = runsOf(oldUpstreams)
    await until(() => runsOf(oldUpstreams) > served + 150)
    assert.equal(runsOf(newUpstreams), sentBefore)
  })

  it('is not needed for upstreams of another version to serve like the others', async () => {
    for (const upstream of newUpstreams) deployment.register(upstream, { version: 'v1.1' })
    await until(() => newUpstreams.every(({ runs }) => runs.length > 20))
    assert.equal(status().state, undefined)
  })

  it('with an unreadable order is logged and changes nothing', async () => {
    deployment.store.store.put(STORE_KEY.rolloutOrders + SERVICE, '{"service": 7}')
    await until(() => countLogged('rollout-order-unreadable') >= nodes.length)
    const served = runsOf(oldUpstreams)
    await until(() => runsOf(oldUpstreams) > served + 50)
  })
})
