/** Runs a deployment on the users' platform in one process: metadata store, API, upstreams and gateway nodes. */
import { createPlatform, gatewaySettingsSchema } from '../../platform/index.js'
import { STORE_KEY } from '../../platform/names.js'
import type { Clock } from '../../src/clock.js'
import { startGatewayNode } from '../../src/gateway/node.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import type { Registry } from '../../src/gateway/ports.js'
import type { GatewaySettings } from '../../src/gateway/settings.js'
import { createLog } from '../../src/log.js'
import { createFreshConnections } from '../../src/protocols/http.js'
import { createRandom } from '../../src/random.js'
import { serveDutyApi } from './duty-api.js'
import type { DutyApiStandIn } from './duty-api.js'
import { startNodesInThreads } from './node-threads.js'
import type { NodeThreads } from './node-threads.js'
import { serveMetadataStore } from './metadata-store.js'
import type { MetadataStoreStandIn } from './metadata-store.js'
import type { UpstreamStandIn } from './upstream.js'

/** What the registry tells of an upstream. */
export type RegisteredUpstream = Pick<UpstreamStandIn, 'id' | 'address'>

/** A running deployment. */
export interface MachineDeployment {
  readonly store: MetadataStoreStandIn
  readonly api: DutyApiStandIn
  /** Parsed log lines of all nodes. */
  readonly lines: readonly Record<string, unknown>[]
  /** Writes a configuration to the metadata store, as the operator does. */
  configure (configuration: object): void
  /** Registers an upstream, or replaces its record. `record` overrides the default fields. */
  register (upstream: RegisteredUpstream, record?: object): void
  unregister (upstream: Pick<RegisteredUpstream, 'id'>): void
  startNode (name: string): Promise<GatewayNode>
  /** Starts nodes with these names on threads of their own, which end with the deployment at the latest. */
  startNodesInThreads (names: readonly string[], nodesPerThread: number): Promise<NodeThreads>
  /** @param pathTo returns the address at which the node reaches an upstream with this registered address */
  startNodeWithPaths (name: string, pathTo: (address: string) => string): Promise<GatewayNode>
  close (): Promise<void>
}

/** Bounds of the nodes that differ from those of {@link createSettings}, by their names on the platform. */
export type NodeBounds = Readonly<Record<string, number>>

/** What a node is started with. */
export interface NodeOptions {
  readonly name: string
  /** Address of the metadata store. */
  readonly store: string
  /** Address of the API. */
  readonly api: string
  /** Seed of its random numbers. */
  readonly seed: number
  /** Whether a node of this name ran before. */
  readonly isRestart?: boolean
  readonly bounds?: NodeBounds
}

/** Maximum connections of a node to the metadata store and to the API, each. */
const CONNECTIONS = 16

/**
 * Starts the metadata store and the API. Upstreams are registered and nodes are started through the result.
 *
 * @example
 * const deployment = await createMachineDeployment(clock)
 * deployment.configure(configuration)
 */
export async function createMachineDeployment (clock: Clock, bounds: NodeBounds = {}): Promise<MachineDeployment> {
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  const lines: Record<string, unknown>[] = []
  const closeActions: (() => Promise<unknown>)[] = []
  const startedNames: string[] = []

  function createOptions (name: string): NodeOptions {
    const isRestart = startedNames.includes(name)
    startedNames.push(name)
    return { name, store: store.address, api: api.address, seed: startedNames.length, isRestart, bounds }
  }

  async function startNodeWithPaths (name: string, pathTo: (address: string) => string): Promise<GatewayNode> {
    const node = await runNode(clock, createOptions(name), addLine, pathTo)
    closeActions.unshift(() => node.stop())
    return node
  }

  function addLine (line: string): void {
    lines.push(JSON.parse(line))
  }

  return {
    store,
    api,
    lines,
    configure: (configuration) => { store.store.put(STORE_KEY.configuration, JSON.stringify(configuration)) },
    register: (upstream, record = {}) => {
      store.store.put(STORE_KEY.upstreams + upstream.id, JSON.stringify({ service: 'plain', address: upstream.address, zone: 'zone-a', slots: 6, state: 'ready', sequence: 1, ...record }))
    },
    unregister: (upstream) => {
      const entry = store.store.get(STORE_KEY.upstreams + upstream.id)
      if (entry !== undefined) store.store.compareAndDelete(entry.key, entry.revision)
    },
    startNode: (name) => startNodeWithPaths(name, (address) => address),
    startNodeWithPaths,
    startNodesInThreads: async (names, nodesPerThread) => {
      const threads = await startNodesInThreads(names.map(createOptions), nodesPerThread, addLine)
      closeActions.unshift(() => threads.stop())
      return threads
    },
    close: async () => {
      await Promise.all(closeActions.map((close) => close()))
      await Promise.all([store.kill(), api.kill()])
    }
  }
}

/**
 * Starts a gateway node. It stops with its connections to the store and the API.
 *
 * @param write receives its log lines
 * @param pathTo returns the address at which the node reaches an upstream with this registered address
 * @example
 * const node = await runNode(clock, { name: 'node-1', store: store.address, api: api.address, seed: 1 }, (line) => lines.push(line))
 */
export async function runNode (clock: Clock, options: NodeOptions, write: (line: string) => void, pathTo = (address: string): string => address): Promise<GatewayNode> {
  const settings = createSettings(options)
  const connections = createFreshConnections(CONNECTIONS)
  const platform = createPlatform(() => settings, connections)
  const node = await startGatewayNode({
    settings,
    platform: { ...platform, registry: redirect(platform.registry, pathTo) },
    clock,
    random: createRandom(options.seed),
    log: createLog(options.name, 'info', clock.wall, write)
  })
  return {
    addresses: node.addresses,
    stop: async () => {
      await node.stop()
      await connections.destroy()
    }
  }
}

function createSettings ({ name, store, api, isRestart = false, bounds }: NodeOptions): GatewaySettings {
  return gatewaySettingsSchema.parse({
    nodeName: name,
    ip: '127.0.0.1',
    zone: 'zone-a',
    internalPorts: [0, 0],
    bootstrap: !isRestart,
    zones: { 'zone-a': 'region' },
    listen: { front: '127.0.0.1:0', ready: '127.0.0.1:0', directory: '127.0.0.1:0' },
    limits: { memoryMb: 350, maxFds: 4_100 },
    bounds: { graceS: 2, leaseMs: 1_000, retryBudgetRatio: 0.2, budgetExtra: 50, ...bounds },
    platform: { address: store },
    cloudApi: { address: api, duties: ['usage', 'autoscale'] }
  })
}

/** Replaces the addresses of upstreams that a registry returns. */
function redirect (registry: Registry, pathTo: (address: string) => string): Registry {
  return {
    ...registry,
    readUpstream: (id, value) => {
      const parsed = registry.readUpstream(id, value)
      return parsed.kind === 'usable' ? { ...parsed, record: { ...parsed.record, address: pathTo(parsed.record.address) } } : parsed
    }
  }
}
