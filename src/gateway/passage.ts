/** One request on its way, and the rules of when it may be sent again. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import type { UpstreamLife } from '../placement/index.js'
import type { Side } from '../rollout/index.js'
import { mayRepeat, ServingError } from '../verdict.js'
import type { FailureCode, Verdict } from '../verdict.js'
import { refusal } from './acceptance.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { StreamProgress } from './stream-relay.js'
import type { EndReason, TimeLimit } from './time-limit.js'

/** State of one request. */
export interface Passage {
  readonly accepted: AcceptedRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly fingerprint: string
  readonly arrival: Milliseconds
  readonly limit: TimeLimit
  /** Aborts with an {@link EndReason}. */
  readonly signal: AbortSignal
  readonly service: string
  /** Side of a roll-out that its first send goes to; undefined before it was chosen. */
  side: Side | undefined
  /** Upstreams that it was sent to. */
  readonly tried: Set<UpstreamLife>
  /** Id of the one that it was last sent to. */
  upstream: string | undefined
  /** Sends that an upstream may have begun to run. */
  attempts: number
  /** Sends that were not run. */
  unrun: number
  /** Sends that arrived at an upstream, run or not. */
  arrivals: number
  readonly progress: StreamProgress
  /** It stands in the usage of its organisation. */
  counted: boolean
  /** Time from its arrival to the first part of its answer. */
  firstAnswer: Milliseconds | undefined
}

/** When a refused caller is to come back: a replacement of a crashed upstream is in the registry by then. */
export const NO_UPSTREAM_WAIT: Milliseconds = 300

/** Most sends of one request that no upstream ran; each cost at most a connection's timeout. */
const MOST_UNRUN_SENDS = 4

/** Why a request isn't sent once more. */
type RepeatRefusal = 'its time is up' | 'too many upstreams did not run it' | 'it may run only once' | 'its route allows no further attempt' | 'the retry budget is used up'

/**
 * Whether a request may be sent once more after a send with this verdict. Takes from the retry budget where
 * upstreams will see it more than once.
 *
 * @example
 * if (!maySendAgain(context, passage, 'may-have-run')) throw failure
 */
export function maySendAgain (context: GatewayContext, passage: Passage, verdict: Verdict): boolean {
  const refused = repeatRefusal(context, passage, verdict)
  if (refused === undefined) return true
  context.log.info('repeat-refused', { request: passage.accepted.head.id, reason: refused, attempts: passage.attempts, unrun: passage.unrun })
  return false
}

function repeatRefusal (context: GatewayContext, passage: Passage, verdict: Verdict): RepeatRefusal | undefined {
  const { route } = passage.accepted
  if (passage.signal.aborted) return 'its time is up'
  if (passage.unrun >= MOST_UNRUN_SENDS) return 'too many upstreams did not run it'
  // A stream goes on after the last event that was passed on; before the first one it begins anew.
  const repeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
  // A run that goes on from its memory elsewhere and was not taken there has run before.
  const sofar: Verdict = passage.attempts > 0 && verdict === 'not-run' ? 'may-have-run' : verdict
  if (!mayRepeat(sofar, repeatable)) return 'it may run only once'
  if (passage.attempts >= route.mostAttempts) return 'its route allows no further attempt'
  if (passage.arrivals === 0 || context.retryBudget(passage.service).take(context.clock.now())) return undefined
  return 'the retry budget is used up'
}

/**
 * The failure of a request whose signal was aborted.
 *
 * @example
 * if (passage.signal.aborted) throw endFailure(passage)
 */
export function endFailure (passage: Passage): ServingError {
  const reason = passage.signal.reason as EndReason
  const verdict: Verdict = passage.attempts > 0 ? 'may-have-run' : 'not-run'
  switch (reason) {
    case 'time-limit': return new ServingError('the time limit was reached', { code: 'timeout', verdict, ...(verdict === 'not-run' ? { retryAfter: NO_UPSTREAM_WAIT } : {}) })
    case 'caller-gone': return new ServingError('the caller has left', { code: 'cancelled', verdict })
    case 'stopped': return new ServingError('the node stops', { code: 'stopping', verdict })
  }
}

/**
 * The failure of a request that can't be sent now: not run, unless an earlier send of it may have.
 *
 * @param retryAfter when it may be sent, as far as that is known
 * @example
 * throw unsent(passage, 'no-upstream', 'no upstream may take the request now')
 */
export function unsent (passage: Passage, code: FailureCode, message: string, retryAfter: Milliseconds = NO_UPSTREAM_WAIT): ServingError {
  if (passage.attempts > 0) return new ServingError(message, { code: 'upstream-failed', verdict: 'may-have-run' })
  return refusal(code, message, retryAfter)
}
