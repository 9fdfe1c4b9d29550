/** Two planners on one platform in virtual time. Each message may be late, lost or held in a paused process. */
import { createPlannerCycle } from '../../src/planner/cycle.js'
import type { PlannerCycle } from '../../src/planner/cycle.js'
import type { EngineClient, PlannerContext } from '../../src/planner/context.js'
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

/** Faults of messages. `late` and `lost` are fractions of all messages. */
export interface MessageFaults {
  late: number
  lost: number
  /** Maximum delay of a late message. */
  maxDelay: Milliseconds
}

/** An engine with the models that it has loaded. */
export interface EngineProbe {
  readonly state: EngineDesiredState
  readonly loads: string[]
  readonly checksFencing: boolean
}

/** One of the planners, with controls for the test. */
export interface PlannerProbe {
  readonly cycle: PlannerCycle
  /** Holds all messages of the planner until it is resumed. */
  pause (): void
  resume (): void
  /** Starts a planning cycle unless one is in progress or the planner is paused. */
  start (): void
  /** Renews the lease, or takes it if it has expired. Does nothing while the planner is paused. */
  takeLease (): void
}

/** The planners and the platform on which they run. */
export interface PlannerWorld {
  readonly clock: ManualClock
  readonly cloud: CloudState
  readonly store: KeyValueStore
  readonly faults: MessageFaults
  readonly planners: readonly PlannerProbe[]
  /** Engines that are running at present. */
  engines (): ReadonlyMap<InstanceName, EngineProbe>
  /** All engines that were ever started. */
  readonly allEngines: EngineProbe[]
  /** Names of instances that were wanted in any written desired state. */
  readonly everWanted: Set<InstanceName>
  /** Names of instances that were released while the written desired state wanted them. */
  readonly releasedWhileWanted: InstanceName[]
  /** Names of instances in the start orders that reached the cloud. */
  readonly starts: InstanceName[]
  /** Instances whose engines do not respond to any planner, although the cloud lists the instances. */
  readonly unreachableInstances: Set<InstanceName>
  /** Sets whether an engine reports a running request. */
  setBusy (name: InstanceName, isBusy: boolean): void
  /** Desired state that was last written. */
  desired (): DesiredState
  /** Changes the model of the service in the configuration. */
  setModel (model: string): void
  /** Runs both planners without faults until the fleet has converged. Then stops both. */
  recover (): Promise<void>
}

const LEASE_TIME: Milliseconds = 15 * SECOND
const CALL_TIMEOUT: Milliseconds = 2 * SECOND
/** Time that an engine takes to load a model. */
const LOAD_TIME: Milliseconds = 3 * SECOND
/** Number of planning cycles without faults after which the fleet has converged. */
const RECOVERY_CYCLES = 40
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const GROUP = 'sample'

/**
 * Creates two planners on one platform with three running instances.
 *
 * @param options.checksFencing whether an engine checks fencing, by the number of engines started before it
 * @param options.loadTime time that an engine takes to load a model, in milliseconds
 * @example
 * const world = createPlannerWorld({ seed: 1, checksFencing: (index) => index % 2 === 0 })
 */
