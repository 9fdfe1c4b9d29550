/** Turns what callers send into requests, or into a clear error with verdict `not-run`. */
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

const OFFSET = /^\d{1,9}$/
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/
const RANDOM_BYTES = 16

/** Headers of a plain call that are the system's own and not the service's. */
const OWN_HEADERS = new Set(['authorization', 'traceparent', 'idempotency-key', REQUEST_ID_HEADER])

/** A request with what the caller said about its identity. */
export interface ParsedRequest {
  readonly request: Request
  /** Set when the caller gave an Idempotency-Key (draft-ietf-httpapi-idempotency-key-header) and no id. */
  readonly idempotencyKey: string | undefined
  readonly traceparent: string | undefined
}

/**
 * Organisation that a request's bearer key belongs to.
 *
 * @throws ServingError `unauthenticated`, or `no-configuration` before there is one
 * @example
 * const organisation = authenticate(configuration, request)
 */
export function authenticate (configuration: Configuration | undefined, request: IncomingMessage): OrganisationName {
  if (configuration === undefined) throw new ServingError('no configuration is known yet', { code: 'no-configuration', verdict: 'not-run', retryAfter: 1_000 })
  const key = bearerKey(request.headers.authorization)
  const organisation = key && findOrganisation(configuration, sha256(key), equalHashes)
  if (!organisation) throw failure('unauthenticated', 'a valid bearer key is required')
  return organisation
}

/**
 * @throws ServingError `invalid-request`
 * @example
 * const { request } = parseChat(configuration, organisation, incarnation, message, bytes)
 */
export function parseChat (configuration: Configuration, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, bytes: Buffer): ParsedRequest & { readonly stream: boolean } {
  const result = chatBodySchema.safeParse(parseJson(bytes))
  if (!result.success) throw invalid(result.error.issues.map(describeIssue).join('; '))
  const body: ChatBody = result.data
  const requestClass = classOf(configuration, body.model, 'model')
  // Whether it is streamed does not change what is asked for: a second send may differ in it.
  const work: Work = { kind: 'model', body: { ...body, stream: true } }
  return { ...toRequest(requestClass, organisation, incarnation, message, work), stream: body.stream }
}

/**
 * @param path path and query as the service shall see them
 * @throws ServingError `invalid-request`
 * @example
 * const { request } = parsePlain(configuration, organisation, incarnation, message, 'booking', '/visits', bytes)
 */
export function parsePlain (configuration: Configuration, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, className: string, path: string, bytes: Buffer): ParsedRequest {
  const requestClass = classOf(configuration, className, 'plain')
  const call = plainCallSchema.safeParse({ method: message.method, path, headers: passedHeaders(message), body: bytes.toString('base64') })
  if (!call.success) throw invalid(call.error.issues.map(describeIssue).join('; '))
  return toRequest(requestClass, organisation, incarnation, message, { kind: 'plain', call: call.data })
}

/**
 * @throws ServingError `invalid-request`
 * @example
 * parseId(request.params.id)
 */
export function parseId (text: string | undefined): RequestId {
  const result = requestIdSchema.safeParse(text)
  if (result.success) return result.data
  throw invalid('malformed request id')
}

/**
 * @returns 0 when there is none
 * @throws ServingError `invalid-request`
 * @example
 * parseOffset('12') // 12
 */
export function parseOffset (text: string | string[] | undefined): number {
  if (text === undefined) return 0
  if (typeof text === 'string' && OFFSET.test(text)) return Number(text)
  throw invalid('offset must be a whole number')
}

function toRequest (requestClass: RequestClass, organisation: OrganisationName, incarnation: Incarnation, message: IncomingMessage, work: Work): ParsedRequest {
  const sentId = message.headers[REQUEST_ID_HEADER]
  const id = sentId === undefined ? requestIdFor(incarnation, randomBytes(RANDOM_BYTES).toString('base64url')) : parseId(String(sentId))
  return {
    request: {
      id,
      organisation,
      class: requestClass.name,
      idempotent: requestClass.idempotent,
      fingerprint: sha256(JSON.stringify([organisation, requestClass.name, fingerprinted(work)])),
      work
    },
    idempotencyKey: sentId === undefined ? parseIdempotencyKey(message.headers['idempotency-key']) : undefined,
    traceparent: message.headers.traceparent as string | undefined
  }
}

/** Headers such as dates and agents may differ between two sends of one call. */
function fingerprinted (work: Work): unknown {
  return work.kind === 'model' ? work.body : [work.call.method, work.call.path, work.call.body]
}

function parseIdempotencyKey (header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (typeof header === 'string' && IDEMPOTENCY_KEY.test(header)) return header
  throw invalid('Idempotency-Key must be 1 to 255 printable characters')
}

function classOf (configuration: Configuration, name: string, kind: 'model' | 'plain'): RequestClass {
  const parsed = classNameSchema.safeParse(name)
  const requestClass = parsed.success ? findClass(configuration, parsed.data) : undefined
  if (requestClass === undefined) throw invalid(`unknown class ${JSON.stringify(name.slice(0, 63))}`)
  const service = findService(configuration, requestClass.service)
  if (service?.kind !== kind) throw invalid(`class ${requestClass.name} is served by a ${service?.kind ?? 'missing'} service; ${kind === 'model' ? 'use /v1/services' : 'use /v1/chat/completions'}`)
  return requestClass
}

function passedHeaders (message: IncomingMessage): PlainCall['headers'] {
  const pairs: [string, string][] = []
  for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
    const name = message.rawHeaders[index] as string
    if (!OWN_HEADERS.has(name.toLowerCase())) pairs.push([name, message.rawHeaders[index + 1] as string])
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

function invalid (message: string): ServingError {
  return failure('invalid-request', message)
}

function failure (code: FailureCode, message: string): ServingError {
  return new ServingError(message, { code, verdict: 'not-run' })
}
