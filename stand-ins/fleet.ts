/**
 * Servers on the instances of a stand-in platform. The start of an instance boots its server, a reclaim
 * notice marks the instance as leaving in the instance list, and the end of the instance kills the server.
 */
import type { CloudInstance } from '../src/capacity/index.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import { every } from '../src/clock.js'
import { instanceNameSchema, upstreamNameSchema } from '../src/identifiers.js'
import type { InstanceName, ServiceName, UpstreamName } from '../src/identifiers.js'
import type { Random } from '../src/random.js'
import { instanceSchema } from '../src/upstream/index.js'
import type { Instance } from '../src/upstream/index.js'
import type { CloudState } from './cloud-state.js'
import { serveEngine } from './engine.js'
import type { EngineShape, EngineStandIn } from './engine.js'
import type { InstanceListStandIn } from './instance-list.js'
import type { EngineShapeSample, UpstreamGroup } from './platform-sample.js'
import { servePlainService } from './plain-service.js'
import type { BookingLedger, PlainServiceStandIn } from './plain-service.js'
import type { WeightStoreStandIn } from './weight-store.js'

/** Server on an instance. */
export type Server =
  | { kind: 'engine', service: ServiceName, engine: EngineStandIn }
  | { kind: 'plain', service: ServiceName, plain: PlainServiceStandIn }

/** Servers of a deployment's upstreams. */
export interface Fleet {
  engines (): readonly EngineStandIn[]
  plainServices (): readonly PlainServiceStandIn[]
  /** All engines that have been booted, dead ones included. */
  allEngines (): readonly EngineStandIn[]
  /** Boots the server of an instance that the cloud has started. */
  boot (instance: CloudInstance): Promise<void>
  /** Kills the server of an instance that has ended. */
  end (instance: CloudInstance): void
  /** Name of the instance that an upstream runs on. */
  instanceOf (upstream: UpstreamName): InstanceName
  kill (): Promise<void>
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly clock: Clock
  readonly random: Random
  readonly groups: readonly UpstreamGroup[]
  readonly group: string
  readonly cloud: () => CloudState
  readonly instanceList: InstanceListStandIn
  readonly weightStore: WeightStoreStandIn
  readonly ledger: BookingLedger
  readonly serverStart: Milliseconds
  readonly signal: AbortSignal
}

interface RunningServer {
  readonly machine: CloudInstance
  readonly server: Server
}

/** Interval at which the instance list is synchronised with the cloud. */
const SYNC_PERIOD: Milliseconds = 50

const INSTANCE_PREFIX = 'instance-'

/**
 * Creates a fleet without servers.
 *
 * @example
 * const fleet = createFleet(options)
 * await fleet.boot(instance)
 */
export function createFleet (options: FleetOptions): Fleet {
  const { clock, instanceList, signal } = options
  const running = new Map<InstanceName, RunningServer>()
  const bootCounts = new Map<ServiceName, number>()
  const bootedEngines: EngineStandIn[] = []
  let lastFingerprint = ''

  /** Updates the instance list. An instance that is being reclaimed is listed as leaving. */
  function synchronise (): void {
    const reclaiming = new Set(options.cloud().list(options.group).filter((instance) => instance.state === 'reclaiming').map((instance) => instance.name))
    const others = instanceList.current().filter((instance) => instance.role.kind !== 'upstream')
    const upstreams = [...running.values()].map((entry) => toInstance(entry, reclaiming.has(entry.machine.name)))
    const fingerprint = JSON.stringify(upstreams)
    if (fingerprint === lastFingerprint) return
    lastFingerprint = fingerprint
    instanceList.set([...others, ...upstreams])
  }

  async function boot (instance: CloudInstance): Promise<void> {
    const group = options.groups.find((candidate) => candidate.service === instance.service)
    if (group === undefined || running.has(instance.name)) return
    const index = bootCounts.get(instance.service) ?? 0
    bootCounts.set(instance.service, index + 1)
    if (options.serverStart > 0) await clock.sleep(options.serverStart, signal)
    const server = await serve(options, group, instance, index)
    running.set(instance.name, { machine: instance, server })
    if (server.kind === 'engine') bootedEngines.push(server.engine)
    synchronise()
  }

  function end (instance: CloudInstance): void {
    const entry = running.get(instance.name)
    running.delete(instance.name)
    if (entry !== undefined) killServer(entry.server).catch(() => {})
    synchronise()
  }

  every(clock, SYNC_PERIOD, signal, synchronise, () => {}).catch(() => {})

  const servers = (): Server[] => [...running.values()].map((entry) => entry.server)
  return {
    boot,
    end,
    engines: () => servers().flatMap((server) => server.kind === 'engine' ? [server.engine] : []),
    allEngines: () => bootedEngines,
    plainServices: () => servers().flatMap((server) => server.kind === 'plain' ? [server.plain] : []),
    instanceOf: (upstream) => instanceNameSchema.parse(INSTANCE_PREFIX + upstream),
    kill: async () => { await Promise.all(servers().map(killServer)) }
  }
}

