/** A whole small deployment in one process: platform stand-ins, upstreams and entry nodes. */
import type { Clock } from '../src/clock.js'
import { configurationRevisionSchema } from '../src/configuration/index.js'
import { sha256 } from '../src/credentials.js'
import { CONFIGURATION_KEY } from '../src/entry/configuration-keeper.js'
import { startEntryNode } from '../src/entry/node.js'
import type { EntryNode } from '../src/entry/node.js'
import { upstreamNameSchema } from '../src/identifiers.js'
import type { Address } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import { entrySettingsSchema } from '../src/settings.js'
import { instanceSchema } from '../src/upstream/index.js'
import type { Instance } from '../src/upstream/index.js'
import { serveEngine } from './engine.js'
import type { EngineStandIn } from './engine.js'
import { serveInstanceList } from './instance-list.js'
import type { InstanceListStandIn } from './instance-list.js'
import { serveKeyValue } from './key-value.js'
import type { KeyValueStandIn } from './key-value.js'

/** A running deployment. */
export interface Deployment {
  readonly keyValue: KeyValueStandIn
  readonly instanceList: InstanceListStandIn
  readonly engines: readonly EngineStandIn[]
  readonly entries: readonly EntryNode[]
  readonly addresses: readonly Address[]
  /** Bearer key of the organisation `tejo`. */
  readonly key: string
  kill (): Promise<void>
}

const DOMAINS = ['zone-a', 'zone-b', 'zone-c']

/**
 * @example
 * const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 3, logLevel: 'silent' })
 */
export async function startDeployment (options: { clock: Clock, seed: number, entries: number, engines: number, logLevel: 'info' | 'silent' }): Promise<Deployment> {
  const { clock, seed } = options
  const random = createRandom(seed)
  const key = 'tejo-key-for-demonstration'
  const keyValue = await serveKeyValue({ port: 0, clock, random })
  const instanceList = await serveInstanceList({ port: 0, clock, random, lag: 0 })
  const engines = await Promise.all(Array.from({ length: options.engines }, (_, index) =>
    serveEngine({ port: 0, upstream: upstreamNameSchema.parse(`engine-${index + 1}`), clock, random })))
  instanceList.set(engines.map((engine, index) => engineInstance(engine, index)))
  keyValue.store.put(CONFIGURATION_KEY, JSON.stringify(sampleRevision(key)))
  const entries: EntryNode[] = []
  for (let index = 0; index < options.entries; index += 1) {
    entries.push(await startEntryNode({ settings: entrySettings(index, keyValue, instanceList, options.logLevel), clock, random: createRandom(seed + index + 1) }))
  }
  return {
    keyValue,
    instanceList,
    engines,
    entries,
    addresses: entries.map((entry) => entry.address),
    key,
    kill: async () => {
      await Promise.all(entries.map((entry) => entry.kill()))
      await Promise.all([...engines, keyValue, instanceList].map((standIn) => standIn.kill()))
    }
  }
}

function engineInstance (engine: EngineStandIn, index: number): Instance {
  return instanceSchema.parse({
    name: `instance-${engine.upstream}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
    machineClass: 'accelerated',
    address: engine.address,
    role: { kind: 'upstream', upstream: engine.upstream, service: 'servicing-assistant', protocol: 'model' },
    state: 'live'
  })
}

function entrySettings (index: number, keyValue: KeyValueStandIn, instanceList: InstanceListStandIn, logLevel: string) {
  return entrySettingsSchema.parse({
    instance: `entry-${index + 1}`,
    failure_domain: DOMAINS[index % DOMAINS.length],
    listen: '127.0.0.1:0',
    peer_listen: '127.0.0.1:0',
    log_level: logLevel,
    operator_key_sha256: sha256('operator-key'),
    peer_key: 'peer-key-for-demonstration',
    platform: { key_value: [keyValue.address], instance_list: instanceList.address, cloud: instanceList.address }
  })
}

function sampleRevision (key: string): unknown {
  return configurationRevisionSchema.parse({
    revision: 1,
    changeId: 'sample-change',
    author: 'demonstration',
    reason: 'first configuration',
    changedAt: 0,
    configuration: {
      deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
      services: [{ kind: 'model', name: 'servicing-assistant', model: 'assistant-7b' }],
      organisations: [{ name: 'tejo', key_sha256: [sha256(key)] }],
      classes: [{
        name: 'short-question',
        service: 'servicing-assistant',
        idempotent: true,
        target: { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 8_000, quantile: 0.95, reliability: 0.999 }
      }]
    }
  })
}
