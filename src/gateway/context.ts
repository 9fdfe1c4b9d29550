/** What the parts of a gateway node share. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { EngineSpeeds, UpstreamLife } from '../placement/index.js'
import type { Quarantine } from '../quarantine/index.js'
import type { QuotaLimiter, RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import type { RouteTable } from '../routing/index.js'
import type { WorkMeter } from '../scaling/index.js'
import type { UsageWindows } from '../usage/index.js'
import type { Backpressure } from './backpressure.js'
import type { Evacuation } from './evacuation.js'
import type { UpstreamConnections } from './exchange.js'
import type { GatewayMetrics } from './metrics.js'
import type { RequestFormat } from './ports.js'
import type { RequestSums } from './request-sums.js'
import type { Rollouts } from './rollouts.js'
import type { GatewaySettings } from './settings.js'
import type { UpstreamView } from './upstream-view.js'

/** Times of a planned stop. */
export interface StopTimes {
  /** Time of the request to stop. */
  readonly since: Milliseconds
  /** Time at which what still runs is cut off. */
  readonly cutOff: Milliseconds
}

/** How old what this node goes by is. */
export interface Sources {
  /** Version in force. */
  readonly configuration: number | undefined
  /** Since the store was last heard of for the configuration. */
  readonly configurationAge: Milliseconds | undefined
  /** The same for upstreams. */
  readonly upstreamsAge: Milliseconds | undefined
  /** Nodes that may serve, as far as known. */
  readonly nodes: number
}

/** Shared by all requests of a node. */
export interface GatewayContext {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly metrics: GatewayMetrics
  readonly format: RequestFormat
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  readonly connections: UpstreamConnections
  readonly quotas: QuotaLimiter
  readonly quarantine: Quarantine
  readonly backpressure: Backpressure
  readonly evacuation: Evacuation
  readonly rollouts: Rollouts
  readonly usage: UsageWindows
  readonly sums: RequestSums
  readonly work: WorkMeter
  /** Bound on further attempts of a service. */
  readonly retryBudget: (service: string) => RetryBudget
  /** Tells other nodes of a long prompt that was just sent to an upstream. */
  readonly tellReading: (upstream: UpstreamLife, reading: Milliseconds) => void
  /** The configuration in force; undefined until the first one is known. */
  readonly table: () => RouteTable | undefined
  /** Wall time that the nodes agree on, which a step of this machine's clock doesn't move. */
  readonly sharedWall: () => Milliseconds
  /** What decisions go by, for the lines that tell of them. */
  readonly sources: () => Sources
  /** Undefined while the node serves. */
  readonly stop: () => StopTimes | undefined
}
