/** Chooses the upstream for the next attempt of a request. */
import { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from '../placement/index.js'
import type { Choice, PlacementRequest } from '../placement/index.js'
import type { GatewayContext } from './context.js'
import type { ProxiedRequest } from './proxied-request.js'

/**
 * Chooses an upstream among those that may take the request now.
 *
 * @returns undefined when there is none
 * @example
 * const choice = tryChooseUpstream(context, proxied)
 */
export function tryChooseUpstream (context: GatewayContext, proxied: ProxiedRequest): Choice | undefined {
  const now = context.clock.now()
  const { head, route } = proxied.accepted
  const placementRequest: PlacementRequest = { service: proxied.service, parts: head.parts, promptTokens: head.tokens?.prompt ?? 0, target: route.target, lostOnReclaim: route.kind === 'stream' && !route.resumable, streams: route.kind === 'stream' }
  const hasEngines = context.routeTable()?.service(proxied.service)?.hasEngines === true
  proxied.side ??= context.rollouts.side(proxied.service)
  // A request that failed at the version being rolled out is retried at the version that already serves.
  const side = proxied.tried.size === 0 ? proxied.side : 'serving'
  const candidates = context.upstreams.candidates(proxied.service, proxied.tried, now, (present) => context.rollouts.admit(proxied.service, side, present))
  const choice = chooseUpstream(placementRequest, candidates, context.settings, hasEngines ? ENGINE_COSTS : PLAIN_COSTS, { speed: context.speeds.of(proxied.service), slotTime: context.upstreams.slotTimes.of(proxied.service, hasEngines) }, context.random)
  if (choice !== undefined) context.backpressure.taken(choice.upstream.incarnation, now)
  return choice
}
