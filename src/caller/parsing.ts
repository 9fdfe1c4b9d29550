/** Parses the HTTP requests of callers. All errors have the verdict `not-run`. */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Configuration, RequestClass } from '../configuration/index.js'
import { findClass, findOrganisation, findService } from '../configuration/index.js'
import { bearerKey, equalHashes, sha256 } from '../credentials.js'
import { classNameSchema, requestIdFor, requestIdSchema } from '../identifiers.js'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { endToEndHeaders } from '../protocols/plain-service.js'
import { chatBodySchema, plainCallSchema } from '../request/index.js'
import type { ChatBody, PlainCall, Request, Work } from '../request/index.js'
import { describeIssue } from '../settings.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import { REQUEST_ID_HEADER } from './http.js'

/** A stream offset. */
const OFFSET = /^\d{1,9}$/

/** An idempotency key: printable ASCII characters without spaces. */
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/

/** Number of random bytes in a request id. */
const ID_RANDOM_BYTES = 16

/** Headers of a plain service call that the system uses itself and does not forward to the service. */
const SYSTEM_HEADERS = new Set(['authorization', 'traceparent', 'idempotency-key', REQUEST_ID_HEADER])

/** A parsed request with the idempotency key and the trace context of the caller. */
export interface ParsedRequest {
  readonly request: Request
  /** Set if the caller sent an Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) and no request id. */
  readonly idempotencyKey: string | undefined
  readonly traceparent: string | undefined
}

/**
 * Returns the organisation that owns the bearer key of a request.
 *
 * @throws ServingError `unauthenticated`, or `no-configuration` before the node has received a configuration
 * @example
 * const organisation = authenticate(configuration, request)
 */
export function authenticate (configuration: Configuration | undefined, request: IncomingMessage): OrganisationName {
  if (configuration === undefined) throw new ServingError('no configuration is known yet', { code: 'no-configuration', verdict: 'not-run', retryAfter: 1_000 })
  const key = bearerKey(request.headers.authorization)
  const organisation = key && findOrganisation(configuration, sha256(key), equalHashes)
  if (!organisation) throw createFailure('unauthenticated', 'a valid bearer key is required')
  return organisation
}

/**
 * Parses a chat completion request.
 *
 * @throws ServingError `invalid-request`
 * @example
 * const { request } = parseChat(configuration, organisation, incarnation, message, bytes)
 */
export function parseChat (configuration: Configuration, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, bytes: Buffer): ParsedRequest & { readonly stream: boolean } {
  const result = chatBodySchema.safeParse(parseJson(bytes))
  if (!result.success) throw invalidRequest(result.error.issues.map(describeIssue).join('; '))
  const body: ChatBody = result.data
  const requestClass = findRequestClass(configuration, body.model, 'model')
  // `stream` is normalised, because it must not affect the fingerprint: a repeated request may differ in `stream`.
  const work: Work = { kind: 'model', body: { ...body, stream: true } }
  return { ...toRequest(requestClass, organisation, incarnation, message, work), stream: body.stream }
}

/**
 * Parses a call of a plain service.
 *
 * @param path path and query as they are sent to the service
 * @throws ServingError `invalid-request`
 * @example
 * const { request } = parsePlain(configuration, organisation, incarnation, message, 'booking', '/visits', bytes)
 */
export function parsePlain (configuration: Configuration, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, className: string, path: string, bytes: Buffer): ParsedRequest {
  const requestClass = findRequestClass(configuration, className, 'plain')
  const call = plainCallSchema.safeParse({ method: message.method, path, headers: forwardedHeaders(message), body: bytes.toString('base64') })
  if (!call.success) throw invalidRequest(call.error.issues.map(describeIssue).join('; '))
  return toRequest(requestClass, organisation, incarnation, message, { kind: 'plain', call: call.data })
}

/**
 * Parses a request id.
 *
 * @throws ServingError `invalid-request`
 * @example
 * parseId(request.params.id)
 */
export function parseId (text: string | undefined): RequestId {
  const result = requestIdSchema.safeParse(text)
  if (result.success) return result.data
  throw invalidRequest('malformed request id')
}

/**
 * Parses the offset in a stream.
 *
 * @returns 0 if the offset is missing
 * @throws ServingError `invalid-request`
 * @example
 * parseOffset('12') // 12
 */
export function parseOffset (text: string | string[] | undefined): number {
  if (text === undefined) return 0
  if (typeof text === 'string' && OFFSET.test(text)) return Number(text)
  throw invalidRequest('offset must be a whole number')
}

function toRequest (requestClass: RequestClass, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, work: Work): ParsedRequest {
  const callerId = message.headers[REQUEST_ID_HEADER]
  const id = callerId === undefined ? requestIdFor(incarnation, randomBytes(ID_RANDOM_BYTES).toString('base64url')) : parseId(String(callerId))
  return {
    request: {
      id,
      organisation,
      class: requestClass.name,
      idempotent: requestClass.idempotent,
      fingerprint: sha256(JSON.stringify([organisation, requestClass.name, fingerprintInput(work)])),
      work
    },
    idempotencyKey: callerId === undefined ? parseIdempotencyKey(message.headers['idempotency-key']) : undefined,
    traceparent: message.headers.traceparent as string | undefined
  }
}

/**
 * Content that identifies a request. Headers are excluded, because headers such as Date and User-Agent may differ when
 * a caller repeats a call.
 */
function fingerprintInput (work: Work): unknown {
  return work.kind === 'model' ? work.body : [work.call.method, work.call.path, work.call.body]
}

function parseIdempotencyKey (header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (typeof header === 'string' && IDEMPOTENCY_KEY.test(header)) return header
  throw invalidRequest('Idempotency-Key must be 1 to 255 printable characters')
}

/** Finds a request class whose service has the given kind. */
function findRequestClass (configuration: Configuration, name: string, kind: 'model' | 'plain'): RequestClass {
  const parsed = classNameSchema.safeParse(name)
  const requestClass = parsed.success ? findClass(configuration, parsed.data) : undefined
  if (requestClass === undefined) throw invalidRequest(`unknown class ${JSON.stringify(name.slice(0, 63))}`)
  const service = findService(configuration, requestClass.service)
  if (service?.kind !== kind) throw invalidRequest(`class ${requestClass.name} is served by a ${service?.kind ?? 'missing'} service; ${kind === 'model' ? 'use /v1/services' : 'use /v1/chat/completions'}`)
  return requestClass
}

/** Headers that are forwarded to a plain service. */
function forwardedHeaders (message: IncomingMessage): PlainCall['headers'] {
  const pairs: [string, string][] = []
  for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
    const name = message.rawHeaders[index] as string
    if (!SYSTEM_HEADERS.has(name.toLowerCase())) pairs.push([name, message.rawHeaders[index + 1] as string])
  }
  return endToEndHeaders(pairs)
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch (cause) {
    throw new ServingError('the body is not JSON', { code: 'invalid-request', verdict: 'not-run', cause })
  }
}

function invalidRequest (message: string): ServingError {
  return createFailure('invalid-request', message)
}

function createFailure (code: FailureCode, message: string): ServingError {
  return new ServingError(message, { code, verdict: 'not-run' })
}
