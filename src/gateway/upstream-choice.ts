/** Chooses the upstream for the next attempt of a request. */
import { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from '../placement/index.js'
import type { Choice, PlacementRequest, UpstreamRecord } from '../placement/index.js'
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
  const candidates = context.upstreams.candidates(proxied.service, proxied.tried, now, (present) => admittedUpstreams(context, proxied, present))
  const choice = chooseUpstream(placementRequest, candidates, context.settings, hasEngines ? ENGINE_COSTS : PLAIN_COSTS, { speed: context.speeds.of(proxied.service), slotTime: context.upstreams.slotTimes.of(proxied.service, hasEngines) }, context.random)
  if (choice !== undefined) context.backpressure.taken(choice.upstream.incarnation, now)
  return choice
}

/**
 * Whether an upstream runs the version that began the stream. What two versions write does not fit together.
 *
 * @returns true for a request of which no event has been relayed
 * @example
 * upstreams.filter((upstream) => canContinue(proxied, upstream))
 */
export function canContinue ({ progress }: ProxiedRequest, { version }: UpstreamRecord): boolean {
  return progress.version === undefined || progress.version === version
}

/** Upstreams that the versions of the service allow: a stream that has begun stays at its version, and a roll-out selects those of other requests. */
function admittedUpstreams (context: GatewayContext, proxied: ProxiedRequest, present: readonly UpstreamRecord[]): readonly UpstreamRecord[] {
  const { rollouts } = context
  const { service, tried, progress } = proxied
  if (progress.version !== undefined) return present.filter((upstream) => canContinue(proxied, upstream) && rollouts.roleOf(upstream) !== 'avoided')
  proxied.side ??= rollouts.side(service)
  // A request that failed at the version being rolled out is retried at the version that already serves.
  return recordedFirst(context, proxied, rollouts.admit(service, tried.size === 0 ? proxied.side : 'serving', present))
}

/**
 * Failure guarded against: streams begin at a version of which the store knows nothing, all nodes are killed, and their successors take
 * another version for the only one. Where no other version serves, or the store takes no writes, streams begin there all the same.
 */
function recordedFirst ({ streamOrigins }: GatewayContext, { accepted, service }: ProxiedRequest, admitted: readonly UpstreamRecord[]): readonly UpstreamRecord[] {
  if (!accepted.route.resumable) return admitted
  const usable = admitted.filter(({ version }) => streamOrigins.mayBegin(service, version))
  return usable.length > 0 ? usable : admitted
}
