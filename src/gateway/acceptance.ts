/** Checks of a request before it is sent to any upstream: route, key and quota. */
import type { Milliseconds } from '../clock.js'
import type { Organisation, Route, RouteTable } from '../routing/index.js'
import type { GatewayContext } from './context.js'
import type { RequestHead } from './ports.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'

/** A request whose head has passed the checks. */
export interface AcceptedRequest {
  readonly head: RequestHead & { readonly id: string }
  readonly host: string
  readonly path: string
  readonly route: Route
  /** Undefined if the request has no known key, which is allowed on anonymous routes. */
  readonly organisation: Organisation | undefined
  /** Rank; 0 is the most urgent. */
  readonly priority: number
}

/** `Retry-After` of a node without a configuration. A restarting node has loaded its configuration within this time. */
const CONFIGURATION_RETRY_AFTER: Milliseconds = 300

/**
 * Checks the headers of a request.
 *
 * @throws ServingError `not-run` with the code of the first check that failed
 * @example
 * const accepted = acceptHead(context.routeTable(), head, request.headers.host, request.url)
 */
export function acceptHead (table: RouteTable | undefined, head: RequestHead, host: string | undefined, path: string): AcceptedRequest {
  if (table === undefined) throw refusal('no-configuration', 'no configuration is known yet', CONFIGURATION_RETRY_AFTER)
  if (head.id === undefined || head.id === '') throw refusal('invalid-request', 'the request has no id')
  const route = table.route(host ?? '', path)
  if (route === undefined) throw refusal('not-found', 'no route matches')
  const organisation = head.key === undefined ? undefined : table.organisation(head.key)
  const needsKey = table.needsKeys && !route.anonymous
  if (needsKey && organisation === undefined) throw refusal('unauthenticated', 'the key is missing or unknown')
  return {
    head: { ...head, id: head.id },
    host: host ?? '',
    path,
    route,
    organisation,
    priority: organisation?.priority ?? route.priority
  }
}

/**
 * Charges a request to its organisation's quota.
 *
 * @returns function that refunds the charge
 * @throws ServingError `organisation-limit`, `not-run`, with the time until the quota allows the request
 * @example
 * const refund = takeQuota(context, accepted)
 */
export function takeQuota (context: GatewayContext, { head, organisation }: AcceptedRequest): () => void {
  if (organisation === undefined) return () => {}
  const cost = quotaCost(head, organisation)
  const takenAt = context.clock.now()
  const decision = context.quotas.take(organisation, cost, takenAt)
  switch (decision.kind) {
    case 'granted': return () => context.quotas.refund(organisation, cost, takenAt, context.clock.now())
    case 'over':
      context.log.info('quota-refused', { request: head.id, organisation: organisation.name, cost, rate: organisation.quota.rate, offered: Math.round(decision.offered), retryAfter: Math.round(decision.retryAfter), cause: decision.cause, nodes: context.freshness().nodes })
      throw refusal('organisation-limit', `the quota of ${organisation.name} is used up`, decision.retryAfter)
  }
}

/**
 * Creates a failure with the verdict `not-run`, for a request that was not sent to any upstream.
 *
 * @example
 * throw refusal('overloaded', 'all upstreams are busy', 200)
 */
export function refusal (code: FailureCode, message: string, retryAfter?: Milliseconds): ServingError {
  return new ServingError(message, { code, verdict: 'not-run', ...(retryAfter === undefined ? {} : { retryAfter }) })
}

function quotaCost (head: RequestHead, { quota }: Organisation): number {
  if (quota.unit === 'requests') return 1
  return head.tokens === undefined ? quota.plainCost : head.tokens.prompt + head.tokens.generated
}
