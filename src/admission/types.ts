/**
 * Events and effects of the scheduler.
 *
 * The scheduler of a node decides on the order, admission and upstream of attempts, and enforces the limits of
 * organisations. It receives events and returns effects, which the entry node carries out.
 */
import type { Milliseconds } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { ClassName, OrganisationName, RequestId, UpstreamName } from '../identifiers.js'
import type { LoadReport, UpstreamView, Usage } from '../upstream/index.js'
import type { Verdict } from '../verdict.js'

/** One attempt that waits for an upstream. A retry of the same request is a new attempt. */
export interface PendingAttempt {
  readonly id: RequestId
  readonly organisation: OrganisationName
  readonly class: ClassName
  /** Number of the attempt, starting at 1. */
  readonly attempt: number
  /** Arrival of the request, not of this attempt. */
  readonly arrivedAt: Milliseconds
  /** Estimated number of tokens of the prompt. 0 for services that are not models. */
  readonly promptTokens: number
  /** Maximum number of tokens of the answer. */
  readonly maxTokens: number
  /** Number of tokens of the answer that earlier attempts have generated. They are not generated again. */
  readonly tokensSoFar: number
  /** Hashes of the prompt's prefixes of whole blocks, shortest first. */
  readonly prefixBlocks: readonly string[]
  readonly adapter: string | undefined
  /** Upstreams that must not be selected because an earlier attempt of this request failed there. */
  readonly excluded: readonly UpstreamName[]
  /** Whether the request is suspected of crashing upstreams. It must then run where no other request of this node runs. */
  readonly apart: boolean
  /** Whether the caller has the id of an answer that has begun. A refusal would lose that answer. */
  readonly accepted: boolean
}

/** Result of an attempt. */
export type AttemptResult =
  | { kind: 'whole', usage: Usage }
  | { kind: 'failed', verdict: Verdict, upstreamDied: boolean }
  | { kind: 'withdrawn' }

/** Input of the scheduler. */
export type SchedulerEvent =
  | { kind: 'configured', configuration: Configuration }
  /** Complete list of upstreams, including those that are leaving. */
  | { kind: 'upstreams', upstreams: readonly UpstreamView[] }
  | { kind: 'load', report: LoadReport }
  /** Changes of the prompt blocks that an upstream has cached. `gap` means that earlier events were missed. */
  | { kind: 'cache', upstream: UpstreamName, stored: readonly string[], evicted: readonly string[], gap: boolean }
  /** Number of entry nodes that share the upstreams, including this one. */
  | { kind: 'nodes', count: number }
  | { kind: 'arrived', attempt: PendingAttempt }
  | { kind: 'first-token', id: RequestId }
  | { kind: 'ended', id: RequestId, result: AttemptResult }
  /** Periodic event. Waiting attempts that can no longer meet their target are refused. */
  | { kind: 'tick' }

/** Reason for a refusal. A refused attempt has not run. */
export type RefusalCode = 'overloaded' | 'organisation-limit' | 'no-upstream'

/** Decision of the scheduler, carried out by the entry node. */
export type SchedulerEffect =
  /** Attempts with a smaller priority run earlier at the engine. */
  | { kind: 'dispatch', id: RequestId, upstream: UpstreamName, priority: number }
  | { kind: 'refuse', id: RequestId, code: RefusalCode, retryAfter: Milliseconds }

/** Scheduler of one node. It performs no I/O and reads no clock. The time is passed with each event. */
export interface Scheduler {
  handle (event: SchedulerEvent, now: Milliseconds): readonly SchedulerEffect[]
}
