/** A sample deployment in one process, on free ports: platform stand-ins, entry nodes and planners. */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { EntryNode } from '../src/entry/node.js'
import type { Address } from '../src/identifiers.js'
import { startPlanner } from '../src/planner/planner.js'
import type { Planner } from '../src/planner/planner.js'
import { createRandom } from '../src/random.js'
import type { EntrySettings } from '../src/settings.js'
import { platformSettings } from './deployment.js'
import { createEntryFleet } from './entry-fleet.js'
import { startPlatform } from './platform.js'
import type { Platform } from './platform.js'
import type { PlatformSample } from './platform-sample.js'
import type { Sample } from './sample.js'

/** A running sample deployment. */
export interface SampleDeployment {
  readonly platform: Platform
  readonly entries: readonly EntryNode[]
  readonly planners: readonly Planner[]
  readonly addresses: readonly Address[]
  /** Resolves when every entry node knows every other and every upstream. */
  settled (): Promise<void>
  kill (): Promise<void>
}

/** Options of a sample deployment. */
export interface SampleDeploymentOptions {
  readonly sample: Sample
  readonly clock: Clock
  readonly seed: number
  readonly logLevel: EntrySettings['log_level']
}

const ANY_PORT = '127.0.0.1:0' as Address

/** Machine class of entry nodes in every sample. */
const ENTRY_MACHINE_CLASS = 'general'

/** Offset of the planners' random seeds, which keeps them apart from those of the entry nodes. */
const PLANNER_SEED_OFFSET = 100

/** Interval of the checks whether all entry nodes know each other and the upstreams. */
const POLL_PERIOD: Milliseconds = 50

/**
 * Starts a sample deployment without a configuration. An operator applies the configuration afterwards.
 *
 * @example
 * const deployment = await startSampleDeployment({ sample, clock, seed: 1, logLevel: 'warn' })
 */
export async function startSampleDeployment (options: SampleDeploymentOptions): Promise<SampleDeployment> {
  const { sample, clock, seed } = options
  const platform = await startPlatform({ clock, random: createRandom(seed), sample: onFreePorts(sample.platform) })
  const entryFleet = createEntryFleet({ platform, clock, seed, group: `${sample.platform.group}-entries`, machineClass: ENTRY_MACHINE_CLASS })
  for (const settings of sample.entries) await entryFleet.add(localSettings(settings, platform, options))
  const upstreams = sample.platform.upstreams.reduce((sum, group) => sum + group.count, 0)
  const planners = sample.planners.map((settings, index) => startPlanner({
    settings: { ...settings, log_level: options.logLevel, platform: platformSettings(platform) },
    clock,
    random: createRandom(seed + PLANNER_SEED_OFFSET + index)
  }))
  return {
    platform,
    entries: entryFleet.entries,
    planners,
    addresses: entryFleet.entries.map((entry) => entry.address),
    settled: async () => {
      while (!entryFleet.entries.every((entry) => knowsDeployment(entry, entryFleet.entries.length, upstreams))) await clock.sleep(POLL_PERIOD)
    },
    kill: async () => {
      await Promise.all(planners.map((planner) => planner.kill()))
      await entryFleet.kill()
      await platform.kill()
    }
  }
}

function knowsDeployment (entry: EntryNode, entries: number, upstreams: number): boolean {
  const { membership, directory } = entry.parts
  return membership.count() >= entries && directory.views().length >= upstreams
}

/**
 * Returns a copy of a platform's description in which every port is 0, so that any free port is taken.
 *
 * @example
 * startPlatform({ clock, random, sample: onFreePorts(sample.platform) })
 */
export function onFreePorts (platform: PlatformSample): PlatformSample {
  return {
    ...platform,
    ports: { key_value: 0, instance_list: 0, cloud: 0, weight_store: 0, control: 0 },
    upstreams: platform.upstreams.map((group) => ({ ...group, first_port: 0 }))
  }
}

function localSettings (settings: EntrySettings, platform: Platform, options: SampleDeploymentOptions): EntrySettings {
  return { ...settings, listen: ANY_PORT, peer_listen: ANY_PORT, log_level: options.logLevel, platform: platformSettings(platform) }
}
