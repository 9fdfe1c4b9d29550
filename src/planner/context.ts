/** What a planner works with, and what it remembers between two looks. */
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

/** What a planner needs of an engine. */
export type OrderedEngine = Pick<Engine, 'load' | 'order'>

/** The world around a planner. */
export interface PlannerContext {
  readonly settings: Pick<PlannerSettings, 'group' | 'machine_classes' | 'fencing_checked_by'>
  readonly keyValue: KeyValue
  readonly cloud: Cloud
  readonly instanceList: InstanceList
  readonly engineAt: (address: Address) => OrderedEngine
  readonly weightStore: WeightStore | undefined
  readonly leadership: Leadership
  /** Configuration in force; undefined while there is none. */
  readonly configuration: () => Promise<Configuration | undefined>
  /** Counts what instances cost; undefined where nobody reports it. */
  readonly ledger: Pick<CountingLedger, 'spent'> | undefined
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly signal: AbortSignal
}

/** An engine with where it answers and on which instance it runs. */
export interface KnownEngine extends EngineState {
  readonly instance: InstanceName
  readonly address: Address
}

/** What one tenure of the lease remembers. Nothing of it is needed by a successor. */
export interface Tenure {
  readonly fencing: number
  /** Monotonic time since when the lease is held. */
  readonly heldSince: Milliseconds
  /** State as it was written or read last. */
  state: DesiredState
  learned: Learned
  /** Monotonic time of the last write of what was learnt. */
  learnedAt: Milliseconds
  history: PlannerHistory
  readonly sent: Map<UpstreamName, SentOrder>
  readonly released: Set<InstanceName>
  readonly ended: Set<InstanceName>
  /** The instance list as it was read last. */
  listed: readonly Instance[]
  readonly engines: Map<UpstreamName, KnownEngine>
  /** Engines that were not settled when they were compared last. */
  unsettled: ReadonlySet<UpstreamName>
  /** Monotonic time of each engine's last answer, or of the first time it was asked. */
  readonly answered: Map<UpstreamName, Milliseconds>
  storeStatus: { readonly at: Milliseconds, readonly status: WeightStoreStatus } | undefined
  /** What was said last of targets and losses, so that only changes are told. */
  readonly told: Map<string, string>
}
