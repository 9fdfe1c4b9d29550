/** What operators configured for forwarded requests, in the product's own terms. */
import type { Milliseconds } from '../clock.js'

/**
 * How often a request may run.
 *
 * - `idempotent`: any number of times
 * - `once`: at most once for each request of a caller
 * - `stream`: at most once; a resumable route may go on elsewhere after the last event that was passed on
 */
export type RequestKind = 'idempotent' | 'once' | 'stream'

/** A service that takes a share of a route's requests. */
export interface Destination {
  readonly service: string
  /** Relative to the sum over the route's destinations. */
  readonly weight: number
}

/** One route. The longest prefix of a host that begins the path wins. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** A stream of it may be resumed after its last event. */
  readonly resumable: boolean
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeLimit: Milliseconds
  /** Time within which an answer, or a stream's first event, is on time. */
  readonly target: Milliseconds
  /** Longest pause between two events of a stream that is still on time. */
  readonly longestPause: Milliseconds
  /** Most upstreams that one request is sent to. */
  readonly mostAttempts: number
  /** Rank, 0 is the most urgent. */
  readonly priority: number
  /** Needs no key. */
  readonly anonymous: boolean
  readonly destinations: readonly Destination[]
}

/** Bounds and prices of a service whose size the system orders. */
export interface ScalingFacts {
  /** Fewest and most upstreams in a failure domain, both kinds together. */
  readonly least: number
  readonly most: number
  readonly bootTime: Milliseconds
  /** Price of a reclaimable upstream relative to another; undefined where there are none. */
  readonly reclaimablePrice: number | undefined
  /** Price of an upstream's second by failure domain. */
  readonly prices: Readonly<Record<string, number>>
}

/** One service. */
export interface Service {
  readonly name: string
  /** Most connections that one upstream accepts from all callers together. */
  readonly mostConnections: number
  /** Its upstreams are model engines, which read prompts before they answer. */
  readonly hasEngines: boolean
  /** A run's memory can be moved to another of its upstreams, where the run goes on. */
  readonly movesRuns: boolean
  readonly scaling: ScalingFacts | undefined
}

/** What an organisation may use over all nodes together; a rate of 0 is no limit. */
export interface Quota {
  readonly unit: 'requests' | 'tokens'
  /** Units a second. */
  readonly rate: number
  /** Units that may come at once beyond the rate. */
  readonly burst: number
  /** Units of a request that names no tokens. */
  readonly plainCost: number
}

/** One organisation with its keys. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the route's. */
  readonly priority: number | undefined
  readonly quota: Quota
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTime: Milliseconds
  readonly idleTime: Milliseconds
}

/** The operators' configuration in one version. */
export interface RoutingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined: nobody needs a key. */
  readonly organisations: readonly Organisation[] | undefined
  readonly limits: CallerLimits
}
