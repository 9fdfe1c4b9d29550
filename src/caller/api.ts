/** The callers' API: addresses, chat completions, and lookup or resumption by id. */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import restana from 'restana'
import type { Milliseconds } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import { findClass, findOrganisation } from '../configuration/index.js'
import { bearerKey, equalHashes, sha256 } from '../credentials.js'
import type { Execution } from '../entry/execution.js'
import type { Executions } from '../entry/submission.js'
import { requestIdFor, requestIdSchema } from '../identifiers.js'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import type { AddressAnswer } from '../membership/index.js'
import { formatEvent } from '../platform/server-sent-events.js'
import { chatBodySchema } from '../request/index.js'
import type { AnswerEnd, ChatBody, Request } from '../request/index.js'
import { describeIssue } from '../settings.js'
import { ServingError, statusOf, toServingError } from '../verdict.js'

/** Header that carries a request id, both ways. */
export const REQUEST_ID_HEADER = 'hornbeamgap-request-id'

/** Header that carries the verdict of a failure. */
export const VERDICT_HEADER = 'hornbeamgap-verdict'

/** What the API needs from its node. */
export interface CallerContext {
  readonly incarnation: Incarnation
  readonly executions: Executions
  readonly configuration: () => Configuration | undefined
  readonly addresses: () => AddressAnswer
  readonly bodyLimit: number
}

type Service = ReturnType<typeof restana>

const OFFSET = /^\d{1,9}$/

/**
 * Registers the callers' routes.
 *
 * @example
 * registerCallerApi(service, context)
 */
export function registerCallerApi (service: Service, context: CallerContext): void {
  service.get('/v1/addresses', guarded(async (request, response) => {
    authenticate(context, request)
    sendJson(response, 200, context.addresses())
  }))
  service.post('/v1/chat/completions', guarded(async (request, response) => {
    const organisation = authenticate(context, request)
    const body = parseBody(await readBody(request, context.bodyLimit))
    const execution = context.executions.submit(toRequest(context, organisation, body, request))
    response.setHeader(REQUEST_ID_HEADER, execution.request.id)
    await (body.stream ? streamAnswer(execution, 0, response) : sendWhole(execution, response))
  }))
  service.get('/v1/requests/:id', guarded(async (request, response) => {
    const organisation = authenticate(context, request)
    const execution = lookUp(context, organisation, request.params.id)
    response.setHeader(REQUEST_ID_HEADER, execution.request.id)
    await streamAnswer(execution, offsetOf(request.query.offset), response)
  }))
}

/** A request as restana hands it over. */
export type ApiRequest = IncomingMessage & { params: Record<string, string>, query: Record<string, string | string[]> }

/**
 * Wraps a route so that whatever it throws becomes a clear error with a verdict.
 *
 * @example
 * service.get('/path', guarded(async (request, response) => sendJson(response, 200, {})))
 */
export function guarded (route: (request: ApiRequest, response: ServerResponse) => Promise<void>): (request: any, response: any) => Promise<void> {
  return async (request, response) => {
    try {
      await route(request, response)
    } catch (error) {
      sendFailure(response, toServingError(error, 'may-have-run'))
    }
  }
}

/**
 * @example
 * sendJson(response, 200, { ok: true })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/**
 * Tells a failure in body and headers. Once the answer has begun there is no status to set any more;
 * the connection is destroyed instead, so that the fragment cannot pass as whole.
 *
 * @example
 * sendFailure(response, new ServingError('too busy', { code: 'overloaded', verdict: 'not-run', retryAfter: 500 }))
 */
export function sendFailure (response: ServerResponse, failure: ServingError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  response.setHeader(VERDICT_HEADER, failure.verdict)
  if (failure.retryAfter !== undefined) response.setHeader('retry-after', retryAfterSeconds(failure.retryAfter))
  sendJson(response, statusOf(failure.code), failureBody(failure))
}

