/**
 * Names and identifiers that are exchanged between processes. Each type is a branded string, so that the name of an
 * organisation cannot be passed where the name of an upstream is expected.
 */
import { isIP } from 'node:net'
import * as z from 'zod'
import { hostPortOf } from './host-port.js'

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/

const createNameSchema = () => z.string().regex(NAME_PATTERN, 'must be lower-case letters, digits and hyphens, at most 63')

/** Name of an instance (a machine of the platform), as the instance list states it. */
export const instanceNameSchema = createNameSchema().brand<'InstanceName'>()
export type InstanceName = z.infer<typeof instanceNameSchema>

/** Name of a failure domain: a zone whose instances can fail together. */
export const failureDomainSchema = createNameSchema().brand<'FailureDomain'>()
export type FailureDomain = z.infer<typeof failureDomainSchema>

/** Name of an organisation: a customer with its own limits and reports. */
export const organisationNameSchema = createNameSchema().brand<'OrganisationName'>()
export type OrganisationName = z.infer<typeof organisationNameSchema>

/** Name of an upstream: one model engine or one plain service process that the gateway sends requests to. */
export const upstreamNameSchema = createNameSchema().brand<'UpstreamName'>()
export type UpstreamName = z.infer<typeof upstreamNameSchema>

/** Name of a service: a set of upstreams that can serve the same request classes. Each class belongs to one service. */
export const serviceNameSchema = createNameSchema().brand<'ServiceName'>()
export type ServiceName = z.infer<typeof serviceNameSchema>

/** Name of a request class: requests that share one service-level target. */
export const classNameSchema = createNameSchema().brand<'ClassName'>()
export type ClassName = z.infer<typeof classNameSchema>

/** Identifier of one run of an entry process. A restarted process has a new incarnation. */
export const incarnationSchema = z.string().regex(/^[a-z0-9-]{1,80}$/).brand<'Incarnation'>()
export type Incarnation = z.infer<typeof incarnationSchema>

const REQUEST_ID_PATTERN = /^([a-z0-9-]{1,80})\.([A-Za-z0-9_-]{16,64})$/

/**
 * Identifier of a request, `<incarnation>.<random>`. The incarnation is the home of the request: the only process that
 * may dispatch it.
 */
export const requestIdSchema = z.string().regex(REQUEST_ID_PATTERN, 'must be <incarnation>.<16 to 64 random characters>').brand<'RequestId'>()
export type RequestId = z.infer<typeof requestIdSchema>

const ADDRESS_FORM = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i

const MAX_PORT = 65_535

function isAddress (text: string): boolean {
  if (!ADDRESS_FORM.test(text)) return false
  const { host, port } = hostPortOf(text)
  return isIP(host) > 0 && port <= MAX_PORT
}

/** Address that a process listens on, `host:port`. The host is an IP address. Port 0 selects any free port. */
export const listenAddressSchema = z.string().refine(isAddress, 'must be an IP number and a port').brand<'Address'>()

/**
 * Address that connections are opened to, `host:port`. The host is an IP address.
 *
 * Failure guarded against: a record names port 65536 or an octet of 256, its upstream is chosen, and opening a connection throws.
 */
export const addressSchema = listenAddressSchema.refine((text) => hostPortOf(text).port > 0, 'must have a port above 0')
export type Address = z.infer<typeof addressSchema>

/**
 * Returns the incarnation that is the home of a request.
 *
 * @example
 * homeOf(requestIdSchema.parse('entry-1-x7.0123456789abcdef')) // 'entry-1-x7'
 */
export function homeOf (id: RequestId): Incarnation {
  return incarnationSchema.parse(id.slice(0, id.indexOf('.')))
}

/**
 * Builds a request id.
 *
 * @param home incarnation that owns the request
 * @param random 16 to 64 unpredictable characters of `[A-Za-z0-9_-]`
 * @throws ZodError when `random` does not have this form
 * @example
 * requestIdFor(incarnation, randomBytes(16).toString('base64url'))
 */
export function requestIdFor (home: Incarnation, random: string): RequestId {
  return requestIdSchema.parse(`${home}.${random}`)
}
