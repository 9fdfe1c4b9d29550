/** A small complete deployment in one process: platform stand-ins, upstreams and entry nodes. */
import type { Clock } from '../src/clock.js'
import { configurationRevisionSchema } from '../src/configuration/index.js'
import type { Configuration } from '../src/configuration/index.js'
import { sha256 } from '../src/credentials.js'
import { CONFIGURATION_KEY } from '../src/entry/configuration-watcher.js'
import type { EntryNode } from '../src/entry/node.js'
import type { Address } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import { entrySettingsSchema } from '../src/settings.js'
import type { EntrySettings } from '../src/settings.js'
import type { CloudStandIn } from './cloud.js'
import type { EngineStandIn } from './engine.js'
import { createEntryFleet } from './entry-fleet.js'
import type { Fleet } from './fleet.js'
import type { InstanceListStandIn } from './instance-list.js'
import type { KeyValueStandIn } from './key-value.js'
import { startPlatform } from './platform.js'
import type { Platform } from './platform.js'
import { platformSampleSchema } from './platform-sample.js'
import type { EngineShapeSample, PlatformSample } from './platform-sample.js'
import type { BookingLedger, PlainServiceStandIn } from './plain-service.js'

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly clock: Clock
  readonly seed: number
  readonly entries: number
  readonly engines: number
  /** Number of processes of the plain service. Default 0. */
  readonly plainServices?: number
  readonly logLevel: 'info' | 'warn' | 'silent'
  readonly engineShape?: EngineShapeSample
  /** Whether engines refuse orders with an older fencing number. Default true. */
  readonly checkFencing?: boolean
  /** Settings that replace the defaults of each entry node, with names as in its TOML file. */
  readonly entrySettings?: Readonly<Record<string, unknown>>
}

/** A running deployment. */
export interface Deployment {
  readonly platform: Platform
  readonly keyValue: KeyValueStandIn
  readonly instanceList: InstanceListStandIn
  readonly cloud: CloudStandIn
  readonly fleet: Fleet
  readonly ledger: BookingLedger
  /** Engines started with the deployment, dead ones included. */
  readonly engines: readonly EngineStandIn[]
  /** Plain services started with the deployment, dead ones included. */
  readonly plainServices: readonly PlainServiceStandIn[]
  readonly entries: readonly EntryNode[]
  readonly addresses: readonly Address[]
  /** Bearer key of the organisation `tejo`. */
  readonly key: string
  /** Bearer key of the organisation `ribeira`. */
  readonly otherKey: string
  readonly operatorKey: string
  /** Starts another entry node. */
  addEntry (): Promise<EntryNode>
  kill (): Promise<void>
}

const FAILURE_DOMAINS = ['zone-a', 'zone-b', 'zone-c']
const TEJO_KEY = 'tejo-key-for-demonstration'
const RIBEIRA_KEY = 'ribeira-key-for-demonstration'
const OPERATOR_KEY = 'operator-key'
const PEER_KEY = 'peer-key-for-demonstration'
const MODEL = 'assistant-7b'

/**
 * Starts a deployment with the classes `service-plan`, `short-question`, `booking` and
 * `roster-lookup`, and the organisations `tejo` and `ribeira`.
 *
 * @example
 * const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 3, logLevel: 'silent' })
 */
export async function startDeployment (options: DeploymentOptions): Promise<Deployment> {
  const { clock, seed } = options
  const platform = await startPlatform({ clock, random: createRandom(seed), sample: samplePlatform(options) })
  storeConfiguration(platform.keyValue, sampleConfiguration())
  const entryFleet = createEntryFleet({ platform, clock, seed, group: 'sample-entries', machineClass: 'general' })
  const { entries } = entryFleet
  const addEntry = (): Promise<EntryNode> => entryFleet.add(entrySettings(platform, options, entries.length))
  for (let index = 0; index < options.entries; index += 1) await addEntry()
  return {
    platform,
    keyValue: platform.keyValue,
    instanceList: platform.instanceList,
    cloud: platform.cloud,
    fleet: platform.fleet,
    ledger: platform.ledger,
    engines: platform.fleet.engines(),
    plainServices: platform.fleet.plainServices(),
    entries,
    addresses: entries.map((entry) => entry.address),
    key: TEJO_KEY,
    otherKey: RIBEIRA_KEY,
    operatorKey: OPERATOR_KEY,
    addEntry,
    kill: async () => {
      await entryFleet.kill()
      await platform.kill()
    }
  }
}

