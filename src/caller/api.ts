/** HTTP API for callers: addresses, chat completions, plain services, and lookup or resumption by request id. */
import type { ServerResponse } from 'node:http'
import type restana from 'restana'
import type { Configuration } from '../configuration/index.js'
import type { AnswerSource } from '../entry/answer-source.js'
import type { Routing } from '../entry/routing.js'
import type { Incarnation, OrganisationName } from '../identifiers.js'
import type { AddressAnswer } from '../membership/index.js'
import type { EntryMetrics } from '../metrics.js'
import { toServingError } from '../verdict.js'
import { sendCompleteAnswer, streamAnswer } from './delivery.js'
import { withErrorResponse, readBody, REQUEST_ID_HEADER, sendJson } from './http.js'
import type { ApiRequest } from './http.js'
import { authenticate, parseChat, parseId, parseOffset, parsePlain } from './parsing.js'
import type { ParsedRequest } from './parsing.js'
import type { RequestMemory } from './request-memory.js'

/** Parts of the node that the API uses. */
export interface CallerContext {
  readonly incarnation: Incarnation
  readonly routing: Routing
  readonly configuration: () => Configuration | undefined
  readonly addresses: (organisation: OrganisationName) => AddressAnswer
  readonly metrics: EntryMetrics
  /** Maximum size of a request body in bytes. */
  readonly bodyLimit: number
  /** Memory of the requests that the node holds. */
  readonly requestMemory: RequestMemory
}

type HttpService = ReturnType<typeof restana>

/** HTTP methods that a plain service can be called with. */
const PLAIN_METHODS = ['get', 'head', 'post', 'put', 'patch', 'delete'] as const

/** Prefix of the paths of plain services. It is followed by the class name and the path for the service. */
const PLAIN_PREFIX = '/v1/services/'

/**
 * Registers the routes of the API for callers.
 *
 * @example
 * registerCallerApi(service, context)
 */
export function registerCallerApi (service: HttpService, context: CallerContext): void {
  service.get('/v1/addresses', authenticatedRoute(context, async (organisation, _request, response) => {
    sendJson(response, 200, context.addresses(organisation))
  }))
  service.post('/v1/chat/completions', authenticatedRoute(context, async (organisation, request, response) => {
    const bytes = await readHeldBody(context, request, response)
    const parsed = parseChat(context.configuration() as Configuration, organisation, context.incarnation, request, bytes)
    const source = await submit(context, parsed, response)
    await (parsed.stream ? streamAnswer(source, 0, response) : sendCompleteAnswer(source, response))
  }))
  const plain = authenticatedRoute(context, async (organisation, request, response) => {
    const bytes = await readHeldBody(context, request, response)
    const { className, path } = splitPlainUrl(request.url ?? '')
    const parsed = parsePlain(context.configuration() as Configuration, organisation, context.incarnation, request, className, path, bytes)
    await sendCompleteAnswer(await submit(context, parsed, response), response)
  })
  for (const method of PLAIN_METHODS) service[method](`${PLAIN_PREFIX}:class/*`, plain)
  service.get('/v1/requests/:id', authenticatedRoute(context, async (organisation, request, response) => {
    const offset = parseOffset(request.query.offset)
    const source = await context.routing.attach(organisation, parseId(request.params.id), offset)
    response.setHeader(REQUEST_ID_HEADER, source.id)
    await streamAnswer(source, offset, response)
  }))
}

/** Reads a body, whose memory is given back when its caller's answer has ended. */
function readHeldBody ({ requestMemory, bodyLimit }: CallerContext, request: ApiRequest, response: ServerResponse): Promise<Buffer> {
  const share = requestMemory.open()
  response.once('close', share.release)
  return readBody(request, bodyLimit, { share })
}

/** Handler of a route after authentication. */
type AuthenticatedHandler = (organisation: OrganisationName, request: ApiRequest, response: ServerResponse) => Promise<void>

/** Authenticates the caller, and counts calls that are rejected before they are assigned to a request class. */
function authenticatedRoute (context: CallerContext, handler: AuthenticatedHandler): (request: any, response: any) => Promise<void> {
  return withErrorResponse(async (request, response) => {
    try {
      await handler(authenticate(context.configuration(), request), request, response)
    } catch (error) {
      const { code } = toServingError(error, 'may-have-run')
      if (code === 'unauthenticated') context.metrics.count('unauthenticated_requests')
      if (code === 'invalid-request' || code === 'too-large') context.metrics.count('invalid_requests')
      throw error
    }
  })
}

async function submit (context: CallerContext, parsed: ParsedRequest, response: ServerResponse): Promise<AnswerSource> {
  // Every response has the request id, including failures. If the idempotency key was claimed before, the request
  // that owns the key has a different id, which replaces this id in the header.
  response.setHeader(REQUEST_ID_HEADER, parsed.request.id)
  const source = await context.routing.submit(parsed)
  response.setHeader(REQUEST_ID_HEADER, source.id)
  return source
}

/** Splits the URL of a plain service call into the class name and the path with query for the service. */
function splitPlainUrl (url: string): { className: string, path: string } {
  const rest = url.slice(PLAIN_PREFIX.length)
  const end = rest.search(/[/?]/)
  if (end < 0) return { className: rest, path: '/' }
  const path = rest.slice(end)
  return { className: rest.slice(0, end), path: path.startsWith('?') ? `/${path}` : path }
}
