/** One request at the node that runs it: its answer, where its stream stands, and its times. */
import type { Clock, Milliseconds } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import { createAnswer } from '../request/index.js'
import type { Answer, Outcome, Request, StreamPosition } from '../request/index.js'

/** Where a running attempt shall go on instead. */
export type Redirection =
  /** The cache was exported: attach to the stream of that handle. */
  | { kind: 'attach', upstream: UpstreamName, handle: string }
  /** Start again elsewhere from the prompt and the tokens so far. */
  | { kind: 'recompute' }

/** An attempt that runs at an upstream. */
export interface OpenAttempt {
  readonly upstream: UpstreamName
  /** The upstream's name for the stream; empty for plain services and before the stream has begun. */
  handle: string
  readonly startedAt: Milliseconds
  /** Leaves the upstream's stream and goes on as told. */
  redirect (redirection: Redirection): void
}

/** Why a run ends here before its answer does. */
export type StopReason =
  /** It goes on at another node, which attaches to the upstream's stream. */
  | 'handed-over'
  /** Its caller is gone for good; the upstream is told to cancel. */
  | 'abandoned'

/** A request from its arrival to its end. */
export interface Execution {
  readonly request: Request
  readonly answer: Answer
  readonly arrivedAt: Milliseconds
  /** The same on the wall clock, for reports. */
  readonly arrivedAtWall: Milliseconds
  /** W3C trace context that the caller sent or this node began. */
  readonly traceparent: string | undefined
  /** Aborts when the run ends here before its answer does, with a {@link StopReason}, or with the node. */
  owner: AbortController
  /** Where the next run attaches first, for a request that was taken over. */
  position: StreamPosition | undefined
  /** Resolves when the request is accepted; never when it is refused. */
  readonly acceptance: Promise<void>
  /** Marks the request as accepted: from now on its caller holds the id of an answer that has begun. */
  accept (): void
  /** Resolves when the present run has ended, for whatever reason. */
  running: Promise<void>
  /** The attempt that runs now. */
  attempt: OpenAttempt | undefined
  accepted: boolean
  /** Something was sent to an upstream and may have run. */
  dispatched: boolean
  firstTokenAt: Milliseconds | undefined
  endedAt: Milliseconds | undefined
  /** How it ended. */
  outcome: Outcome | undefined
  /** The prompt is not known here: the stream can be followed and never run again. */
  readonly attachOnly: boolean
  /** Another node's report counts it. */
  readonly countedElsewhere: boolean
  /** Tokens computed again because of reclaims, crashes or retries. */
  recomputedTokens: number
  /** An earlier attempt has computed the prompt. */
  computedBefore: boolean
  /** Callers that are connected. */
  readers: number
  /** When the last caller went away. */
  unreadSince: Milliseconds | undefined
}

/** What an execution begins with. */
export interface ExecutionStart {
  readonly request: Request
  readonly traceparent?: string | undefined
  /** Tokens that exist already, for a request that is taken over. */
  readonly tokens?: readonly string[]
  /** Where its stream stands at an upstream, for a request that is taken over. */
  readonly position?: StreamPosition | undefined
  /** Its caller had the id at the node before. */
  readonly accepted?: boolean
  readonly dispatched?: boolean
  /** The prompt is not known here: the stream can be followed and never run again. Default false. */
  readonly attachOnly?: boolean
  /** Another node's report counts it. Default false. */
  readonly countedElsewhere?: boolean
  readonly recomputedTokens?: number
  /** How long ago its first token came, in milliseconds. */
  readonly firstTokenAge?: Milliseconds | undefined
  /** How long ago it arrived at the node before, in milliseconds. */
  readonly age?: Milliseconds
}

/**
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
    owner: new AbortController(),
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
    computedBefore: (start.tokens?.length ?? 0) > 0,
    readers: 0,
    unreadSince: undefined
  }
  return execution
}
