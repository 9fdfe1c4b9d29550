/** Finds the service and the version at which a caller's resumed stream continues. */
import type { Milliseconds } from '../clock.js'
import { chooseService } from '../routing/index.js'
import type { StreamOrigin } from '../stream-origins/index.js'
import type { ServingError } from '../verdict.js'
import { refusal } from './acceptance.js'
import type { AcceptedRequest } from './acceptance.js'
import type { GatewayContext } from './context.js'
import type { OriginSearch } from './stream-origins.js'

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
  const inferred = inferOrigin(context, accepted, MAX_INFERENCE_AGE_FACTOR * context.settings.bounds.upstreamDrain)
  const search: OriginSearch = inferred === undefined ? { timeout: ASK_TIMEOUT, asksStore: true } : { timeout: CONFIRMATION_TIMEOUT, asksStore: false }
  const recorded = head.resumes === undefined ? undefined : await context.streamOrigins.find(head.resumes, search, signal)
  const origin = recorded ?? inferred
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

/** The origin of any recent stream of the route, if there is only one service and one version. */
function inferOrigin ({ onlyVersion, random }: GatewayContext, { route }: AcceptedRequest, maxAge: Milliseconds): StreamOrigin | undefined {
  const service = route.destinations.length > 1 ? undefined : chooseService(route, random)
  const version = service === undefined ? undefined : onlyVersion(service, maxAge)
  return service === undefined || version === undefined ? undefined : { service, version }
}

/**
 * Whether the origin of a stream must be recorded because other nodes cannot infer it.
 *
 * @example
 * context.streamOrigins.began(stream, { origin, until, isInferable: () => !needsOriginRecord(context, accepted) })
 */
export function needsOriginRecord (context: GatewayContext, accepted: AcceptedRequest): boolean {
  return accepted.route.resumable && inferOrigin(context, accepted, context.settings.bounds.upstreamDrain) === undefined
}
