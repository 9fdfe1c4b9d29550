/** Finds the service and the version at which a caller's resumed stream continues. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Route, RouteHistory } from '../routing/index.js'
import type { StreamOrigin } from '../stream-origins/index.js'
import type { ServingError } from '../verdict.js'
import { refusal } from './acceptance.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { VersionWatch } from './version-watch.js'

/** `Retry-After` of a stream that cannot go on here. Short, since another node may know its origin. */
const RESUME_RETRY_AFTER: Milliseconds = 100

/** Time that other nodes have to tell where the stream began. A busy node answers within it. */
const ASK_TIMEOUT: Milliseconds = 400

/** The same where the origin can be inferred. Holders that have just died must not make the stream late. */
const CONFIRMATION_TIMEOUT: Milliseconds = 100

const REFUSAL_REASONS = {
  unknown: 'the version that began the stream is unknown',
  elsewhere: 'the service that began the stream does not serve its route any more'
}

/**
 * Age of the view of upstreams up to which an origin is inferred, as a multiple of the age up to which none is recorded. A node
 * with an older view records the origins of its streams, so views that differ a little in age leave no gap.
 */
export const MAX_INFERENCE_AGE_FACTOR = 2

/**
 * Finds the origin of a stream that its caller resumes.
 *
 * @returns undefined if the request begins a stream, or is none
 * @throws ServingError `not-run` if the stream cannot go on as it began
 * @example
 * const origin = await findResumedOrigin(context, accepted, signal)
 */
export async function findResumedOrigin (context: GatewayContext, accepted: AcceptedRequest, signal: AbortSignal): Promise<StreamOrigin | undefined> {
  const { head, route } = accepted
  if (head.lastEvent === undefined || route.kind !== 'stream') return undefined
  const maxAge = MAX_INFERENCE_AGE_FACTOR * context.settings.bounds.upstreamDrain
  const askTimeout = inferOrigin(context, accepted, maxAge) === undefined ? ASK_TIMEOUT : CONFIRMATION_TIMEOUT
  const recorded = head.resumes === undefined ? undefined : await context.streamOrigins.find(head.resumes, askTimeout, signal)
  // What was read meanwhile may name another version.
  const origin = recorded ?? inferOrigin(context, accepted, maxAge)
  if (origin === undefined) throw resumeRefusal(context, accepted, 'unknown')
  if (!route.destinations.some(({ service }) => service === origin.service)) throw resumeRefusal(context, accepted, 'elsewhere', origin)
  context.metrics.count('streams_resumed', { origin: recorded === undefined ? 'inferred' : 'recorded' })
  context.log.info('stream-resumed', { request: head.id, resumes: head.resumes, service: origin.service, version: origin.version, recorded: recorded !== undefined, ...context.versionFacts(origin.service) })
  return origin
}

function resumeRefusal ({ log, metrics, freshness, versionFacts }: GatewayContext, { head, route }: AcceptedRequest, cause: keyof typeof REFUSAL_REASONS, origin?: StreamOrigin): ServingError {
  const reason = REFUSAL_REASONS[cause]
  metrics.count('streams_resumed', { origin: cause })
  log.info('stream-resume-refused', { request: head.id, resumes: head.resumes, service: origin?.service, version: origin?.version, reason, ...versionFacts(origin?.service ?? route.destinations[0]?.service ?? ''), ...freshness() })
  return refusal('no-upstream', reason, RESUME_RETRY_AFTER)
}

/**
 * Creates the check whether requests have gone to one service alone. A process that has started lately knows earlier configurations by the
 * checkpoints alone, which name the routes on which streams began.
 *
 * @param isFirstStart the system starts for the first time, so there was no configuration before
 * @example
 * const ledOnlyTo = createDestinationCheck(history, versions, settings.firstStart, clock)
 */
export function createDestinationCheck (history: RouteHistory, versions: Pick<VersionWatch, 'beganOnlyAt'>, isFirstStart: boolean, clock: Clock): GatewayContext['ledOnlyTo'] {
  return ({ host, path, route }, service) => {
    const now = clock.now()
    if (!history.ledOnlyTo(host, path, service, now)) return false
    return isFirstStart || history.isComplete(now) || versions.beganOnlyAt(routeKeyOf(route), service)
  }
}

/** The origin of any recent stream of the route, if there is only one service and one version. */
function inferOrigin ({ onlyVersion, ledOnlyTo }: GatewayContext, accepted: AcceptedRequest, maxAge: Milliseconds): StreamOrigin | undefined {
  const [destination, ...others] = accepted.route.destinations
  if (destination === undefined || others.length > 0 || !ledOnlyTo(accepted, destination.service)) return undefined
  const version = onlyVersion(destination.service, maxAge)
  return version === undefined ? undefined : { service: destination.service, version }
}

/**
 * Whether the origin of a stream must be recorded because other nodes cannot infer it.
 *
 * @example
 * context.streamOrigins.began(stream, routeKeyOf(route), { origin, until, isInferable: () => !needsOriginRecord(context, accepted) })
 */
export function needsOriginRecord (context: GatewayContext, accepted: AcceptedRequest): boolean {
  return accepted.route.resumable && inferOrigin(context, accepted, context.settings.bounds.upstreamDrain) === undefined
}

/**
 * Name of a route in checkpoints. Its own name may be given to another one.
 *
 * @example
 * routeKeyOf(route) // 'api.example/plans/'
 */
export function routeKeyOf ({ host, prefix }: Pick<Route, 'host' | 'prefix'>): string {
  return host + prefix
}
