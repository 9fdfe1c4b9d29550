/** Dependencies of a planner, and the state that it keeps between two planning cycles. */
import type { EngineState, Learned, PlannerHistory, SentOrder, DesiredState } from '../capacity/index.js'
import type { Configuration } from '../configuration/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { Address, InstanceName, UpstreamName } from '../identifiers.js'
import type { Leadership } from '../lease/index.js'
import type { Log } from '../log.js'
import type { Cloud } from '../protocols/cloud.js'
import type { Engine } from '../protocols/engine.js'
import type { InstanceList } from '../protocols/instance-list.js'
import type { KeyValue } from '../protocols/key-value.js'
import type { WeightStore, WeightStoreStatus } from '../protocols/weight-store.js'
import type { Random } from '../random.js'
import type { CountingLedger } from '../report/index.js'
import type { Instance } from '../upstream/index.js'
import type { PlannerSettings } from './settings.js'

/** Calls that a planner makes to an engine. */
export type EngineClient = Pick<Engine, 'load' | 'order'>

/** Dependencies of a planner. */
export interface PlannerContext {
  readonly settings: Pick<PlannerSettings, 'group' | 'machine_classes' | 'fencing_checked_by'>
  readonly keyValue: KeyValue
  readonly cloud: Cloud
  readonly instanceList: InstanceList
  /** Returns a client of the engine at an address. */
  readonly engineAt: (address: Address) => EngineClient
  /** Undefined if the platform has no weight store. */
  readonly weightStore: WeightStore | undefined
  /** Lease under which the planner acts. */
  readonly leadership: Leadership
  /** Returns the configuration in force, or undefined if there is none. */
  readonly configuration: () => Promise<Configuration | undefined>
  /** Counts the cost of instances. Undefined if the cost is not reported. */
  readonly ledger: Pick<CountingLedger, 'spent'> | undefined
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Aborted when the planner stops. */
  readonly signal: AbortSignal
}

/** Last known state of an engine, with its address and the instance it runs on. */
export interface KnownEngine extends EngineState {
  readonly instance: InstanceName
  readonly address: Address
}

/**
 * State of a planner during one tenure, which is the time for which it holds the lease without interruption. A
 * successor needs none of this state.
 */
export interface Tenure {
  /** Fencing number of the lease. */
  readonly fencing: number
  /** Monotonic time since which the lease has been held. */
  readonly heldSince: Milliseconds
  /** Desired state that was last read or written. */
  state: DesiredState
  learned: Learned
  /** Monotonic time of the last write of the learnt state. */
  learnedWrittenAt: Milliseconds
  history: PlannerHistory
  /** Last order sent to each engine in this tenure. */
  readonly sent: Map<UpstreamName, SentOrder>
  /** Instances whose release the cloud has confirmed. */
  readonly released: Set<InstanceName>
  /** Instances that have ended according to the cloud. */
  readonly ended: Set<InstanceName>
  /** Instance list that was last read. */
  listedInstances: readonly Instance[]
  /** Engines that have reported their load. */
  readonly engines: Map<UpstreamName, KnownEngine>
  /** Engines that did not report the wanted state in the last comparison. */
  unsettled: ReadonlySet<UpstreamName>
  /** Monotonic time of each engine's last answer, or of the first query if it has not answered yet. */
  readonly answered: Map<UpstreamName, Milliseconds>
  /** Last status of the weight store, with the monotonic time at which it was read. */
  storeStatus: { readonly at: Milliseconds, readonly status: WeightStoreStatus } | undefined
  /** Last reported text per topic (targets, and losses of each service), so that only changes are reported. */
  readonly told: Map<string, string>
}
