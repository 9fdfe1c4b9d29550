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
import { serveMetadataStore } from './metadata-store.js'
import type { MetadataStoreStandIn } from './metadata-store.js'
import type { UpstreamStandIn } from './upstream.js'

/** A running deployment. */
export interface MachineDeployment {
  readonly store: MetadataStoreStandIn
  readonly api: DutyApiStandIn
  /** Parsed log lines of all nodes. */
  readonly lines: readonly Record<string, unknown>[]
  /** Writes a configuration to the metadata store, as the operator does. */
  configure (configuration: object): void
  /** Registers an upstream, or replaces its record. `record` overrides the default fields. */
  register (upstream: UpstreamStandIn, record?: object): void
  unregister (upstream: UpstreamStandIn): void
  startNode (name: string): Promise<GatewayNode>
  /** @param pathTo returns the address at which the node reaches an upstream with this registered address */
  startNodeWithPaths (name: string, pathTo: (address: string) => string): Promise<GatewayNode>
  close (): Promise<void>
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
export async function createMachineDeployment (clock: Clock): Promise<MachineDeployment> {
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  const lines: Record<string, unknown>[] = []
  const closeActions: (() => Promise<unknown>)[] = []
  let startedNodes = 0

  function createSettings (name: string): GatewaySettings {
    startedNodes += 1
    return gatewaySettingsSchema.parse({
      nodeName: name,
      ip: '127.0.0.1',
      zone: 'zone-a',
      internalPorts: [0, 0],
      bootstrap: true,
      zones: { 'zone-a': 'region' },
      listen: { front: '127.0.0.1:0', ready: '127.0.0.1:0', directory: '127.0.0.1:0' },
      limits: { memoryMb: 350, maxFds: 4_100 },
      bounds: { graceS: 2, leaseMs: 1_000, retryBudgetRatio: 0.2, budgetExtra: 50 },
      platform: { address: store.address },
      cloudApi: { address: api.address, duties: ['usage', 'autoscale'] }
    })
  }

  async function startNodeWithPaths (name: string, pathTo: (address: string) => string): Promise<GatewayNode> {
    const settings = createSettings(name)
    const connections = createFreshConnections(CONNECTIONS)
    const platform = createPlatform(() => settings, connections)
    const node = await startGatewayNode({
      settings,
      platform: { ...platform, registry: redirect(platform.registry, pathTo) },
      clock,
      random: createRandom(startedNodes),
      log: createLog(name, 'info', clock.wall, (line) => { lines.push(JSON.parse(line)) })
    })
    closeActions.unshift(async () => {
      await node.stop()
      await connections.destroy()
    })
    return node
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
    close: async () => {
      await Promise.all(closeActions.map((close) => close()))
      await Promise.all([store.kill(), api.kill()])
    }
  }
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
