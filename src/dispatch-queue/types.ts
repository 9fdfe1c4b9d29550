/** Waiting requests as the dispatch queue sees them, and its effects. */
import type { Milliseconds } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'

/** The upstream to which a request would be dispatched now. */
export interface Offer {
  /** Expected time until the upstream begins the request. */
  readonly waiting: Milliseconds
  /** Prefill time of the request itself there. */
  readonly reading: Milliseconds
}

/** A request that needs an upstream. The object is the identity of the request in the queue. */
export interface QueuedRequest<Choice extends Offer> {
  /** 0 is the most urgent. */
  readonly rank: number
  readonly organisation: OrganisationName
  /** Time of the request's arrival at the node. A further attempt keeps it, and with it its place in the order. */
  readonly arrival: Milliseconds
  /** Time from the arrival within which the first answer is in time. */
  readonly target: Milliseconds
  /** Time at which the final answer is due at the latest. */
  readonly limit: Milliseconds
  /** Time until which the caller waits; Infinity if it has not said. */
  readonly deadline: Milliseconds
  /** Time to a first answer apart from the prefill. */
  readonly base: Milliseconds
  /** Size of the body, which stays in memory while the request waits. */
  readonly bytes: number
  /** Part of its answer has been delivered, and the rest is due. Such a request does not wait for a shorter queue. */
  readonly answering: boolean
  /** It may not use all upstreams, because it has tried some of them. It does not hold up other requests. */
  readonly restricted: boolean
  /** Chooses an upstream without any effect on the upstream's load. Returns undefined if none may take the request. */
  readonly choose: () => Choice | undefined
  /** Time until an upstream accepts requests again if all have asked for fewer; otherwise 0. */
  readonly withheld: () => Milliseconds
}

/** Why a request is refused. `full`: there is no room to wait. */
export type RefusalCause = 'overloaded' | 'full' | 'no-upstream'

/** What is to be done with a request. Each request that arrives gets exactly one effect, unless it leaves before. */
export type QueueEffect<Choice extends Offer> =
  | { readonly kind: 'dispatch', readonly request: QueuedRequest<Choice>, readonly choice: Choice }
  | {
    readonly kind: 'refuse'
    readonly request: QueuedRequest<Choice>
    readonly cause: RefusalCause
    /** Expected time until an upstream would have begun the request, or accepts requests again. */
    readonly backlog: Milliseconds
    /** Time after which a retry has a realistic chance. */
    readonly retryAfter: Milliseconds
  }

/** What is before a request in the order. */
export interface QueuePosition {
  readonly requests: number
  /** Expected work of these requests, in milliseconds of one upstream. */
  readonly work: Milliseconds
}

/** Waiting requests of one service at one node. */
export interface DispatchQueue<Choice extends Offer> {
  /** Adds a request. It is dispatched or refused at once, or waits. */
  arrived (request: QueuedRequest<Choice>, now: Milliseconds): QueueEffect<Choice>[]
  /** Removes a request whose caller has left, if it waits. */
  left (request: QueuedRequest<Choice>, now: Milliseconds): void
  /**
   * Decides about the waiting requests again. To be called when upstreams, their load or the time have changed.
   *
   * Dispatches one request at most, since the choice for the next one depends on the load that this one adds.
   */
  advance (now: Milliseconds): QueueEffect<Choice>[]
  /** Time at which `advance` is due even if nothing else changes; undefined if nothing waits. */
  wakeAt (): Milliseconds | undefined
  size (): number
  /** What is before a waiting request, for log lines. */
  positionOf (request: QueuedRequest<Choice>, now: Milliseconds): QueuePosition
}
