/** What became of requests: a line and metrics for each. */
import type { Milliseconds } from '../clock.js'
import type { ServingError, Verdict } from '../verdict.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { Passage } from './passage.js'
import type { RequestHead } from './ports.js'
import type { DayOutcome } from '../events/index.js'

/** How a request ended: an upstream's answer was passed on, or the system gave one of its own. */
export type Ending =
  | { readonly kind: 'answered', readonly outcome: AnswerOutcome }
  | { readonly kind: 'failed', readonly failure: ServingError }

/** Whether the upstream's answer was a success. */
export type AnswerOutcome = 'served' | 'upstream-failed'

/** A request from its arrival on. */
export interface Call {
  readonly head: RequestHead
  readonly arrival: Milliseconds
  /** Undefined until its head has passed the checks. */
  accepted: AcceptedRequest | undefined
  /** Undefined until it is read and within its quota. */
  passage: Passage | undefined
}

/**
 * Accounts for one request.
 *
 * @example
 * account(context, call, { kind: 'answered', outcome: 'served' })
 */
export function account (context: GatewayContext, call: Call, ending: Ending): void {
  const { metrics, sums, clock } = context
  const { accepted, passage, arrival } = call
  const after = clock.now() - arrival
  const route = accepted?.route.name ?? 'none'
  const organisation = accepted?.organisation?.name ?? 'none'
  switch (ending.kind) {
    case 'answered':
      if (passage !== undefined) tellAnswered(context, passage, after)
      metrics.count('requests', { route, organisation, outcome: ending.outcome, verdict: 'ran' })
      break
    case 'failed':
      tellFailed(context, call, ending.failure, after)
      metrics.count('requests', { route, organisation, outcome: ending.failure.code, verdict: ending.failure.verdict })
  }
  sums.add(sumOf(ending, passage))
  metrics.record('whole_answer', after, { route })
  if (passage?.firstAnswer !== undefined) metrics.record('rest', after - passage.firstAnswer, { route })
}

function tellAnswered ({ log }: GatewayContext, passage: Passage, after: Milliseconds): void {
  const { accepted } = passage
  log.info('request-served', {
    request: accepted.head.id,
    route: accepted.route.name,
    organisation: accepted.organisation?.name,
    upstream: passage.upstream ?? '',
    attempts: passage.attempts,
    unrun: passage.unrun,
    events: passage.progress.events,
    firstAfter: Math.round(passage.firstAnswer ?? after),
    after: Math.round(after)
  })
}

function tellFailed ({ log, sources }: GatewayContext, { head, accepted, passage }: Call, failure: ServingError, after: Milliseconds): void {
  log.info('request-failed', {
    request: head.id,
    route: accepted?.route.name,
    organisation: accepted?.organisation?.name,
    code: failure.code,
    verdict: failure.verdict,
    reason: failure.message,
    attempts: passage?.attempts,
    unrun: passage?.unrun,
    after: Math.round(after),
    retryAfter: failure.retryAfter === undefined ? undefined : Math.round(failure.retryAfter),
    ...sources()
  })
}

function sumOf (ending: Ending, passage: Passage | undefined): DayOutcome {
  switch (ending.kind) {
    case 'answered':
      if (ending.outcome === 'upstream-failed') return 'lost'
      return (passage?.firstAnswer ?? 0) > (passage?.accepted.route.target ?? Infinity) ? 'late' : 'served'
    case 'failed': return ending.failure.code === 'cancelled' ? 'left' : sumOfVerdict(ending.failure.verdict)
  }
}

function sumOfVerdict (verdict: Verdict): DayOutcome {
  return verdict === 'not-run' ? 'refused' : 'lost'
}
