/**
 * Names and identifiers that cross process borders. Each is a branded string, so that an
 * organisation's name cannot be passed where an upstream's is expected.
 */
import * as z from 'zod'

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/

const name = () => z.string().regex(NAME, 'must be lower-case letters, digits and hyphens, at most 63')

/** A machine of the platform, as the instance list names it. */
export const instanceNameSchema = name().brand<'InstanceName'>()
export type InstanceName = z.infer<typeof instanceNameSchema>

/** What can fail as a whole: a zone. */
export const failureDomainSchema = name().brand<'FailureDomain'>()
export type FailureDomain = z.infer<typeof failureDomainSchema>

/** A customer whose use is limited and reported. */
export const organisationNameSchema = name().brand<'OrganisationName'>()
export type OrganisationName = z.infer<typeof organisationNameSchema>

/** A server behind the system: one model engine or one plain service process. */
export const upstreamNameSchema = name().brand<'UpstreamName'>()
export type UpstreamName = z.infer<typeof upstreamNameSchema>

/** What upstreams offer in common; classes are served by one service. */
export const serviceNameSchema = name().brand<'ServiceName'>()
export type ServiceName = z.infer<typeof serviceNameSchema>

/** A kind of work with one target. */
export const classNameSchema = name().brand<'ClassName'>()
export type ClassName = z.infer<typeof classNameSchema>

/** One life of one entry process. A restarted process has a new incarnation. */
export const incarnationSchema = z.string().regex(/^[a-z0-9-]{1,80}$/).brand<'Incarnation'>()
export type Incarnation = z.infer<typeof incarnationSchema>

const REQUEST_ID = /^([a-z0-9-]{1,80})\.([A-Za-z0-9_-]{16,64})$/

/** `<incarnation>.<random>`: the incarnation is the request's home, the only process that may dispatch it. */
export const requestIdSchema = z.string().regex(REQUEST_ID, 'must be <incarnation>.<16 to 64 random characters>').brand<'RequestId'>()
export type RequestId = z.infer<typeof requestIdSchema>

/** `host:port` of a process. */
export const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'must be an IP number and a port').brand<'Address'>()
export type Address = z.infer<typeof addressSchema>

/**
 * Incarnation that is the home of a request.
 *
 * @example
 * homeOf(requestIdSchema.parse('entry-1-x7.0123456789abcdef')) // 'entry-1-x7'
 */
export function homeOf (id: RequestId): Incarnation {
  return incarnationSchema.parse(id.slice(0, id.indexOf('.')))
}

/**
 * Builds a request id for a home.
 *
 * @param random 16 to 64 characters of `[A-Za-z0-9_-]`, unguessable
 * @example
 * requestIdFor(incarnation, randomBytes(16).toString('base64url'))
 */
export function requestIdFor (home: Incarnation, random: string): RequestId {
  return requestIdSchema.parse(`${home}.${random}`)
}