/**
 * Reads a body up to a limit.
 *
 * @param limit bytes
 * @throws ServingError `too-large`
 * @example
 * const bytes = await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, limit: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request) {
    size += (chunk as Buffer).length
    if (size > limit) throw new ServingError(`the body is larger than ${limit} bytes`, { code: 'too-large', verdict: 'not-run' })
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

function authenticate (context: CallerContext, request: IncomingMessage): OrganisationName {
  const configuration = context.configuration()
  if (configuration === undefined) throw new ServingError('no configuration is known yet', { code: 'no-configuration', verdict: 'not-run', retryAfter: 1_000 })
  const key = bearerKey(request.headers.authorization)
  const organisation = key && findOrganisation(configuration, sha256(key), equalHashes)
  if (!organisation) throw new ServingError('a valid bearer key is required', { code: 'unauthenticated', verdict: 'not-run' })
  return organisation
}

function parseBody (bytes: Buffer): ChatBody {
  const result = chatBodySchema.safeParse(parseJson(bytes))
  if (result.success) return result.data
  throw new ServingError(result.error.issues.map(describeIssue).join('; '), { code: 'invalid-request', verdict: 'not-run' })
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch (cause) {
    throw new ServingError('the body is not JSON', { code: 'invalid-request', verdict: 'not-run', cause })
  }
}

function toRequest (context: CallerContext, organisation: OrganisationName, body: ChatBody, request: IncomingMessage): Request {
  const requestClass = findClass(context.configuration() as Configuration, body.model)
  if (requestClass === undefined) throw new ServingError(`unknown class ${body.model}`, { code: 'invalid-request', verdict: 'not-run' })
  return {
    id: requestId(context, request),
    organisation,
    class: requestClass.name,
    idempotent: requestClass.idempotent,
    fingerprint: sha256(JSON.stringify([organisation, body])),
    work: { kind: 'model', body }
  }
}

function requestId (context: CallerContext, request: IncomingMessage): RequestId {
  const header = request.headers[REQUEST_ID_HEADER]
  if (header === undefined) return requestIdFor(context.incarnation, randomBytes(16).toString('base64url'))
  return parseId(String(header))
}

function parseId (text: string | undefined): RequestId {
  const result = requestIdSchema.safeParse(text)
  if (result.success) return result.data
  throw new ServingError('malformed request id', { code: 'invalid-request', verdict: 'not-run' })
}

function lookUp (context: CallerContext, organisation: OrganisationName, text: string | undefined): Execution {
  const execution = context.executions.find(organisation, parseId(text))
  if (execution === undefined) throw new ServingError('no such request', { code: 'not-found', verdict: 'may-have-run' })
  return execution
}

function offsetOf (text: string | string[] | undefined): number {
  if (text === undefined) return 0
  if (typeof text === 'string' && OFFSET.test(text)) return Number(text)
  throw new ServingError('offset must be a whole number', { code: 'invalid-request', verdict: 'not-run' })
}

async function streamAnswer (execution: Execution, offset: number, response: ServerResponse): Promise<void> {
  const gone = new AbortController()
  response.once('close', () => gone.abort())
  for await (const part of execution.answer.read(offset, gone.signal)) {
    switch (part.kind) {
      case 'token':
        begin(response)
        await write(response, formatEvent(JSON.stringify(chunkOf(execution, part.token.text, null)), part.token.offset), gone.signal)
        break
      default:
        endStream(execution, part, response)
    }
  }
}

function begin (response: ServerResponse): void {
  if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
}

/** Waits while the caller's connection is full, so that a slow caller does not fill memory. */
function write (response: ServerResponse, text: string, gone: AbortSignal): Promise<void> | void {
  if (response.write(text)) return
  return new Promise((resolve) => {
    response.once('drain', resolve)
    gone.addEventListener('abort', () => resolve(), { once: true })
  })
}

function endStream (execution: Execution, end: AnswerEnd, response: ServerResponse): void {
  switch (end.kind) {
    case 'finished':
      begin(response)
      response.write(formatEvent(JSON.stringify({ ...chunkOf(execution, undefined, end.finish), usage: end.usage })))
      response.end(formatEvent('[DONE]'))
      return
    case 'failed':
      if (!response.headersSent) return sendFailure(response, end.failure)
      response.end(formatEvent(JSON.stringify(failureBody(end.failure))))
      return
    case 'moved':
      begin(response)
      response.end(formatEvent(JSON.stringify({ moved: { retry_after_ms: end.retryAfter } })))
      return
    case 'plain':
      sendFailure(response, new ServingError('this request was a plain call', { code: 'invalid-request', verdict: 'ran' }))
  }
}

async function sendWhole (execution: Execution, response: ServerResponse): Promise<void> {
  const gone = new AbortController()
  response.once('close', () => gone.abort())
  for await (const part of execution.answer.read(0, gone.signal)) {
    switch (part.kind) {
      case 'token': break
      case 'finished': sendJson(response, 200, wholeOf(execution, part)); break
      case 'failed': sendFailure(response, part.failure); break
      case 'moved': sendFailure(response, new ServingError('the request continues at another node', { code: 'moved', verdict: 'may-have-run', retryAfter: part.retryAfter })); break
      case 'plain': sendFailure(response, new ServingError('this request was a plain call', { code: 'invalid-request', verdict: 'ran' }))
    }
  }
}

function wholeOf (execution: Execution, end: Extract<AnswerEnd, { kind: 'finished' }>): object {
  return {
    id: execution.request.id,
    object: 'chat.completion',
    model: execution.request.class,
    choices: [{ index: 0, message: { role: 'assistant', content: execution.answer.text() }, finish_reason: end.finish }],
    usage: end.usage
  }
}

function chunkOf (execution: Execution, content: string | undefined, finish: string | null): object {
  return {
    id: execution.request.id,
    object: 'chat.completion.chunk',
    model: execution.request.class,
    choices: [{ index: 0, delta: content === undefined ? {} : { content }, finish_reason: finish }]
  }
}

function failureBody (failure: ServingError): object {
  return {
    error: {
      message: failure.message,
      type: failure.code,
      verdict: failure.verdict,
      ...(failure.retryAfter === undefined ? {} : { retry_after_ms: Math.round(failure.retryAfter) })
    }
  }
}

function retryAfterSeconds (retryAfter: Milliseconds): string {
  return String(Math.max(1, Math.ceil(retryAfter / 1_000)))
}
