/** State of one request at the node that runs it: its answer, its stream and its times. */
import type { Clock, Milliseconds } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import { createAnswer } from '../request/index.js'
import type { Answer, Outcome, Request, StreamPosition } from '../request/index.js'

/** Where a running attempt continues after it leaves its stream. */
export type Redirection =
  /** The cache was exported to another upstream. The attempt attaches to the stream with this handle. */
  | { kind: 'attach', upstream: UpstreamName, handle: string }
  /** The request starts again at another upstream, from the prompt and the tokens so far. */
  | { kind: 'recompute' }

/** An attempt that runs at an upstream. */
export interface OpenAttempt {
  readonly upstream: UpstreamName
  /** Handle that the upstream assigned to the stream. Empty for plain services and before the stream has started. */
  handle: string
  readonly startedAt: Milliseconds
  /** Leaves the stream and continues at the given place. Only the first call has an effect. */
  redirect (redirection: Redirection): void
}

/** Why a run at this node stops before the answer has ended. */
export type StopReason =
  /** Another node continues the request and attaches to the stream of the upstream. */
  | 'handed-over'
  /** The caller has left and did not resume. The stream is cancelled at the upstream. */
  | 'abandoned'

/** State of a request from its arrival to its end. */
export interface Execution {
  readonly request: Request
  readonly answer: Answer
  readonly arrivedAt: Milliseconds
  /** Time of arrival by the wall clock, for reports. */
  readonly arrivedAtWall: Milliseconds
  /** W3C trace context, sent by the caller or started by this node. */
  readonly traceparent: string | undefined
  /**
   * Aborts the current run. The reason is a {@link StopReason}, or that of the node's own signal if the node stops.
   */
  runController: AbortController
  /** Stream to which the next run attaches first, for a request that was taken over. */
  position: StreamPosition | undefined
  /** Resolves when the request is accepted. Never settles if the request is refused. */
  readonly acceptance: Promise<void>
  /** Marks the request as accepted. From then on its caller knows the id of an answer that has started. */
  accept (): void
  /** Resolves when the current run has ended, for any reason. */
  running: Promise<void>
  /** The running attempt, if any. */
  attempt: OpenAttempt | undefined
  accepted: boolean
  /** Whether anything was dispatched to an upstream that ran or may have run. */
  dispatched: boolean
  firstTokenAt: Milliseconds | undefined
  endedAt: Milliseconds | undefined
  /** How the request ended. */
  outcome: Outcome | undefined
  /** Whether the prompt is unknown at this node. The request can then only follow its stream and never run again. */
  readonly attachOnly: boolean
  /** Whether the report of another node counts the request. */
  readonly countedElsewhere: boolean
  /** Number of tokens that were computed again because of reclaims, crashes or retries. */
  recomputedTokens: number
  /** Whether an earlier attempt has already prefilled the prompt. */
  prefilledBefore: boolean
  /** Number of callers that are reading the answer. */
  readers: number
  /** When the last reader left. Undefined before the first reader has left. */
  unreadSince: Milliseconds | undefined
}

/** Initial state of an execution. */
export interface ExecutionStart {
  readonly request: Request
  readonly traceparent?: string | undefined
  /** Tokens of the answer so far, for a request that is taken over. */
  readonly tokens?: readonly string[]
  /** Position of the stream at its upstream, for a request that is taken over. */
  readonly position?: StreamPosition | undefined
  /** Whether the previous node had accepted the request. */
  readonly accepted?: boolean
  /** Whether the previous node had dispatched the request. */
  readonly dispatched?: boolean
  /** Whether the prompt is unknown at this node. See {@link Execution.attachOnly}. Default false. */
  readonly attachOnly?: boolean
  /** Whether the report of another node counts the request. Default false. */
  readonly countedElsewhere?: boolean
  readonly recomputedTokens?: number
  /** Time since the first token, in milliseconds. */
  readonly firstTokenAge?: Milliseconds | undefined
  /** Time since the request arrived at the previous node, in milliseconds. */
  readonly age?: Milliseconds
}

/**
 * Creates the state of a request that does not run yet.
 *
 * @example
 * const execution = createExecution({ request }, clock)
 */
export function createExecution (start: ExecutionStart, clock: Clock): Execution {
  let markAccepted = (): void => {}
  const acceptance = new Promise<void>((resolve) => { markAccepted = resolve })
  const execution: Execution = {
    request: start.request,
    answer: createAnswer(start.tokens),
    arrivedAt: clock.now() - (start.age ?? 0),
    arrivedAtWall: clock.wall() - (start.age ?? 0),
    traceparent: start.traceparent,
    runController: new AbortController(),
    position: start.position,
    acceptance,
    accept: () => {
      execution.accepted = true
      markAccepted()
    },
    running: Promise.resolve(),
    attempt: undefined,
    accepted: false,
    dispatched: start.dispatched ?? false,
    firstTokenAt: start.firstTokenAge === undefined ? undefined : clock.now() - start.firstTokenAge,
    endedAt: undefined,
    outcome: undefined,
    attachOnly: start.attachOnly ?? false,
    countedElsewhere: start.countedElsewhere ?? false,
    recomputedTokens: start.recomputedTokens ?? 0,
    prefilledBefore: (start.tokens?.length ?? 0) > 0,
    readers: 0,
    unreadSince: undefined
  }
  return execution
}
