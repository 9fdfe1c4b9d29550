/** Calls of plain services through the system. */
import type { Milliseconds } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import { connectionFailure, send as exchange } from '../protocols/http.js'
import { ServingError } from '../verdict.js'
import { sendUntilAnswered, ToldFailure } from './sending.js'
import type { Send, Sending } from './sending.js'
import { ANSWER_HEADER, readFailure, REQUEST_ID_HEADER } from './wire.js'

/** A call. */
export interface ServiceCall {
  /** Class of work. */
  readonly class: string
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  /** Path and query as the service sees them. */
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  /** Running twice is harmless. Default false: a booking runs at most once. */
  readonly idempotent?: boolean
  /** W3C trace context to continue; a new trace begins when left out. */
  readonly traceparent?: string
  readonly signal?: AbortSignal
}

/** The service's own answer, whatever its status. */
export interface ServiceAnswer {
  readonly id: RequestId
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** After this silence a new connection is tried with the same id. */
const SILENCE: Milliseconds = 12_000

/**
 * @throws ServingError when the system refused the call or lost it
 * @example
 * const answer = await callService(sending, { class: 'booking', method: 'POST', path: '/visits', body })
 */
export function callService (sending: Sending, call: ServiceCall): Promise<ServiceAnswer> {
  const options = { idempotent: call.idempotent ?? false, traceparent: call.traceparent, signal: call.signal }
  return sendUntilAnswered(sending, options, (send) => callOnce(sending, call, send))
}

async function callOnce (sending: Sending, call: ServiceCall, send: Send): Promise<ServiceAnswer> {
  const { address } = send.node
  const response = await exchange(send.connections, {
    address,
    method: call.method,
    path: `/v1/services/${call.class}${call.path}`,
    headers: { ...call.headers, ...sending.headers, traceparent: send.traceparent, [REQUEST_ID_HEADER]: send.id },
    ...(call.body === undefined ? {} : { body: Buffer.from(call.body) }),
    idleTimeout: SILENCE,
    ...(send.signal === undefined ? {} : { signal: send.signal })
  })
  const body = await readBytes(response.body, address)
  if (response.headers[ANSWER_HEADER] === undefined) throw refusal(body.toString('utf8'), response.statusCode, address)
  return { id: send.id, status: response.statusCode, headers: response.headers, body }
}

function refusal (text: string, status: number, address: string): Error {
  const failure = readFailure(text)
  return failure === undefined
    ? new ServingError(`${address}: status ${status} from what is no entry node`, { code: 'internal', verdict: 'may-have-run' })
    : new ToldFailure(failure)
}

async function readBytes (stream: AsyncIterable<Buffer>, address: Send['node']['address']): Promise<Buffer> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of stream) chunks.push(chunk)
  } catch (error) {
    throw connectionFailure(error, address)
  }
  return Buffer.concat(chunks)
}
