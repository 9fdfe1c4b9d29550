/** Calls of plain services. */
import type { Milliseconds } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import { connectionFailure, send as exchange } from '../protocols/http.js'
import { ServingError } from '../verdict.js'
import { callWithRetries, ReportedFailure } from './sending.js'
import type { CallAttempt, CallContext } from './sending.js'
import { ANSWER_HEADER, parseFailure, REQUEST_ID_HEADER } from './wire.js'

/** A call of a plain service. */
export interface ServiceCall {
  /** Name of the request class. */
  readonly class: string
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  /** Path and query as they are sent to the service. */
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  /** Whether the request may be executed twice. Default: false, so that the request is executed at most once. */
  readonly idempotent?: boolean
  /** W3C trace context to continue. Default: a new trace. */
  readonly traceparent?: string
  readonly signal?: AbortSignal
}

/** Answer of the service, with any status. */
export interface ServiceAnswer {
  readonly id: RequestId
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** Maximum time without data before an attempt with the same request id on a new connection. */
const IDLE_TIMEOUT: Milliseconds = 12_000

/**
 * Calls a plain service, with retries.
 *
 * @throws ServingError when the system refused the call, or its outcome is unknown
 * @example
 * const answer = await callService(context, { class: 'booking', method: 'POST', path: '/visits', body })
 */
export function callService (context: CallContext, call: ServiceCall): Promise<ServiceAnswer> {
  const options = { idempotent: call.idempotent ?? false, traceparent: call.traceparent, signal: call.signal }
  return callWithRetries(context, options, (attempt) => callOnce(context, call, attempt))
}

async function callOnce (context: CallContext, call: ServiceCall, attempt: CallAttempt): Promise<ServiceAnswer> {
  const { address } = attempt.node
  const response = await exchange(attempt.connections, {
    address,
    method: call.method,
    path: `/v1/services/${call.class}${call.path}`,
    headers: { ...call.headers, ...context.headers, traceparent: attempt.traceparent, [REQUEST_ID_HEADER]: attempt.id },
    ...(call.body === undefined ? {} : { body: Buffer.from(call.body) }),
    idleTimeout: IDLE_TIMEOUT,
    ...(attempt.signal === undefined ? {} : { signal: attempt.signal })
  })
  const body = await readBytes(response.body, address)
  if (response.headers[ANSWER_HEADER] === undefined) throw toRefusal(body.toString('utf8'), response.statusCode, address)
  return { id: attempt.id, status: response.statusCode, headers: response.headers, body }
}

/** Failure of a response that is not the answer of the service. */
function toRefusal (text: string, status: number, address: string): Error {
  const failure = parseFailure(text)
  return failure === undefined
    ? new ServingError(`${address}: status ${status} from what is no entry node`, { code: 'internal', verdict: 'may-have-run' })
    : new ReportedFailure(failure)
}

async function readBytes (stream: AsyncIterable<Buffer>, address: CallAttempt['node']['address']): Promise<Buffer> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of stream) chunks.push(chunk)
  } catch (error) {
    throw connectionFailure(error, address)
  }
  return Buffer.concat(chunks)
}
