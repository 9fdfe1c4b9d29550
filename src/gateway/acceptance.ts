/** Checks of a request before any upstream hears of it: route, key, size, quota. */
import type { Milliseconds } from '../clock.js'
import type { Organisation, Route, RouteTable } from '../routing/index.js'
import type { GatewayContext } from './context.js'
import type { RequestHead } from './ports.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'

/** A request that passed its head's checks. */
export interface AcceptedRequest {
  readonly head: RequestHead & { readonly id: string }
  readonly route: Route
  /** Undefined on anonymous routes. */
  readonly organisation: Organisation | undefined
  /** Rank, 0 is the most urgent. */
  readonly priority: number
}

/** Time after which a node without configuration is worth another question: a restart is through by then. */
const CONFIGURATION_WAIT: Milliseconds = 300

/**
 * Checks what the head tells.
 *
 * @throws ServingError `not-run` with the code of the first check that failed
 * @example
 * const accepted = acceptHead(context.table(), head, request.headers.host, request.url)
 */
export function acceptHead (table: RouteTable | undefined, head: RequestHead, host: string | undefined, path: string): AcceptedRequest {
  if (table === undefined) throw refusal('no-configuration', 'no configuration is known yet', CONFIGURATION_WAIT)
  if (head.id === undefined || head.id === '') throw refusal('invalid-request', 'the request has no id')
  const route = table.route(host ?? '', path)
  if (route === undefined) throw refusal('not-found', 'no route matches')
  const organisation = head.key === undefined ? undefined : table.organisation(head.key)
  const needsKey = table.needsKeys && !route.anonymous
  if (needsKey && organisation === undefined) throw refusal('unauthenticated', 'the key is missing or unknown')
  return {
    head: { ...head, id: head.id },
    route,
    organisation,
    priority: organisation?.priority ?? route.priority
  }
}

/**
 * Takes a request's units from its organisation's quota.
 *
 * @throws ServingError `organisation-limit`, `not-run`, with the time until there are units again
 * @example
 * const giveBack = takeQuota(context, accepted)
 */
export function takeQuota (context: GatewayContext, { head, organisation }: AcceptedRequest): () => void {
  if (organisation === undefined) return () => {}
  const cost = costOf(head, organisation)
  const decision = context.quotas.take(organisation, cost, context.clock.now())
  switch (decision.kind) {
    case 'granted': return () => context.quotas.giveBack(organisation, cost)
    case 'over':
      context.log.info('quota-refused', { request: head.id, organisation: organisation.name, cost, rate: organisation.quota.rate, offered: Math.round(decision.offered), retryAfter: Math.round(decision.retryAfter), nodes: context.sources().nodes })
      throw refusal('organisation-limit', `the quota of ${organisation.name} is used up`, decision.retryAfter)
  }
}

/**
 * A failure before anything was sent.
 *
 * @example
 * throw refusal('overloaded', 'all upstreams are busy', 200)
 */
export function refusal (code: FailureCode, message: string, retryAfter?: Milliseconds): ServingError {
  return new ServingError(message, { code, verdict: 'not-run', ...(retryAfter === undefined ? {} : { retryAfter }) })
}

function costOf (head: RequestHead, { quota }: Organisation): number {
  if (quota.unit === 'requests') return 1
  return head.tokens === undefined ? quota.plainCost : head.tokens.prompt + head.tokens.generated
}
