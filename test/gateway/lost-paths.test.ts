/** Nodes that lose the path to all upstreams while callers, the store and the other nodes still reach them. */
import assert from 'node:assert/strict'
import { after, afterEach, before, describe, it } from 'node:test'
import { request } from 'undici'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { openSeverablePath } from '../../stand-ins/machines/severable-path.js'
import type { SeverablePath, Severance } from '../../stand-ins/machines/severable-path.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'
import { startPacedClock } from '../../stand-ins/paced-clock.js'
import { waitUntil } from '../wait-until.js'

/**
 * All nodes and upstreams share one process. With the clock of the system, a process that waits for its turn on a busy machine delays
 * all answers, so that nodes take sound upstreams and each other for silent.
 */
const clock = startPacedClock()
const HOST = 'api.example'
const KINDS = ['idempotent', 'non_idempotent', 'streaming'] as const
type Kind = typeof KINDS[number]

/** Nodes without a path, and nodes with all paths. */
const SEVERED_NODES = 2
const CONNECTED_NODES = 2

/** Time after the loss of the paths from which callers of these nodes are to be served again. */
const RECOVERY_TIME: Milliseconds = 3 * SECOND

/** Callers of nodes without a path are to be served at least two thirds as often as those of the others. */
const MIN_SERVED_RATIO = 2 / 3

/** First attempts for each node and kind, which are counted after the recovery time. */
const COUNTED_ATTEMPTS = 12

/** Pause between two requests of the single caller of each node and kind. */
const CALL_INTERVAL: Milliseconds = 100

/** Time after which a caller gives up a request. */
const ANSWER_TIMEOUT: Milliseconds = 1_500

/** Longest wait for nodes and paths. */
const WAIT_LIMIT: Milliseconds = 20 * SECOND

/** Time limit of a test, in the time of the machine. */
const TEST_TIMEOUT: Milliseconds = 120_000

const configuration = {
  version: 1,
  routes: KINDS.map((kind) => ({ name: kind, host: HOST, prefix: `/${kind}/`, kind, timeoutMs: 2_000, targetLatencyMs: 400, service: kind === 'streaming' ? 'model' : 'plain', maxAttempts: 2 })),
  services: [{ name: 'plain', maxConns: 500 }, { name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }]
}

let lastId = 0

/** Sends one attempt. @returns whether it was answered with success */
async function isServed (node: GatewayNode, kind: Kind): Promise<boolean> {
  lastId += 1
  const headers: Record<string, string> = { host: HOST, 'x-hornbeamgap-request-id': `r${lastId}`, 'x-hornbeamgap-deadline-ms': '1000' }
  if (kind === 'streaming') headers['x-hornbeamgap-token-usage'] = '100,10'
  const controller = new AbortController()
  const cancel = clock.schedule(ANSWER_TIMEOUT, () => controller.abort())
  try {
    const { statusCode, body } = await request(`http://${node.addresses.front}/${kind}/x`, { method: kind === 'idempotent' ? 'GET' : 'POST', headers, signal: controller.signal, ...(kind === 'idempotent' ? {} : { body: 'a body' }) })
    await body.dump()
    return statusCode === 200
  } catch {
    return false
  } finally {
    cancel()
  }
}

describe(`${SEVERED_NODES} of ${SEVERED_NODES + CONNECTED_NODES} nodes without a path to any upstream`, () => {
  let deployment: MachineDeployment
  let upstreams: UpstreamStandIn[]
  let paths: SeverablePath[]
  let severed: GatewayNode[]
  let connected: GatewayNode[]

  before(async () => {
    deployment = await createMachineDeployment(clock)
    upstreams = await Promise.all(['p-1', 'p-2', 'm-1', 'm-2'].map((id) => serveUpstream({ id, clock })))
    deployment.configure(configuration)
    for (const upstream of upstreams) deployment.register(upstream, { service: upstream.id.startsWith('p') ? 'plain' : 'model', slots: 64 })
    paths = []
    severed = await Promise.all(Array.from({ length: SEVERED_NODES }, (_, index) => startSeverableNode(`severed-${index}`)))
    connected = await Promise.all(Array.from({ length: CONNECTED_NODES }, (_, index) => deployment.startNode(`connected-${index}`)))
    for (const node of [...severed, ...connected]) await untilAllServed(node)
  })

  afterEach(async () => {
    await Promise.all(paths.map((path) => path.restore()))
    for (const node of severed) await untilAllServed(node)
  }, { timeout: TEST_TIMEOUT })

  after(async () => {
    await deployment?.close()
    await Promise.all([...(paths ?? []), ...(upstreams ?? [])].map((opened) => opened.close()))
    clock.stop()
  })

  async function startSeverableNode (name: string): Promise<GatewayNode> {
    const opened = await Promise.all(upstreams.map(async ({ address }) => [address, await openSeverablePath(address)] as const))
    const byAddress = new Map(opened)
    paths.push(...byAddress.values())
    return deployment.startNodeWithPaths(name, (address) => byAddress.get(address)?.address ?? address)
  }

  async function untilAllServed (node: GatewayNode): Promise<void> {
    await waitUntil(async () => (await Promise.all(KINDS.map((kind) => isServed(node, kind)))).every(Boolean), { clock, what: `answers of all kinds at ${node.addresses.front}`, limit: WAIT_LIMIT, interval: CALL_INTERVAL })
  }

  /** Sends requests of all kinds to all these nodes at a steady rate. @returns the fraction that was served */
  async function servedFraction (nodes: readonly GatewayNode[], attempts: number): Promise<number> {
    const results: Promise<boolean>[] = []
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      for (const node of nodes) results.push(...KINDS.map((kind) => isServed(node, kind)))
      await clock.sleep(CALL_INTERVAL)
    }
    return (await Promise.all(results)).filter(Boolean).length / results.length
  }

  /** Number of paths that are lost now, by the lines of the nodes. */
  function lostPaths (): number {
    const count = (event: string): number => deployment.lines.filter((line) => line.event === event).length
    return count('path-lost') - count('path-regained')
  }

  // Guards against callers of a node that lost its paths being served far worse than others: the node takes each upstream for
  // failed, tries the next one over the same lost link until the request's time is up, and uses no node that reaches them.
  for (const how of ['silent', 'reset', 'refuse'] satisfies Severance[]) {
    it(`serve their callers two thirds as often as the others at least, paths ${how}`, { timeout: TEST_TIMEOUT }, async () => {
      await Promise.all(paths.map((path) => path.sever(how)))
      await servedFraction([...severed, ...connected], RECOVERY_TIME / CALL_INTERVAL)
      const [without, others] = await Promise.all([severed, connected].map((nodes) => servedFraction(nodes, COUNTED_ATTEMPTS)))
      assert.ok(without! >= MIN_SERVED_RATIO * others!, `${without} of the attempts at nodes without a path were served, ${others} at the others`)
    })
  }
  // Guards against connections that are relayed for good: they load other nodes and break off with them.
  it('use their own paths again once these are restored', { timeout: TEST_TIMEOUT }, async () => {
    await untilPathsRegained()
    await Promise.all(paths.map((path) => path.sever('silent')))
    await waitUntil(async () => {
      await servedFraction(severed, 1)
      return lostPaths() >= paths.length
    }, { clock, what: 'the loss of all severed paths', limit: WAIT_LIMIT })
    await Promise.all(paths.map((path) => path.restore()))
    await untilPathsRegained()
  })

  async function untilPathsRegained (): Promise<void> {
    await waitUntil(() => lostPaths() <= 0, { clock, what: 'the use of all paths', limit: WAIT_LIMIT, interval: CALL_INTERVAL })
  }
})
