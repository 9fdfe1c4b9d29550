/** State and services shared by the modules of a gateway node. */
import type { RequestMemory } from '../caller/request-memory.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { EngineSpeeds, UpstreamIncarnation } from '../placement/index.js'
import type { Quarantine } from '../quarantine/index.js'
import type { QuotaLimiter, RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import type { RouteTable } from '../routing/index.js'
import type { WorkMeter } from '../scaling/index.js'
import type { UsageWindows } from '../usage/index.js'
import type { AcceptedRequest } from './acceptance.js'
import type { AnswerPace } from './answer-pace.js'
import type { Arrivals } from './arrivals.js'
import type { Backpressure } from './backpressure.js'
import type { CrashWatch } from './crash-causes.js'
import type { DispatchQueues } from './dispatch-queues.js'
import type { Evacuation } from './evacuation.js'
import type { UpstreamConnections } from './exchange.js'
import type { HeldAnswers } from './held-answers.js'
import type { GatewayMetrics } from './metrics.js'
import type { PlannedStop } from './planned-stop.js'
import type { RequestFormat } from './ports.js'
import type { RequestSums } from './request-sums.js'
import type { Rollouts } from './rollouts.js'
import type { GatewaySettings } from './settings.js'
import type { StreamOrigins } from './stream-origins.js'
import type { UpstreamView } from './upstream-view.js'
import type { VersionWatch } from './version-watch.js'

/** Version and age of the state on which this node's decisions are based. */
export interface StateFreshness {
  /** Version in force. */
  readonly configuration: number | undefined
  /** Time since the configuration was last confirmed by the store. */
  readonly configurationAge: Milliseconds | undefined
  /** Time since the list of upstreams was last confirmed by the store. */
  readonly upstreamsAge: Milliseconds | undefined
  /** Number of known nodes that may serve. */
  readonly nodes: number
}

/** Shared by all requests of a node. */
export interface GatewayContext {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly random: Random
  readonly arrivals: Arrivals
  readonly log: EventLog
  readonly metrics: GatewayMetrics
  readonly format: RequestFormat
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  readonly connections: UpstreamConnections
  readonly quotas: QuotaLimiter
  readonly quarantine: Quarantine
  readonly crashes: CrashWatch
  readonly backpressure: Backpressure
  readonly dispatchQueues: DispatchQueues
  readonly evacuation: Evacuation
  readonly rollouts: Rollouts
  readonly usage: UsageWindows
  readonly sums: RequestSums
  readonly work: WorkMeter
  /** Returns the budget that limits further attempts at a service. */
  readonly retryBudget: (service: string) => RetryBudget
  /** Notifies other nodes of a long prompt that was just sent to an upstream. */
  readonly announcePrefill: (upstream: UpstreamIncarnation, prefill: Milliseconds) => void
  /** Origins of streams that callers may resume. */
  readonly streamOrigins: StreamOrigins
  /** The only version that a service has had lately; undefined if there may be several, or if the view of the upstreams is older than `maxAge`. */
  readonly onlyVersion: VersionWatch['only']
  /** Whether requests like this one have gone to this service alone for as long as streams are resumed. */
  readonly ledOnlyTo: (request: AcceptedRequest, service: string) => boolean
  /** What this node knows of the versions of a service, for log lines. */
  readonly versionFacts: VersionWatch['facts']
  /** Routes of the configuration in force; undefined until a configuration is known. */
  readonly routeTable: () => RouteTable | undefined
  /** Wall-clock time agreed between the nodes, unaffected by steps of this instance's clock. */
  readonly sharedWall: () => Milliseconds
  /** Freshness of the state behind decisions, for log lines. */
  readonly freshness: () => StateFreshness
  /** Resolves once this node has heard from another one since its start, if there is any that answers. Never rejects. */
  readonly firstContact: () => Promise<void>
  readonly plannedStop: PlannedStop
  /** Memory for answers that have not been passed on. */
  readonly heldAnswers: HeldAnswers
  readonly requestMemory: RequestMemory
  /** Begins to pass on an answer, at a rate that its node can bear. */
  readonly beginPacedAnswer: () => AnswerPace
}
