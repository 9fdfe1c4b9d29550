/**
 * Configuration of forwarded requests.
 *
 * The types are independent of the format in which operators write the configuration.
 */
import type { Milliseconds } from '../clock.js'

/**
 * How often a request of a route may be executed.
 *
 * - `idempotent`: any number of times
 * - `once`: at most once per request of a caller
 * - `stream`: at most once. If the route is resumable, another upstream may continue the stream after the last event
 *   that was relayed to the caller.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream'

/** A service that receives a share of a route's requests. */
export interface Destination {
  readonly service: string
  /** Share of the requests, relative to the sum of the weights of all destinations of the route. */
  readonly weight: number
}

/** One route. A request uses the route of its host with the longest prefix of its path. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix, with a slash at both ends. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Whether a broken stream may be resumed at another upstream after its last event. */
  readonly resumable: boolean
  /** Maximum time from the arrival of a request to the end of its answer. */
  readonly timeLimit: Milliseconds
  /** Latency target for the answer, or for the first event of a stream. */
  readonly target: Milliseconds
  /** Target for the pause between two events of a stream. */
  readonly maxPause: Milliseconds
  /** Maximum number of attempts for one request, each at another upstream. */
  readonly maxAttempts: number
  /** Priority of the requests. 0 is the most urgent. */
  readonly priority: number
  /** Whether requests need no API key. */
  readonly anonymous: boolean
  readonly destinations: readonly Destination[]
}

/** Bounds and prices of a service whose number of upstreams is scaled automatically. */
export interface ScalingConfiguration {
  /** Minimum number of upstreams per failure domain, reclaimable and on-demand ones together. */
  readonly minUpstreams: number
  /** Maximum number of upstreams per failure domain. */
  readonly maxUpstreams: number
  /** Time from the order of an upstream until it serves requests. */
  readonly bootTime: Milliseconds
  /** Price of a reclaimable upstream relative to an on-demand one. Undefined if the service has no reclaimable upstreams. */
  readonly reclaimablePrice: number | undefined
  /** Price of an upstream per second, by failure domain. */
  readonly prices: Readonly<Record<string, number>>
}

/** One service. Its upstreams are interchangeable. */
export interface Service {
  readonly name: string
  /** Maximum number of connections that one upstream accepts from all clients together. */
  readonly maxConnections: number
  /** Whether the upstreams are model engines, which prefill a prompt before they answer. */
  readonly hasEngines: boolean
  /** Whether a running request can continue at another upstream with its key-value cache. */
  readonly canMoveRuns: boolean
  /** Undefined if the number of upstreams is not scaled automatically. */
  readonly scaling: ScalingConfiguration | undefined
}

/** Quota of an organisation over all nodes together. A rate of 0 means no limit. */
export interface Quota {
  readonly unit: 'requests' | 'tokens'
  /** Units per second. */
  readonly rate: number
  /** Units that may be used at once in excess of the rate. */
  readonly burst: number
  /** Units charged for a request that states no number of tokens. */
  readonly plainCost: number
}

/** One organisation with its API keys. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the priority of the route. */
  readonly priority: number | undefined
  readonly quota: Quota
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  /** Maximum size of a request's header. */
  readonly headerBytes: number
  /** Maximum size of a request's body. */
  readonly bodyBytes: number
  /** Time within which the header must have been received. */
  readonly headerTimeout: Milliseconds
  /** Time after which an idle connection is closed. */
  readonly idleTimeout: Milliseconds
}

/** One version of the configuration. */
export interface RoutingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined if requests need no API key. */
  readonly organisations: readonly Organisation[] | undefined
  readonly limits: CallerLimits
}
