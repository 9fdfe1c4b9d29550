/** The callers' API: addresses, chat completions, plain services, and lookup or resumption by id. */
import type { ServerResponse } from 'node:http'
import type restana from 'restana'
import type { Configuration } from '../configuration/index.js'
import type { AnswerSource } from '../entry/answer-source.js'
import type { Routing } from '../entry/routing.js'
import type { Incarnation, OrganisationName } from '../identifiers.js'
import type { AddressAnswer } from '../membership/index.js'
import type { EntryMetrics } from '../metrics.js'
import { toServingError } from '../verdict.js'
import { sendWhole, streamAnswer } from './delivery.js'
import { guarded, readBody, REQUEST_ID_HEADER, sendJson } from './http.js'
import type { ApiRequest } from './http.js'
import { authenticate, parseChat, parseId, parseOffset, parsePlain } from './parsing.js'
import type { ParsedRequest } from './parsing.js'

/** What the API needs from its node. */
export interface CallerContext {
  readonly incarnation: Incarnation
  readonly routing: Routing
  readonly configuration: () => Configuration | undefined
  readonly addresses: (organisation: OrganisationName) => AddressAnswer
  readonly metrics: EntryMetrics
  /** Largest body, in bytes. */
  readonly bodyLimit: number
}

type Service = ReturnType<typeof restana>

const PLAIN_METHODS = ['get', 'head', 'post', 'put', 'patch', 'delete'] as const
const PLAIN_PREFIX = '/v1/services/'

/**
 * Registers the callers' routes.
 *
 * @example
 * registerCallerApi(service, context)
 */
export function registerCallerApi (service: Service, context: CallerContext): void {
  service.get('/v1/addresses', counted(context, async (organisation, _request, response) => {
    sendJson(response, 200, context.addresses(organisation))
  }))
  service.post('/v1/chat/completions', counted(context, async (organisation, request, response) => {
    const bytes = await readBody(request, context.bodyLimit)
    const parsed = parseChat(context.configuration() as Configuration, organisation, context.incarnation, request, bytes)
    const source = await submit(context, parsed, response)
    await (parsed.stream ? streamAnswer(source, 0, response) : sendWhole(source, response))
  }))
  const plain = counted(context, async (organisation, request, response) => {
    const bytes = await readBody(request, context.bodyLimit)
    const { className, path } = splitPlainUrl(request.url ?? '')
    const parsed = parsePlain(context.configuration() as Configuration, organisation, context.incarnation, request, className, path, bytes)
    await sendWhole(await submit(context, parsed, response), response)
  })
  for (const method of PLAIN_METHODS) service[method](`${PLAIN_PREFIX}:class/*`, plain)
  service.get('/v1/requests/:id', counted(context, async (organisation, request, response) => {
    const offset = parseOffset(request.query.offset)
    const source = await context.routing.attach(organisation, parseId(request.params.id), offset)
    response.setHeader(REQUEST_ID_HEADER, source.id)
    await streamAnswer(source, offset, response)
  }))
}

type Route = (organisation: OrganisationName, request: ApiRequest, response: ServerResponse) => Promise<void>

/** Authenticates, and counts what never becomes a request of a class. */
function counted (context: CallerContext, route: Route): (request: any, response: any) => Promise<void> {
  return guarded(async (request, response) => {
    try {
      await route(authenticate(context.configuration(), request), request, response)
    } catch (error) {
      const { code } = toServingError(error, 'may-have-run')
      if (code === 'unauthenticated') context.metrics.count('unauthenticated_requests')
      if (code === 'invalid-request' || code === 'too-large') context.metrics.count('invalid_requests')
      throw error
    }
  })
}

async function submit (context: CallerContext, parsed: ParsedRequest, response: ServerResponse): Promise<AnswerSource> {
  // The caller is told the id with every outcome; a claimed key's owner may have another one.
  response.setHeader(REQUEST_ID_HEADER, parsed.request.id)
  const source = await context.routing.submit(parsed)
  response.setHeader(REQUEST_ID_HEADER, source.id)
  return source
}

function splitPlainUrl (url: string): { className: string, path: string } {
  const rest = url.slice(PLAIN_PREFIX.length)
  const end = rest.search(/[/?]/)
  if (end < 0) return { className: rest, path: '/' }
  const path = rest.slice(end)
  return { className: rest.slice(0, end), path: path.startsWith('?') ? `/${path}` : path }
}
