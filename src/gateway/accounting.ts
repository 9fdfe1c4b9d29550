/** Accounting of finished requests: one log line and metrics for each. */
import type { Milliseconds } from '../clock.js'
import type { ServingError, Verdict } from '../verdict.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { ProxiedRequest } from './proxied-request.js'
import type { RequestHead } from './ports.js'
import type { DayOutcome } from '../events/index.js'

/** How a request ended: with the answer of an upstream, or with a failure reported by the gateway itself. */
export type RequestEnd =
  | { readonly kind: 'answered', readonly outcome: AnswerOutcome }
  | { readonly kind: 'failed', readonly failure: ServingError }

/** Whether the upstream's answer was a success. */
export type AnswerOutcome = 'served' | 'upstream-failed'

/** A request from its arrival to its end. */
export interface CallerRequest {
  readonly head: RequestHead
  readonly arrival: Milliseconds
  /** Time for which it may have waited unread. */
  readonly unread: Milliseconds
  /** Undefined until the head has passed the checks. */
  accepted: AcceptedRequest | undefined
  /** Undefined until the body has been read and the quota has been charged. */
  proxied: ProxiedRequest | undefined
}

/** Left out of lines below this time, as at most nodes. */
const MIN_LOGGED_WAIT: Milliseconds = 10

/**
 * Records a finished request in the log, the metrics and the sums.
 *
 * @example
 * recordRequest(context, callerRequest, { kind: 'answered', outcome: 'served' })
 */
export function recordRequest (context: GatewayContext, callerRequest: CallerRequest, end: RequestEnd): void {
  const { metrics, sums, clock } = context
  const { accepted, proxied, arrival } = callerRequest
  const elapsed = clock.now() - arrival
  const route = accepted?.route.name ?? 'none'
  const organisation = accepted?.organisation?.name ?? 'none'
  switch (end.kind) {
    case 'answered':
      if (proxied !== undefined) logAnswered(context, proxied, end.outcome, elapsed)
      metrics.count('requests', { route, organisation, outcome: end.outcome, verdict: 'ran' })
      break
    case 'failed':
      logFailed(context, callerRequest, end.failure, elapsed)
      metrics.count('requests', { route, organisation, outcome: end.failure.code, verdict: end.failure.verdict })
  }
  sums.add(dayOutcome(end, proxied))
  metrics.record('whole_answer', elapsed, { route })
  if (proxied?.timeToFirstAnswer !== undefined) metrics.record('rest', elapsed - proxied.timeToFirstAnswer, { route })
}

function logAnswered ({ log }: GatewayContext, proxied: ProxiedRequest, outcome: AnswerOutcome, elapsed: Milliseconds): void {
  const { accepted } = proxied
  log.info('request-served', {
    request: accepted.head.id,
    route: accepted.route.name,
    organisation: accepted.organisation?.name,
    upstream: proxied.upstream ?? '',
    attempts: proxied.attempts,
    unrun: proxied.unrun,
    events: proxied.progress.events,
    promptTokens: accepted.head.tokens?.prompt,
    late: isLate(proxied) ?? false,
    // Left out of the lines of successful answers, which are most.
    failed: outcome === 'upstream-failed' ? true : undefined,
    firstAfter: Math.round(proxied.timeToFirstAnswer ?? elapsed),
    after: Math.round(elapsed)
  })
}

function logFailed ({ log, freshness }: GatewayContext, { head, unread, accepted, proxied }: CallerRequest, failure: ServingError, elapsed: Milliseconds): void {
  log.info('request-failed', {
    request: head.id,
    route: accepted?.route.name,
    organisation: accepted?.organisation?.name,
    code: failure.code,
    verdict: failure.verdict,
    reason: failure.message,
    attempts: proxied?.attempts,
    unrun: proxied?.unrun,
    promptTokens: head.tokens?.prompt,
    late: proxied === undefined ? undefined : isLate(proxied),
    unread: unread >= MIN_LOGGED_WAIT ? Math.round(unread) : undefined,
    after: Math.round(elapsed),
    retryAfter: failure.retryAfter === undefined ? undefined : Math.round(failure.retryAfter),
    ...freshness()
  })
}

function dayOutcome (end: RequestEnd, proxied: ProxiedRequest | undefined): DayOutcome {
  switch (end.kind) {
    case 'answered':
      if (end.outcome === 'upstream-failed') return 'lost'
      return proxied !== undefined && isLate(proxied) === true ? 'late' : 'served'
    case 'failed': return end.failure.code === 'cancelled' ? 'left' : dayOutcomeOfVerdict(end.failure.verdict)
  }
}

/** Whether the answer started after the route's target. Undefined if none has started. */
function isLate ({ timeToFirstAnswer, accepted }: ProxiedRequest): boolean | undefined {
  return timeToFirstAnswer === undefined ? undefined : timeToFirstAnswer > accepted.route.target
}

function dayOutcomeOfVerdict (verdict: Verdict): DayOutcome {
  return verdict === 'not-run' ? 'refused' : 'lost'
}
