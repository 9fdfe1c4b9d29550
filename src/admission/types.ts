/**
 * Messages of the scheduler: one decision maker per node for order, admission, organisation limits
 * and the choice of upstream. It sees events and answers with effects; the entry carries them out.
 */
import type { Milliseconds } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { ClassName, OrganisationName, RequestId, UpstreamName } from '../identifiers.js'
import type { LoadReport, UpstreamView, Usage } from '../upstream/index.js'
import type { Verdict } from '../verdict.js'

/** One attempt that waits for an upstream. A further attempt of a request arrives as a new one. */
export interface PendingAttempt {
  readonly id: RequestId
  readonly organisation: OrganisationName
  readonly class: ClassName
  /** 1 for the first. */
  readonly attempt: number
  /** Arrival of the request, not of this attempt. */
  readonly arrivedAt: Milliseconds
  /** Estimated tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number
  readonly maxTokens: number
  /** Tokens of the answer that exist already and need not be generated again. */
  readonly tokensSoFar: number
  /** Hashes of the prompt's leading blocks, shortest first. */
  readonly prefixBlocks: readonly string[]
  readonly adapter: string | undefined
  /** Upstreams that must not be chosen: they failed this request. */
  readonly excluded: readonly UpstreamName[]
  /** Suspected of crashing upstreams: it must run where no other request of this node runs. */
  readonly apart: boolean
  /** The caller holds the id of an answer that has begun: refusing now would lose it. */
  readonly accepted: boolean
}

/** How an attempt ended. */
export type AttemptResult =
  | { kind: 'whole', usage: Usage }
  | { kind: 'failed', verdict: Verdict, upstreamDied: boolean }
  | { kind: 'withdrawn' }

/** What happens to the scheduler. */
export type SchedulerEvent =
  | { kind: 'configured', configuration: Configuration }
  /** The whole view of upstreams, leaving ones included. */
  | { kind: 'upstreams', upstreams: readonly UpstreamView[] }
  | { kind: 'load', report: LoadReport }
  /** Cached prompt blocks changed at an upstream; `gap` when events before these were missed. */
  | { kind: 'cache', upstream: UpstreamName, stored: readonly string[], evicted: readonly string[], gap: boolean }
  /** Entry nodes that share the upstreams, this one included. */
  | { kind: 'nodes', count: number }
  | { kind: 'arrived', attempt: PendingAttempt }
  | { kind: 'first-token', id: RequestId }
  | { kind: 'ended', id: RequestId, result: AttemptResult }
  /** Time passed; refuses what can no longer meet its target while it waits. */
  | { kind: 'tick' }

/** Why an attempt was refused; always `not-run` as far as the scheduler is concerned. */
export type RefusalCode = 'overloaded' | 'organisation-limit' | 'no-upstream'

/** What the entry does next. */
export type SchedulerEffect =
  /** Smaller priorities run earlier at the engine. */
  | { kind: 'dispatch', id: RequestId, upstream: UpstreamName, priority: number }
  | { kind: 'refuse', id: RequestId, code: RefusalCode, retryAfter: Milliseconds }

/** Order, admission and choice of one node. Neither I/O nor clock: time comes with each event. */
export interface Scheduler {
  handle (event: SchedulerEvent, now: Milliseconds): readonly SchedulerEffect[]
}
