/** Waits until an upstream may take a request, or refuses the request. */
import type { Milliseconds } from '../clock.js'
import type { Choice } from '../placement/index.js'
import type { ServingError } from '../verdict.js'
import type { GatewayContext } from './context.js'
import { abortFailure, NO_UPSTREAM_RETRY_AFTER, undispatchedFailure } from './proxied-request.js'
import type { ProxiedRequest } from './proxied-request.js'
import { tryChooseUpstream } from './upstream-choice.js'

/** Fraction of the route's target for which a request waits for an available upstream before it is refused. */
const UPSTREAM_WAIT_FRACTION = 1 / 8

/** Interval at which a waiting request looks for an available upstream. */
const UPSTREAM_POLL_PERIOD: Milliseconds = 10

/**
 * Chooses an upstream. While none is available, waits for up to {@link UPSTREAM_WAIT_FRACTION} of the target.
 *
 * @throws ServingError when no upstream became available
 * @example
 * const choice = await waitForUpstream(context, proxied)
 */
export async function waitForUpstream (context: GatewayContext, proxied: ProxiedRequest): Promise<Choice> {
  const { clock } = context
  const waitUntil = Math.min(proxied.limit.end, clock.now() + proxied.accepted.route.target * UPSTREAM_WAIT_FRACTION)
  for (;;) {
    const choice = tryChooseUpstream(context, proxied)
    if (choice !== undefined) {
      if (proxied.tried.size === 0) context.work.add(proxied.service, choice.reading, proxied.accepted.head.tokens?.generated ?? 0, clock.now())
      return choice
    }
    if (proxied.signal.aborted) throw abortFailure(proxied)
    const remainingWait = backpressureWait(context, proxied)
    if (clock.now() + remainingWait >= waitUntil) throw noUpstreamFailure(context, proxied, remainingWait)
    await clock.sleep(UPSTREAM_POLL_PERIOD, proxied.signal).catch(() => {})
  }
}

/**
 * Time until the first upstream accepts requests of this node again, if all of them have asked for fewer requests;
 * otherwise 0. A request that cannot be sent in time is refused at once, with this time as its `Retry-After`.
 */
function backpressureWait ({ clock, upstreams, backpressure }: GatewayContext, { service, tried }: ProxiedRequest): Milliseconds {
  const waits = upstreams.notLeaving(service, tried).map(({ incarnation }) => backpressure.wait(incarnation, clock.now()))
  return waits.length === 0 ? 0 : Math.min(...waits)
}

function noUpstreamFailure (context: GatewayContext, proxied: ProxiedRequest, remainingWait: Milliseconds): ServingError {
  const { clock, log, upstreams } = context
  log.info('upstream-not-found', {
    request: proxied.accepted.head.id,
    service: proxied.service,
    ready: upstreams.candidates(proxied.service, new Set(), clock.now()).length,
    tried: proxied.tried.size,
    waited: Math.round(clock.now() - proxied.arrival),
    withheld: remainingWait > 0 ? Math.round(remainingWait) : undefined,
    ...context.freshness()
  })
  return undispatchedFailure(proxied, 'no-upstream', 'no upstream may take the request now', Math.max(NO_UPSTREAM_RETRY_AFTER, remainingWait))
}
