/** Two planners before one platform, in virtual time: every message may be late, lost, or held in a paused process. */
import { createPlannerCycle } from '../../src/planner/cycle.js'
import type { PlannerCycle } from '../../src/planner/cycle.js'
import type { OrderedEngine, PlannerContext } from '../../src/planner/context.js'
import { DESIRED_STATE_KEY } from '../../src/planner/keys.js'
import { desiredStateSchema, emptyDesiredState, offerSchema, startOrderSchema } from '../../src/capacity/index.js'
import type { CloudInstance, DesiredState } from '../../src/capacity/index.js'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { configurationSchema } from '../../src/configuration/index.js'
import type { Configuration } from '../../src/configuration/index.js'
import { addressSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { Address, InstanceName } from '../../src/identifiers.js'
import type { HeldLease } from '../../src/lease/index.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { instanceSchema, loadReportSchema } from '../../src/upstream/index.js'
import type { Instance } from '../../src/upstream/index.js'
import { ServingError } from '../../src/verdict.js'
import { createCloudState } from '../../stand-ins/cloud-state.js'
import type { CloudState } from '../../stand-ins/cloud-state.js'
import { createInProcessCloud } from '../../stand-ins/cloud.js'
import { createDesiredState } from '../../stand-ins/engine/desired-state.js'
import type { DesiredState as EngineDesiredState } from '../../stand-ins/engine/desired-state.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'

/** What may become of messages; shares of all messages. */
export interface Trouble {
  late: number
  lost: number
  /** Longest delay of a late message. */
  latest: Milliseconds
}

/** An engine and what it loaded. */
export interface EngineProbe {
  readonly state: EngineDesiredState
  readonly loads: string[]
  readonly checksFencing: boolean
}

/** One of the planners. */
export interface PlannerProbe {
  readonly cycle: PlannerCycle
  pause (): void
  resume (): void
  /** Starts a run unless one is under way. */
  start (): void
  /** Renews the lease, or takes it when it has lapsed. */
  takeLease (): void
}

/** The planners' world. */
export interface PlannerWorld {
  readonly clock: ManualClock
  readonly cloud: CloudState
  readonly store: KeyValueStore
  readonly trouble: Trouble
  readonly planners: readonly PlannerProbe[]
  engines (): ReadonlyMap<InstanceName, EngineProbe>
  /** All engines there ever were. */
  readonly everyEngine: EngineProbe[]
  /** Names that a written desired state has ever wanted. */
  readonly wantedEver: Set<InstanceName>
  /** Names that were released while the written state wanted them. */
  readonly releasedThoughWanted: InstanceName[]
  /** Start orders that reached the cloud. */
  readonly starts: InstanceName[]
  /** Engines that no planner reaches, though the cloud lists them. */
  readonly cutOff: Set<InstanceName>
  /** Whether an engine reports a running request. */
  setBusy (name: InstanceName, isBusy: boolean): void
  desired (): DesiredState
  setModel (model: string): void
  /** Lets both planners run without trouble until everything is quiet. */
  heal (): Promise<void>
}

const LEASE_TIME: Milliseconds = 15 * SECOND
const CALL_TIMEOUT: Milliseconds = 2 * SECOND
/** Time in which an engine loads a model. */
const LOAD_TIME: Milliseconds = 3 * SECOND
const HEALING_LOOKS = 40
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const GROUP = 'sample'

/**
 * @param options.checksFencing whether an engine checks fencing, by the order of its start
 * @example
 * const world = createPlannerWorld({ seed: 1, checksFencing: (index) => index % 2 === 0 })
 */
export function createPlannerWorld (options: { seed: number, checksFencing: (index: number) => boolean, loadTime?: Milliseconds }): PlannerWorld {
  const clock = createManualClock(1_000_000)
  const random = createRandom(options.seed)
  const store = createKeyValueStore(clock)
  const trouble: Trouble = { late: 0, lost: 0, latest: 0 }
  const engines = new Map<InstanceName, EngineProbe>()
  const everyEngine: EngineProbe[] = []
  const instances = new Map<InstanceName, CloudInstance>()
  const addresses = new Map<Address, InstanceName>()
  const wantedEver = new Set<InstanceName>()
  const releasedThoughWanted: InstanceName[] = []
  const starts: InstanceName[] = []
  const busy = new Set<InstanceName>()
  const cutOff = new Set<InstanceName>()
  const owner = new AbortController()
  let model = 'model-1'
  let lease = { holder: -1, fencing: 0, until: 0 }

  const offers = ZONES.flatMap((zone, index) => [
    offerSchema.parse({ failureDomain: zone, machineClass: 'large', market: 'reclaimable', pricePerHour: 1 + index / 10 }),
    offerSchema.parse({ failureDomain: zone, machineClass: 'large', market: 'on-demand', pricePerHour: 3 })
  ])
  const cloud = createCloudState({ clock, offers, startTime: 500, events: { started, ended } })
  for (const [index, failureDomain] of ZONES.entries()) {
    cloud.start(startOrderSchema.parse({ name: `first-${index}`, group: GROUP, service: 'plans', failureDomain, machineClass: 'large', market: 'reclaimable' }))
  }
  store.subscribe(DESIRED_STATE_KEY, '', 0, (changes) => {
    for (const change of changes) {
      if (change.kind === 'put') for (const slot of desiredStateSchema.parse(JSON.parse(change.entry.value)).slots) wantedEver.add(slot.name)
    }
  })

  function started (instance: CloudInstance): void {
    const loads: string[] = []
    const checksFencing = options.checksFencing(everyEngine.length)
    const state = createDesiredState({
      checkFencing: checksFencing,
      models: [],
      adapters: [],
      loadWeights: async (name, signal) => {
        loads.push(name)
        await clock.sleep(options.loadTime ?? LOAD_TIME, signal)
      },
      signal: owner.signal
    })
    const probe = { state, loads, checksFencing }
    everyEngine.push(probe)
    engines.set(instance.name, probe)
    instances.set(instance.name, instance)
    addresses.set(addressOf(everyEngine.length), instance.name)
  }

  function ended (instance: CloudInstance): void {
    engines.delete(instance.name)
    instances.delete(instance.name)
  }

  function release (name: InstanceName): void {
    if (desired().slots.some((slot) => slot.name === name && slot.state === 'wanted')) releasedThoughWanted.push(name)
    cloud.release(name)
  }

  function desired (): DesiredState {
    const entry = store.get(DESIRED_STATE_KEY)
    return entry === undefined ? emptyDesiredState() : desiredStateSchema.parse(JSON.parse(entry.value))
  }

  function listed (): Instance[] {
    const byName = new Map([...addresses].map(([address, name]) => [name, address]))
    return [...instances.values()].map(({ name, service, failureDomain, machineClass, market }) => instanceSchema.parse({
      name, failureDomain, machineClass, address: byName.get(name), state: 'live', reclaimable: market === 'reclaimable', role: { kind: 'upstream', upstream: name, service, protocol: 'model' }
    }))
  }

  function createPlanner (index: number): PlannerProbe {
    let paused: { until: Promise<void>, resume: () => void } | undefined
    let running = false
    const gate = (): Promise<void> => paused === undefined ? Promise.resolve() : paused.until.then(gate)

    /** A message: held in the process, then under way, then its reply. A late one takes effect after its sender gave up. */
    async function send<T> (operation: () => T | Promise<T>): Promise<T> {
      await clock.sleep(1)
      await gate()
      const delay = random.fraction() < trouble.late ? random.integer(trouble.latest) : 1
      const effect = clock.sleep(delay).then(operation)
      const isLost = random.fraction() < trouble.lost
      if (!isLost && delay < CALL_TIMEOUT) {
        const result = await effect
        await gate()
        return result
      }
      effect.catch(() => {})
      await clock.sleep(CALL_TIMEOUT)
      await gate()
      throw new ServingError('no answer', { code: 'timeout', verdict: 'may-have-run' })
    }

    const direct = createDirectKeyValue(store, createFaultSwitch(clock, random), clock)
    const keyValue: KeyValue = {
      ...direct,
      get: (key) => send(() => direct.get(key)),
      list: (prefix) => send(() => direct.list(prefix)),
      put: (key, value) => send(() => direct.put(key, value)),
      compareAndSwap: (key, revision, value) => send(() => direct.compareAndSwap(key, revision, value))
    }
    const near = createInProcessCloud(cloud)
    const context: PlannerContext = {
      settings: { group: GROUP, machine_classes: [{ name: 'large', runs: 'model' }], fencing_checked_by: [] },
      keyValue,
      cloud: {
        offers: () => send(near.offers),
        list: (group) => send(() => near.list(group)),
        notices: (after) => send(() => near.notices(after)),
        start: (order) => send(() => {
          starts.push(order.name)
          return near.start(order)
        }),
        release: (name) => send(() => release(name))
      },
      instanceList: { read: () => send(listed) },
      engineAt: (address) => engineAt(address, send),
      weightStore: undefined,
      leadership: { held: (margin) => heldBy(index, margin) },
      configuration: async () => configuration(model),
      ledger: undefined,
      clock: { ...clock, sleep: async (delay) => { await clock.sleep(delay); await gate() } },
      random,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      signal: owner.signal
    }
    const cycle = createPlannerCycle(context)
    return {
      cycle,
      pause: () => {
        if (paused !== undefined) return
        let resume = (): void => {}
        const until = new Promise<void>((resolve) => { resume = resolve })
        paused = { until, resume }
      },
      resume: () => {
        paused?.resume()
        paused = undefined
      },
      start: () => {
        if (running || paused !== undefined) return
        running = true
        cycle.run().then(() => cycle.followUp()).catch(() => {}).finally(() => { running = false })
      },
      takeLease: () => {
        if (paused !== undefined) return
        if (lease.holder === index && clock.now() < lease.until) lease = { ...lease, until: clock.now() + LEASE_TIME }
        else if (clock.now() >= lease.until + SECOND) lease = { holder: index, fencing: lease.fencing + 1, until: clock.now() + LEASE_TIME }
      }
    }
  }

  function engineAt (address: Address, send: <T>(operation: () => T | Promise<T>) => Promise<T>): OrderedEngine {
    const probe = (): EngineProbe => {
      const found = engines.get(addresses.get(address) as InstanceName)
      if (found === undefined || cutOff.has(addresses.get(address) as InstanceName)) throw new ServingError('connection refused', { code: 'connection-lost', verdict: 'not-run' })
      return found
    }
    return {
      order: (order) => send(() => probe().state.order(order)),
      load: () => send(() => {
        const { state } = probe()
        return loadReportSchema.parse({
          upstream: upstreamNameSchema.parse(addresses.get(address)), running: busy.has(addresses.get(address) as InstanceName) ? 1 : 0, waiting: 0, cacheUsed: 0, ageMs: 0, models: state.models(), adapters: state.adapters(), role: state.role(), generation: state.generation()
        })
      })
    }
  }

  function heldBy (index: number, margin: Milliseconds): HeldLease | undefined {
    if (lease.holder !== index || clock.now() + margin >= lease.until) return undefined
    return { fencing: lease.fencing, until: lease.until }
  }

  const planners = [createPlanner(0), createPlanner(1)]
  return {
    clock,
    cloud,
    store,
    trouble,
    planners,
    everyEngine,
    wantedEver,
    engines: () => engines,
    releasedThoughWanted,
    starts,
    cutOff,
    setBusy: (name, isBusy) => { isBusy ? busy.add(name) : busy.delete(name) },
    desired,
    setModel: (name) => { model = name },
    heal: async () => {
      Object.assign(trouble, { late: 0, lost: 0, latest: 0 })
      for (const planner of planners) planner.resume()
      for (let look = 0; look < HEALING_LOOKS; look += 1) {
        for (const planner of planners) {
          planner.takeLease()
          planner.start()
        }
        cloud.settle()
        await clock.advance(10 * SECOND)
      }
      owner.abort()
    }
  }
}

function addressOf (number: number): Address {
  return addressSchema.parse(`127.0.0.1:${10_000 + number}`)
}

function configuration (model: string): Configuration {
  return configurationSchema.parse({
    deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
    services: [{ kind: 'model', name: 'plans', model }],
    organisations: [{ name: 'tejo', key_sha256: ['0'.repeat(64)] }],
    classes: [{ name: 'plan', service: 'plans', idempotent: true, target: { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 30_000, quantile: 0.95, reliability: 0.999 } }]
  })
}
