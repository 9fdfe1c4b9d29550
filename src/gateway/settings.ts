/** Settings of a gateway node: its location, its addresses and those of its peers, and the bounds of the deployment. */
import type { Milliseconds } from '../clock.js'
import type { HostPort } from '../host-port.js'
import type { QuotaMargin, RetryBudgetOptions } from '../quota/index.js'
import type { RolloutBounds } from '../rollout/index.js'

/** Time limits and other bounds of the deployment that the node must keep. */
export interface GatewayBounds {
  /** Maximum time from the store's acceptance of a notice of leaving to the last request for that upstream. */
  readonly upstreamDrain: Milliseconds
  /** Maximum time from the store's acceptance of a configuration version until it is in force. */
  readonly configurationApplies: Milliseconds
  /** Time from the request to stop the node until it is killed. */
  readonly grace: Milliseconds
  readonly retryBudget: RetryBudgetOptions
  readonly quotaMargin: QuotaMargin
  /** Time of the lease on the duties: the earliest time at which another node may replace a holder that has failed. */
  readonly lease: Milliseconds
  /** The platform refuses calls under a lower fencing number than one that it has seen. */
  readonly fencingIsChecked: boolean
  /** Length of a usage window. */
  readonly usageWindow: Milliseconds
  /** Time from the end of a usage window until its report is due. */
  readonly usageDue: Milliseconds
  /** Limits on the requests that a new version gets before it is known to be good. */
  readonly rollout: RolloutBounds
  /** Maximum time for which callers may cache an answer with addresses. */
  readonly addressLifetime: Milliseconds
}

/** Settings of a gateway node. */
export interface GatewaySettings {
  readonly name: string
  readonly failureDomain: string
  readonly region: string
  /** Failure domains of the deployment. */
  readonly failureDomains: readonly string[]
  /** Address for callers' requests. */
  readonly front: HostPort
  /** Address of the readiness check. */
  readonly ready: HostPort
  /** Address at which callers ask for the addresses of nodes; undefined if another process answers them. */
  readonly directory: HostPort | undefined
  /** Address for the other nodes of the system. */
  readonly peers: HostPort
  /** Address of the metrics page. */
  readonly metrics: HostPort
  readonly store: HostPort
  /** Number of writes that the store takes from all nodes in a second. */
  readonly storeWriteRate: number
  /** Address for usage reports and orders; undefined if the deployment has neither. */
  readonly cloud: HostPort | undefined
  /** The whole system starts for the first time. */
  readonly firstStart: boolean
  readonly duties: { readonly usage: boolean, readonly scaling: boolean }
  /** Number of processor cores that this process may use. May be a fraction. */
  readonly processor: number
  /** Memory of this process in bytes. It is killed if it takes more. */
  readonly memory: number
  /** Maximum number of open file descriptors of this process. */
  readonly mostDescriptors: number
  readonly bounds: GatewayBounds
}
