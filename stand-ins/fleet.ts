/**
 * The machines of a stand-in platform and what runs on them: an instance that the cloud starts boots
 * its server, a notice marks it as leaving in the instance list, and its end kills the server.
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

/** A server on a machine. */
export type Server =
  | { kind: 'engine', service: ServiceName, engine: EngineStandIn }
  | { kind: 'plain', service: ServiceName, plain: PlainServiceStandIn }

/** The machines of a deployment's upstreams. */
export interface Fleet {
  engines (): readonly EngineStandIn[]
  plainServices (): readonly PlainServiceStandIn[]
  /** Every engine that was ever booted, dead ones included. */
  everyEngine (): readonly EngineStandIn[]
  /** Boots the server of a machine that the cloud has started. */
  boot (machine: CloudInstance): Promise<void>
  /** Kills the server of a machine that has ended. */
  end (machine: CloudInstance): void
  /** Machine that an upstream runs on. */
  instanceOf (upstream: UpstreamName): InstanceName
  kill (): Promise<void>
}

/** What a fleet is made of. */
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

interface Place {
  readonly machine: CloudInstance
  readonly server: Server
}

/** How often the list is brought in line with the cloud. */
const SYNC_PERIOD: Milliseconds = 50

const INSTANCE_PREFIX = 'instance-'

/**
 * @example
 * const fleet = createFleet(options)
 * await fleet.boot(machine)
 */
export function createFleet (options: FleetOptions): Fleet {
  const { clock, instanceList, signal } = options
  const places = new Map<InstanceName, Place>()
  const booted = new Map<ServiceName, number>()
  const everyEngine: EngineStandIn[] = []
  let listed = ''

  /** Shows the machines as the cloud has them; a machine under notice is leaving. */
  function sync (): void {
    const reclaiming = new Set(options.cloud().list(options.group).filter((machine) => machine.state === 'reclaiming').map((machine) => machine.name))
    const others = instanceList.current().filter((instance) => instance.role.kind !== 'upstream')
    const upstreams = [...places.values()].map((place) => toInstance(place, reclaiming.has(place.machine.name)))
    const fingerprint = JSON.stringify(upstreams)
    if (fingerprint === listed) return
    listed = fingerprint
    instanceList.set([...others, ...upstreams])
  }

  async function boot (machine: CloudInstance): Promise<void> {
    const group = options.groups.find((candidate) => candidate.service === machine.service)
    if (group === undefined || places.has(machine.name)) return
    const index = booted.get(machine.service) ?? 0
    booted.set(machine.service, index + 1)
    if (options.serverStart > 0) await clock.sleep(options.serverStart, signal)
    const server = await serve(options, group, machine, index)
    places.set(machine.name, { machine, server })
    if (server.kind === 'engine') everyEngine.push(server.engine)
    sync()
  }

  function end (machine: CloudInstance): void {
    const place = places.get(machine.name)
    places.delete(machine.name)
    if (place !== undefined) killServer(place.server).catch(() => {})
    sync()
  }

  every(clock, SYNC_PERIOD, signal, sync, () => {}).catch(() => {})

  const servers = (): Server[] => [...places.values()].map((place) => place.server)
  return {
    boot,
    end,
    engines: () => servers().flatMap((server) => server.kind === 'engine' ? [server.engine] : []),
    everyEngine: () => everyEngine,
    plainServices: () => servers().flatMap((server) => server.kind === 'plain' ? [server.plain] : []),
    instanceOf: (upstream) => instanceNameSchema.parse(INSTANCE_PREFIX + upstream),
    kill: async () => { await Promise.all(servers().map(killServer)) }
  }
}

/**
 * Name of the machine that an upstream of the start runs on.
 *
 * @example
 * initialInstance('engine', 1) // 'instance-engine-1'
 */
export function initialInstance (kind: string, number: number): InstanceName {
  return instanceNameSchema.parse(`${INSTANCE_PREFIX}${kind}-${number}`)
}

async function serve (options: FleetOptions, group: UpstreamGroup, machine: CloudInstance, index: number): Promise<Server> {
  const { clock, random } = options
  const upstream = upstreamNameSchema.parse(machine.name.startsWith(INSTANCE_PREFIX) ? machine.name.slice(INSTANCE_PREFIX.length) : machine.name)
  // Servers that are started later take any port: fixed ones are for those of the start.
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

function toInstance ({ machine, server }: Place, leaving: boolean): Instance {
  const standIn = server.kind === 'engine' ? server.engine : server.plain
  return instanceSchema.parse({
    name: machine.name,
    failureDomain: machine.failureDomain,
    machineClass: machine.machineClass,
    address: standIn.address,
    role: { kind: 'upstream', upstream: standIn.upstream, service: server.service, protocol: server.kind === 'engine' ? 'model' : 'plain' },
    state: leaving ? 'leaving' : 'live',
    reclaimable: machine.market === 'reclaimable'
  })
}

function killServer (server: Server): Promise<void> {
  switch (server.kind) {
    case 'engine': return server.engine.kill()
    case 'plain': return server.plain.kill()
  }
}
