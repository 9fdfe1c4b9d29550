/**
 * Entry nodes on the machines of a stand-in platform: each has an instance that the cloud can take
 * back and that the instance list shows, and dies with it.
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

/** What an entry fleet runs on. */
export interface EntryFleetOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly seed: number
  /** Group that the cloud keeps the entries' instances in; planners leave it alone. */
  readonly group: string
  readonly machineClass: string
}

interface Place {
  readonly settings: EntrySettings
  readonly entry: EntryNode
}

const SYNC_PERIOD: Milliseconds = 50

/**
 * @example
 * const fleet = createEntryFleet({ platform, clock, seed: 1, group: 'entries', machineClass: 'general' })
 * await fleet.add(settings)
 */
export function createEntryFleet (options: EntryFleetOptions): EntryFleet {
  const { platform, clock, group } = options
  const owner = new AbortController()
  const entries: EntryNode[] = []
  const places = new Map<string, Place>()
  let listed = ''

  /** Ends the nodes whose machines have ended and shows the rest as the cloud has them. */
  function sync (): void {
    const machines = new Map(platform.cloud.state.list(group).map((machine) => [machine.name as string, machine.state]))
    for (const [name, place] of places) {
      if (machines.has(name)) continue
      places.delete(name)
      place.entry.kill().catch(() => {})
    }
    show([...places.values()].map((place) => toInstance(place, machines.get(place.settings.instance) === 'reclaiming', options.machineClass)))
  }

  function show (instances: readonly Instance[]): void {
    const fingerprint = JSON.stringify(instances)
    if (fingerprint === listed) return
    listed = fingerprint
    const others = platform.instanceList.current().filter((instance) => instance.role.kind !== 'entry')
    platform.instanceList.set([...others, ...instances])
  }

  every(clock, SYNC_PERIOD, owner.signal, sync, () => {}).catch(() => {})

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
      if (answer.kind !== 'started') throw new Error(`the cloud does not start ${settings.instance}: ${answer.kind}`)
      const entry = await startEntryNode({ settings, clock, random: createRandom(options.seed + entries.length + 1) })
      entries.push(entry)
      places.set(settings.instance, { settings, entry })
      sync()
      return entry
    },
    kill: async () => {
      owner.abort()
      await Promise.all(entries.map((entry) => entry.kill()))
    }
  }
}

function toInstance ({ settings, entry }: Place, leaving: boolean, machineClass: string): Instance {
  return instanceSchema.parse({
    name: settings.instance,
    failureDomain: settings.failure_domain,
    machineClass,
    address: entry.address,
    role: { kind: 'entry', peerAddress: entry.parts.membership.own().peerAddress },
    state: leaving ? 'leaving' : 'live'
  })
}
