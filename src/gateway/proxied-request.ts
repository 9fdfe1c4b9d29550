/** State of one request while it is proxied, and the rules for further attempts. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import type { PartId } from '../crash-causes/index.js'
import type { UpstreamIncarnation } from '../placement/index.js'
import type { Side } from '../rollout/index.js'
import { isRetrySafe, ServingError } from '../verdict.js'
import type { FailureCode, Verdict } from '../verdict.js'
import { refusal } from './acceptance.js'
import { CRASH_RETRY_AFTER } from './crash-causes.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { StreamProgress } from './stream-relay.js'
import type { AbortReason, TimeLimit } from './time-limit.js'

/** State of one request from its acceptance to its end. */
export interface ProxiedRequest {
  readonly accepted: AcceptedRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly fingerprint: string
  /** Part of the prompt that is refused otherwise and that this request probes. */
  readonly probedPart: PartId | undefined
  readonly arrival: Milliseconds
  /** Time at which this node read its head. */
  readonly acceptedAt: Milliseconds
  readonly limit: TimeLimit
  /** Aborts with an {@link AbortReason}. */
  readonly signal: AbortSignal
  readonly service: string
  /** Side of a roll-out at which the first attempt is made; undefined until it has been chosen. */
  side: Side | undefined
  /** Upstreams to which an attempt was dispatched. */
  readonly tried: Set<UpstreamIncarnation>
  /** Id of the upstream of the latest attempt. */
  upstream: string | undefined
  /** Attempts that an upstream may have begun to run. */
  attempts: number
  /** Attempts that were not run. */
  unrun: number
  /** Attempts that reached an upstream, whether run or not. */
  deliveredAttempts: number
  readonly progress: StreamProgress
  /** Whether the request has been added to its organisation's usage. */
  usageCounted: boolean
  /** Time from the arrival of the request to the start of its answer. */
  timeToFirstAnswer: Milliseconds | undefined
}

/** `Retry-After` when no upstream is available. A replacement of a crashed upstream is registered within this time. */
export const NO_UPSTREAM_RETRY_AFTER: Milliseconds = 300

/** `Retry-After` of a stopping node. It is short because the caller can retry at another node at once. */
const STOPPING_RETRY_AFTER: Milliseconds = 10

/** Maximum number of attempts of one request that no upstream ran. Each takes at most the connection timeout. */
const MAX_NOT_RUN_ATTEMPTS = 4

/** Why a request is not retried. */
type RetryRefusal = 'its time is up' | 'it may crash upstreams' | 'too many upstreams did not run it' | 'it may run only once' | 'its route allows no further attempt' | 'the retry budget is used up'

/**
 * Whether a further attempt may be made after an attempt with this verdict. Takes from the retry budget if an earlier
 * attempt has reached an upstream.
 *
 * @example
 * if (!mayRetry(context, proxied, 'may-have-run')) throw failure
 */
export function mayRetry (context: GatewayContext, proxied: ProxiedRequest, verdict: Verdict): boolean {
  const refusalReason = retryRefusal(context, proxied, verdict)
  if (refusalReason === undefined) return true
  context.log.info('repeat-refused', { request: proxied.accepted.head.id, reason: refusalReason, attempts: proxied.attempts, unrun: proxied.unrun })
  return false
}

function retryRefusal (context: GatewayContext, proxied: ProxiedRequest, verdict: Verdict): RetryRefusal | undefined {
  const { route, head } = proxied.accepted
  if (proxied.signal.aborted) return 'its time is up'
  if (verdict === 'may-have-run' && context.crashes.isSuspected(head.sharedParts)) return 'it may crash upstreams'
  if (proxied.unrun >= MAX_NOT_RUN_ATTEMPTS) return 'too many upstreams did not run it'
  // A resumable stream continues after the last event that was relayed, or starts again if no event was relayed.
  const repeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
  // A moved run has already run at its previous upstream, even if the new upstream did not accept it.
  const combinedVerdict: Verdict = proxied.attempts > 0 && verdict === 'not-run' ? 'may-have-run' : verdict
  if (!isRetrySafe(combinedVerdict, repeatable)) return 'it may run only once'
  if (proxied.attempts >= route.maxAttempts) return 'its route allows no further attempt'
  if (proxied.deliveredAttempts === 0 || context.retryBudget(proxied.service).take(context.clock.now())) return undefined
  return 'the retry budget is used up'
}

/**
 * Creates the failure of a request whose signal was aborted.
 *
 * @example
 * if (proxied.signal.aborted) throw abortFailure(proxied)
 */
export function abortFailure (proxied: ProxiedRequest): ServingError {
  const reason = proxied.signal.reason as AbortReason
  const verdict: Verdict = proxied.attempts > 0 ? 'may-have-run' : 'not-run'
  switch (reason) {
    case 'time-limit': return new ServingError('the time limit was reached', { code: 'timeout', verdict, ...(verdict === 'not-run' ? { retryAfter: NO_UPSTREAM_RETRY_AFTER } : {}) })
    case 'caller-gone': return new ServingError('the caller has left', { code: 'cancelled', verdict })
    case 'crashes-upstreams': return crashFailure(proxied)
    case 'stopped': return verdict === 'not-run' ? stoppingFailure() : new ServingError('this node stops', { code: 'stopping', verdict })
  }
}

/**
 * Creates the failure of a request that a stopping node has not sent to any upstream.
 *
 * @example
 * throw stoppingFailure()
 */
export function stoppingFailure (): ServingError {
  return refusal('stopping', 'this node stops before the request would end', STOPPING_RETRY_AFTER)
}

/**
 * Creates the failure of a request that is not sent, or not sent once more, because it crashes upstreams.
 *
 * @example
 * throw crashFailure(proxied)
 */
export function crashFailure (proxied: ProxiedRequest): ServingError {
  return undispatchedFailure(proxied, 'overloaded', 'the request, or a part of its prompt, has crashed the upstreams that began to answer it', CRASH_RETRY_AFTER)
}

/**
 * Creates the failure of a request for which no attempt can be made now. The verdict is `not-run` unless an earlier
 * attempt may have run.
 *
 * @param retryAfter time after which the request can be sent, if known
 * @example
 * throw undispatchedFailure(proxied, 'no-upstream', 'no upstream may take the request now')
 */
export function undispatchedFailure (proxied: ProxiedRequest, code: FailureCode, message: string, retryAfter: Milliseconds = NO_UPSTREAM_RETRY_AFTER): ServingError {
  if (proxied.attempts > 0) return new ServingError(message, { code: 'upstream-failed', verdict: 'may-have-run' })
  return refusal(code, message, retryAfter)
}
