/**
 * Entry nodes on instances of a stand-in platform. The instance list contains each node's instance; the
 * cloud can reclaim the instance, and its end kills the node.
 */
import { startOrderSchema } from '../src/capacity/index.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import { every } from '../src/clock.js'
import { startEntryNode } from '../src/entry/node.js'
import type { EntryNode } from '../src/entry/node.js'
import { createRandom } from '../src/random.js'
import type { EntrySettings } from '../src/settings.js'
import { instanceSchema } from '../src/upstream/index.js'
import type { Instance } from '../src/upstream/index.js'
import type { Platform } from './platform.js'

/** The entry nodes of a deployment. */
export interface EntryFleet {
  /** Nodes started so far, dead ones included. */
  readonly entries: readonly EntryNode[]
  add (settings: EntrySettings): Promise<EntryNode>
  kill (): Promise<void>
}

/** Options of an entry fleet. */
export interface EntryFleetOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly seed: number
  /** Cloud group of the entry nodes' instances. Planners do not manage this group. */
  readonly group: string
  readonly machineClass: string
}

interface RunningEntry {
  readonly settings: EntrySettings
  readonly entry: EntryNode
}

/** Interval at which the nodes and the instance list are synchronised with the cloud. */
const SYNC_PERIOD: Milliseconds = 50

/**
 * Creates a fleet without nodes.
 *
 * @example
 * const fleet = createEntryFleet({ platform, clock, seed: 1, group: 'entries', machineClass: 'general' })
 * await fleet.add(settings)
 */
export function createEntryFleet (options: EntryFleetOptions): EntryFleet {
  const { platform, clock, group } = options
  const lifetime = new AbortController()
  const entries: EntryNode[] = []
  const running = new Map<string, RunningEntry>()
  let lastFingerprint = ''

  /** Kills the nodes whose instances have ended and updates the instance list with the states of the others. */
  function synchronise (): void {
    const states = new Map(platform.cloud.state.list(group).map((instance) => [instance.name as string, instance.state]))
    for (const [name, node] of running) {
      if (states.has(name)) continue
      running.delete(name)
      node.entry.kill().catch(() => {})
    }
    updateInstanceList([...running.values()].map((node) => toInstance(node, states.get(node.settings.instance) === 'reclaiming', options.machineClass)))
  }

  function updateInstanceList (instances: readonly Instance[]): void {
    const fingerprint = JSON.stringify(instances)
    if (fingerprint === lastFingerprint) return
    lastFingerprint = fingerprint
    const others = platform.instanceList.current().filter((instance) => instance.role.kind !== 'entry')
    platform.instanceList.set([...others, ...instances])
  }

  every(clock, SYNC_PERIOD, lifetime.signal, synchronise, () => {}).catch(() => {})

  return {
    entries,
    add: async (settings) => {
      const answer = platform.cloud.state.start(startOrderSchema.parse({
        name: settings.instance,
        group,
        service: 'entry',
        failureDomain: settings.failure_domain,
        machineClass: options.machineClass,
        market: 'reclaimable'
      }))
      if (answer.kind !== 'started') throw new Error(`the cloud did not start the instance ${settings.instance}: ${answer.kind}`)
      const entry = await startEntryNode({ settings, clock, random: createRandom(options.seed + entries.length + 1) })
      entries.push(entry)
      running.set(settings.instance, { settings, entry })
      synchronise()
      return entry
    },
    kill: async () => {
      lifetime.abort()
      await Promise.all(entries.map((entry) => entry.kill()))
    }
  }
}

function toInstance ({ settings, entry }: RunningEntry, leaving: boolean, machineClass: string): Instance {
  return instanceSchema.parse({
    name: settings.instance,
    failureDomain: settings.failure_domain,
    machineClass,
    address: entry.address,
    role: { kind: 'entry', peerAddress: entry.parts.membership.own().peerAddress },
    state: leaving ? 'leaving' : 'live'
  })
}