/**
 * Returns the name of the instance of an upstream that is started with the platform.
 *
 * @example
 * initialInstance('engine', 1) // 'instance-engine-1'
 */
export function initialInstance (kind: string, number: number): InstanceName {
  return instanceNameSchema.parse(`${INSTANCE_PREFIX}${kind}-${number}`)
}

async function serve (options: FleetOptions, group: UpstreamGroup, instance: CloudInstance, index: number): Promise<Server> {
  const { clock, random } = options
  const upstream = upstreamNameSchema.parse(instance.name.startsWith(INSTANCE_PREFIX) ? instance.name.slice(INSTANCE_PREFIX.length) : instance.name)
  // Only the servers that are started with the platform have fixed ports.
  const port = group.first_port === 0 || index >= group.count ? 0 : group.first_port + index
  if (group.protocol === 'plain') {
    const plain = await servePlainService({ port, upstream, clock, random, ledger: options.ledger, duration: group.call_ms })
    return { kind: 'plain', service: group.service, plain }
  }
  const engine = await serveEngine({
    port,
    upstream,
    clock,
    random,
    shape: toShape(group.shape),
    checkFencing: group.check_fencing,
    ...(group.model === undefined ? {} : { models: [group.model], adapters: group.adapters }),
    loadWeights: (name, loading) => options.weightStore.fetch(upstream, name, loading)
  })
  return { kind: 'engine', service: group.service, engine }
}

function toShape (sample: EngineShapeSample): Partial<EngineShape> {
  const shape: Partial<Record<keyof EngineShape, number | undefined>> = {
    prefillRate: sample.prefill_tokens_per_ms,
    tokenTime: sample.token_ms,
    batch: sample.batch,
    batchCost: sample.batch_cost,
    cacheTokens: sample.cache_tokens,
    linkRate: sample.link_tokens_per_ms,
    loadLag: sample.load_lag_ms,
    cacheFeedDelay: sample.cache_feed_delay_ms
  }
  return Object.fromEntries(Object.entries(shape).filter(([, value]) => value !== undefined))
}

function toInstance ({ machine: instance, server }: RunningServer, leaving: boolean): Instance {
  const standIn = server.kind === 'engine' ? server.engine : server.plain
  return instanceSchema.parse({
    name: instance.name,
    failureDomain: instance.failureDomain,
    machineClass: instance.machineClass,
    address: standIn.address,
    role: { kind: 'upstream', upstream: standIn.upstream, service: server.service, protocol: server.kind === 'engine' ? 'model' : 'plain' },
    state: leaving ? 'leaving' : 'live',
    reclaimable: instance.market === 'reclaimable'
  })
}

function killServer (server: Server): Promise<void> {
  switch (server.kind) {
    case 'engine': return server.engine.kill()
    case 'plain': return server.plain.kill()
  }
}