/**
 * Writes a first configuration revision directly into the key-value stand-in, as if an operator had applied it.
 *
 * @example
 * storeConfiguration(platform.keyValue, configuration)
 */
export function storeConfiguration (keyValue: KeyValueStandIn, configuration: unknown): void {
  const revision = configurationRevisionSchema.parse({
    revision: 1,
    changeId: 'sample-change',
    author: 'demonstration',
    reason: 'first configuration',
    changedAt: 0,
    configuration
  })
  keyValue.store.put(CONFIGURATION_KEY, JSON.stringify(revision))
}

function samplePlatform (options: DeploymentOptions): PlatformSample {
  const plain = options.plainServices ?? 0
  return platformSampleSchema.parse({
    group: 'sample',
    failure_domains: FAILURE_DOMAINS,
    weight_store: { bytes_per_ms: 1_000_000, models: [{ model: MODEL, bytes: 1_000_000 }] },
    offers: FAILURE_DOMAINS.flatMap((domain) => [
      { failure_domain: domain, machine_class: 'accelerated', market: 'reclaimable', price_per_hour: 1 },
      { failure_domain: domain, machine_class: 'accelerated', market: 'on-demand', price_per_hour: 3 },
      { failure_domain: domain, machine_class: 'general', market: 'reclaimable', price_per_hour: 0.1 },
      { failure_domain: domain, machine_class: 'general', market: 'on-demand', price_per_hour: 0.3 }
    ]),
    upstreams: [
      ...(options.engines === 0 ? [] : [{ service: 'servicing-assistant', protocol: 'model', count: options.engines, machine_class: 'accelerated', model: MODEL, check_fencing: options.checkFencing ?? true, shape: options.engineShape ?? {} }]),
      ...(plain === 0 ? [] : [{ service: 'dispatch', protocol: 'plain', count: plain, machine_class: 'general' }])
    ]
  })
}

function entrySettings (platform: Platform, options: DeploymentOptions, index: number): EntrySettings {
  return entrySettingsSchema.parse({
    instance: `entry-${index + 1}`,
    failure_domain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
    listen: '127.0.0.1:0',
    peer_listen: '127.0.0.1:0',
    log_level: options.logLevel,
    operator_key_sha256: sha256(OPERATOR_KEY),
    peer_key: PEER_KEY,
    platform: platformSettings(platform),
    ...options.entrySettings
  })
}

/**
 * Returns the addresses of a platform's services in the form of the settings of entry nodes and planners.
 *
 * @example
 * entrySettingsSchema.parse({ ...settings, platform: platformSettings(platform) })
 */
export function platformSettings (platform: Platform): EntrySettings['platform'] {
  return {
    key_value: [platform.keyValue.address],
    instance_list: platform.instanceList.address,
    cloud: platform.cloud.address,
    weight_store: platform.weightStore.address
  }
}

function sampleConfiguration (): unknown {
  const modelTarget = { first_token_ms: 560, between_tokens_ms: 34, quantile: 0.95, reliability: 0.999 }
  return {
    deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
    services: [
      { kind: 'model', name: 'servicing-assistant', model: MODEL },
      { kind: 'plain', name: 'dispatch' }
    ],
    organisations: [
      { name: 'tejo', key_sha256: [sha256(TEJO_KEY)] },
      { name: 'ribeira', key_sha256: [sha256(RIBEIRA_KEY)] }
    ],
    classes: [
      { name: 'service-plan', service: 'servicing-assistant', idempotent: true, target: { ...modelTarget, whole_answer_ms: 30_000 } },
      { name: 'short-question', service: 'servicing-assistant', idempotent: true, target: { ...modelTarget, whole_answer_ms: 8_000 } },
      { name: 'booking', service: 'dispatch', idempotent: false, target: { whole_answer_ms: 2_000, quantile: 0.99, reliability: 0.999 } },
      { name: 'roster-lookup', service: 'dispatch', idempotent: true, target: { whole_answer_ms: 1_000, quantile: 0.99, reliability: 0.999 } }
    ]
  } satisfies { [key in keyof Configuration]: unknown }
}