export function createPlannerWorld (options: { seed: number, checksFencing: (index: number) => boolean, loadTime?: Milliseconds }): PlannerWorld {
  const clock = createManualClock(1_000_000)
  const random = createRandom(options.seed)
  const store = createKeyValueStore(clock)
  const faults: MessageFaults = { late: 0, lost: 0, maxDelay: 0 }
  const engines = new Map<InstanceName, EngineProbe>()
  const allEngines: EngineProbe[] = []
  const instances = new Map<InstanceName, CloudInstance>()
  const addresses = new Map<Address, InstanceName>()
  const everWanted = new Set<InstanceName>()
  const releasedWhileWanted: InstanceName[] = []
  const starts: InstanceName[] = []
  const busy = new Set<InstanceName>()
  const unreachableInstances = new Set<InstanceName>()
  const controller = new AbortController()
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
      if (change.kind === 'put') for (const slot of desiredStateSchema.parse(JSON.parse(change.entry.value)).slots) everWanted.add(slot.name)
    }
  })

  function started (instance: CloudInstance): void {
    const loads: string[] = []
    const checksFencing = options.checksFencing(allEngines.length)
    const state = createDesiredState({
      checkFencing: checksFencing,
      models: [],
      adapters: [],
      loadWeights: async (name, signal) => {
        loads.push(name)
        await clock.sleep(options.loadTime ?? LOAD_TIME, signal)
      },
      signal: controller.signal
    })
    const probe = { state, loads, checksFencing }
    allEngines.push(probe)
    engines.set(instance.name, probe)
    instances.set(instance.name, instance)
    addresses.set(addressOf(allEngines.length), instance.name)
  }

  function ended (instance: CloudInstance): void {
    engines.delete(instance.name)
    instances.delete(instance.name)
  }

  function release (name: InstanceName): void {
    if (desired().slots.some((slot) => slot.name === name && slot.state === 'wanted')) releasedWhileWanted.push(name)
    cloud.release(name)
  }

  function desired (): DesiredState {
    const entry = store.get(DESIRED_STATE_KEY)
    return entry === undefined ? emptyDesiredState() : desiredStateSchema.parse(JSON.parse(entry.value))
  }

  function listInstances (): Instance[] {
    const byName = new Map([...addresses].map(([address, name]) => [name, address]))
    return [...instances.values()].map(({ name, service, failureDomain, machineClass, market }) => instanceSchema.parse({
      name, failureDomain, machineClass, address: byName.get(name), state: 'live', reclaimable: market === 'reclaimable', role: { kind: 'upstream', upstream: name, service, protocol: 'model' }
    }))
  }

  function createPlanner (index: number): PlannerProbe {
    let paused: { until: Promise<void>, resume: () => void } | undefined
    let running = false
    const waitWhilePaused = (): Promise<void> => paused === undefined ? Promise.resolve() : paused.until.then(waitWhilePaused)

    /**
     * Sends a message: holds it while the process is paused, then delays it, then returns its reply. A late message may
     * take effect after its sender has timed out.
     */
    async function sendMessage<T> (operation: () => T | Promise<T>): Promise<T> {
      await clock.sleep(1)
      await waitWhilePaused()
      const delay = random.fraction() < faults.late ? random.integer(faults.maxDelay) : 1
      const effect = clock.sleep(delay).then(operation)
      const isLost = random.fraction() < faults.lost
      if (!isLost && delay < CALL_TIMEOUT) {
        const result = await effect
        await waitWhilePaused()
        return result
      }
      effect.catch(() => {})
      await clock.sleep(CALL_TIMEOUT)
      await waitWhilePaused()
      throw new ServingError('no answer', { code: 'timeout', verdict: 'may-have-run' })
    }

    const direct = createDirectKeyValue(store, createFaultSwitch(clock, random), clock)
    const keyValue: KeyValue = {
      ...direct,
      get: (key) => sendMessage(() => direct.get(key)),
      list: (prefix) => sendMessage(() => direct.list(prefix)),
      put: (key, value) => sendMessage(() => direct.put(key, value)),
      compareAndSwap: (key, revision, value) => sendMessage(() => direct.compareAndSwap(key, revision, value))
    }
    const directCloud = createInProcessCloud(cloud)
    const context: PlannerContext = {
      settings: { group: GROUP, machine_classes: [{ name: 'large', runs: 'model' }], fencing_checked_by: [] },
      keyValue,
      cloud: {
        offers: () => sendMessage(directCloud.offers),
        list: (group) => sendMessage(() => directCloud.list(group)),
        notices: (after) => sendMessage(() => directCloud.notices(after)),
        start: (order) => sendMessage(() => {
          starts.push(order.name)
          return directCloud.start(order)
        }),
        release: (name) => sendMessage(() => release(name))
      },
      instanceList: { read: () => sendMessage(listInstances) },
      engineAt: (address) => engineAt(address, sendMessage),
      weightStore: undefined,
      leadership: { held: (margin) => heldLease(index, margin) },
      configuration: async () => configuration(model),
      ledger: undefined,
      clock: { ...clock, sleep: async (delay) => { await clock.sleep(delay); await waitWhilePaused() } },
      random,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      signal: controller.signal
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

  function engineAt (address: Address, send: <T>(operation: () => T | Promise<T>) => Promise<T>): EngineClient {
    const probe = (): EngineProbe => {
      const found = engines.get(addresses.get(address) as InstanceName)
      if (found === undefined || unreachableInstances.has(addresses.get(address) as InstanceName)) throw new ServingError('connection refused', { code: 'connection-lost', verdict: 'not-run' })
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

  function heldLease (index: number, margin: Milliseconds): HeldLease | undefined {
    if (lease.holder !== index || clock.now() + margin >= lease.until) return undefined
    return { fencing: lease.fencing, until: lease.until }
  }

  const planners = [createPlanner(0), createPlanner(1)]
  return {
    clock,
    cloud,
    store,
    faults,
    planners,
    allEngines,
    everWanted,
    engines: () => engines,
    releasedWhileWanted,
    starts,
    unreachableInstances,
    setBusy: (name, isBusy) => { isBusy ? busy.add(name) : busy.delete(name) },
    desired,
    setModel: (name) => { model = name },
    recover: async () => {
      Object.assign(faults, { late: 0, lost: 0, maxDelay: 0 })
      for (const planner of planners) planner.resume()
      for (let cycle = 0; cycle < RECOVERY_CYCLES; cycle += 1) {
        for (const planner of planners) {
          planner.takeLease()
          planner.start()
        }
        cloud.updateToNow()
        await clock.advance(10 * SECOND)
      }
      controller.abort()
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
