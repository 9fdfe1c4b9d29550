/** Waits until a request is dispatched to an upstream, or refuses it. */
import type { Milliseconds } from '../clock.js'
import type { QueuedRequest } from '../dispatch-queue/index.js'
import type { OrganisationName } from '../identifiers.js'
import type { Choice } from '../placement/index.js'
import type { ServingError } from '../verdict.js'
import type { GatewayContext } from './context.js'
import type { DispatchDecision } from './dispatch-queues.js'
import { abortFailure, NO_UPSTREAM_RETRY_AFTER, undispatchedFailure } from './proxied-request.js'
import type { ProxiedRequest } from './proxied-request.js'
import { canContinue, tryChooseUpstream } from './upstream-choice.js'

/** Organisation of requests without a key. */
const ANONYMOUS = '' as OrganisationName

type Refusal = DispatchDecision & { readonly kind: 'refuse' }

const OVERLOAD_MESSAGES = { overloaded: 'no upstream can answer the request in its time', full: 'too many requests wait' }

/**
 * Chooses an upstream. While all are busy or none is available, the request waits in the dispatch queue of its service.
 *
 * @throws ServingError when the request is refused, its time is up or its caller has left
 * @example
 * const choice = await waitForUpstream(context, proxied)
 */
export async function waitForUpstream (context: GatewayContext, proxied: ProxiedRequest): Promise<Choice> {
  const { dispatchQueues } = context
  const { service, signal } = proxied
  if (signal.aborted) throw abortFailure(proxied)
  let lastOffer: Choice | undefined
  const request = createQueuedRequest(context, proxied, (choice) => { lastOffer = choice })
  let decision = dispatchQueues.join(service, request)
  if (decision === undefined) {
    logQueued(context, proxied, request, lastOffer)
    decision = await dispatchQueues.decision(service, request, signal)
  }
  if (decision === undefined) throw abortFailure(proxied)
  if (decision.kind === 'refuse') throw refusalFailure(context, proxied, decision)
  context.backpressure.taken(decision.choice.upstream.incarnation, context.clock.now())
  return decision.choice
}

/** @param onOffer called with each upstream that is considered, or undefined where none is available */
function createQueuedRequest (context: GatewayContext, proxied: ProxiedRequest, onOffer: (choice: Choice | undefined) => void): QueuedRequest<Choice> {
  const { accepted, service, limit } = proxied
  const considering = withoutTaking(context)
  let isCounted = proxied.tried.size > 0

  function choose (): Choice | undefined {
    const choice = tryChooseUpstream(considering, proxied)
    onOffer(choice)
    if (choice !== undefined && !isCounted) {
      isCounted = true
      context.work.add(service, choice.reading, accepted.head.tokens?.generated ?? 0, context.clock.now())
    }
    return choice
  }

  return {
    rank: accepted.priority,
    organisation: accepted.organisation === undefined ? ANONYMOUS : accepted.organisation.name as OrganisationName,
    arrival: proxied.arrival,
    target: accepted.route.target,
    limit: limit.end,
    deadline: limit.deadline,
    base: context.speeds.of(service).base,
    bytes: proxied.body?.length ?? 0,
    // The caller of a stream that has begun, here or elsewhere, holds a part of the answer already.
    answering: proxied.progress.version !== undefined,
    // Few upstreams are left to a request that has tried some, to one that tries the version of a roll-out, and to a stream that has begun.
    get restricted () { return proxied.tried.size > 0 || proxied.side === 'tried' || proxied.progress.version !== undefined },
    choose,
    withheld: () => backpressureWait(context, proxied)
  }
}

/** An upstream that is only considered has not been sent the request, so the rate that it allows is not used up. */
function withoutTaking (context: GatewayContext): GatewayContext {
  return { ...context, backpressure: { ...context.backpressure, taken: () => {} } }
}

/**
 * Time until the first upstream accepts requests of this node again, if all of them have asked for fewer requests;
 * otherwise 0.
 */
function backpressureWait ({ clock, upstreams, backpressure }: GatewayContext, proxied: ProxiedRequest): Milliseconds {
  const usable = upstreams.notLeaving(proxied.service, proxied.tried).filter((upstream) => canContinue(proxied, upstream))
  const waits = usable.map(({ incarnation }) => backpressure.wait(incarnation, clock.now()))
  return waits.length === 0 ? 0 : Math.min(...waits)
}

/** @param offer the upstream that the request would go to now */
function logQueued ({ dispatchQueues, log }: GatewayContext, { accepted, service, tried }: ProxiedRequest, request: QueuedRequest<Choice>, offer: Choice | undefined): void {
  const before = dispatchQueues.positionOf(service, request)
  log.info('request-queued', { request: accepted.head.id, service, rank: request.rank, waiting: offer && Math.round(offer.waiting), before: before.requests, work: Math.round(before.work), tried: tried.size })
}

function refusalFailure (context: GatewayContext, proxied: ProxiedRequest, refused: Refusal): ServingError {
  switch (refused.cause) {
    case 'no-upstream': return noUpstreamFailure(context, proxied, refused.backlog)
    case 'overloaded': return overloadFailure(context, proxied, refused, refused.cause)
    case 'full': return overloadFailure(context, proxied, refused, refused.cause)
  }
}

function overloadFailure (context: GatewayContext, proxied: ProxiedRequest, { request, backlog, retryAfter }: Refusal, cause: keyof typeof OVERLOAD_MESSAGES): ServingError {
  const { clock, log, dispatchQueues } = context
  const now = clock.now()
  log.info('overload-refused', {
    request: proxied.accepted.head.id,
    service: proxied.service,
    rank: request.rank,
    cause,
    backlog: Math.round(backlog),
    left: Math.round(proxied.limit.left(now)),
    waited: Math.round(now - proxied.arrival),
    queued: dispatchQueues.sizes()[proxied.service] ?? 0,
    tried: proxied.tried.size,
    retryAfter
  })
  return undispatchedFailure(proxied, 'overloaded', OVERLOAD_MESSAGES[cause], retryAfter)
}

function noUpstreamFailure (context: GatewayContext, proxied: ProxiedRequest, withheld: Milliseconds): ServingError {
  const { clock, log, upstreams } = context
  log.info('upstream-not-found', {
    request: proxied.accepted.head.id,
    service: proxied.service,
    ready: upstreams.candidates(proxied.service, new Set(), clock.now()).length,
    tried: proxied.tried.size,
    waited: Math.round(clock.now() - proxied.arrival),
    withheld: withheld > 0 ? Math.round(withheld) : undefined,
    ...context.freshness()
  })
  return undispatchedFailure(proxied, 'no-upstream', 'no upstream may take the request now', Math.max(NO_UPSTREAM_RETRY_AFTER, withheld))
}
