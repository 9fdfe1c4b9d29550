/**
 * HTTP towards the platform and upstreams: one pool of connections per process, and the mapping from
 * what failed to a verdict.
 */
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import type { Address } from '../identifiers.js'
import { parseJson } from '../json.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'

/** Connections of a process to other systems. */
export type Connections = Dispatcher

/** One exchange. */
export interface HttpExchange {
  readonly address: Address
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
  /** Bound on the wait for the response head and between two pieces of the body, in milliseconds. */
  readonly silence: Milliseconds
  readonly signal?: AbortSignal
}

/** A response whose body has not been read yet. */
export type HttpResponse = Dispatcher.ResponseData

const CONNECT_TIMEOUT: Milliseconds = 1_000
const KEEP_ALIVE: Milliseconds = 10_000

/** Errors that undici raises before any byte of the request was written. */
const NEVER_SENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Errors that mean the other end went silent. */
const SILENT = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])

/**
 * @param connections most connections to one address
 * @returns connections that their owner closes with `destroy`
 * @example
 * const connections = createConnections(64)
 */
export function createConnections (connections: number): Connections {
  return new Agent({
    connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE,
    connect: { timeout: CONNECT_TIMEOUT }
  })
}

/**
 * Connections that serve one exchange each.
 *
 * Failure guarded against: the network between two ends forgets an idle connection; the next call on
 * it is swallowed and may or may not have run. A connection made for the call either opens or proves
 * `not-run`.
 *
 * @param connections most connections to one address
 * @example
 * const fresh = createFreshConnections(64)
 */
export function createFreshConnections (connections: number): Connections {
  const agent = new Agent({ connections, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT } })
  return agent.compose((dispatch) => (options, handler) => dispatch({ ...options, reset: true }, handler))
}

/**
 * Sends one exchange and returns the response with its body still streaming.
 *
 * @throws ServingError with the verdict that the failure proves
 * @example
 * const response = await send(connections, { address, method: 'GET', path: '/v1/load', silence: 2 * SECOND })
 */
export async function send (connections: Connections, exchange: HttpExchange): Promise<HttpResponse> {
  try {
    return await connections.request({
      origin: `http://${exchange.address}`,
      path: exchange.path,
      method: exchange.method,
      headers: headersOf(exchange),
      body: bodyOf(exchange),
      headersTimeout: exchange.silence,
      bodyTimeout: exchange.silence,
      signal: exchange.signal ?? null
    })
  } catch (error) {
    throw connectionFailure(error, exchange.address)
  }
}

/**
 * Sends one exchange and reads a JSON answer that must match a schema.
 *
 * @throws ServingError for a failed exchange, a status of 400 or more, or an answer of another shape
 * @example
 * const report = await exchangeJson(connections, exchange, loadReportSchema)
 */
export async function exchangeJson<T> (connections: Connections, exchange: HttpExchange, schema: z.ZodType<T>): Promise<T> {
  const response = await send(connections, exchange)
  const text = await readBody(response, exchange.address)
  if (response.statusCode >= 400) throw statusFailure(response.statusCode, text, exchange.address)
  const parsed = schema.safeParse(parseJson(text))
  if (parsed.success) return parsed.data
  throw new ServingError(`${exchange.address}${exchange.path}: unexpected answer: ${parsed.error.issues[0]?.message ?? 'no detail'}`, {
    code: 'upstream-failed',
    verdict: 'ran'
  })
}

/**
 * Reads a whole body as text.
 *
 * @throws ServingError `connection-lost` when it ends early
 * @example
 * const text = await readBody(response, address)
 */
export async function readBody (response: HttpResponse, address: Address): Promise<string> {
  try {
    return await response.body.text()
  } catch (error) {
    throw connectionFailure(error, address)
  }
}

/**
 * Failure of a connection as a {@link ServingError}. Only errors that precede the first written byte
 * prove `not-run`; a reset after that proves nothing.
 *
 * @example
 * connectionFailure(error, address).verdict // 'may-have-run' for ECONNRESET
 */
export function connectionFailure (error: unknown, address: Address): ServingError {
  if (error instanceof ServingError) return error
  const code = errorCode(error)
  const verdict: Verdict = NEVER_SENT.has(code) ? 'not-run' : 'may-have-run'
  // The colon joins the cause's message to the address.
  if (isAbort(error)) return new ServingError(`${address}: cancelled:`, { code: 'cancelled', verdict, cause: error })
  return new ServingError(`${address}:`, { code: SILENT.has(code) ? 'timeout' : 'connection-lost', verdict, cause: error })
}

function statusFailure (status: number, text: string, address: Address): ServingError {
  const verdict = verdictInBody(text) ?? 'may-have-run'
  return new ServingError(`${address}: status ${status}: ${text.slice(0, 200)}`, { code: 'upstream-refused', verdict })
}

/** An upstream or platform service may say in `error.verdict` that it refused before it started. */
function verdictInBody (text: string): Verdict | undefined {
  const body = parseJson(text) as { error?: { verdict?: unknown } } | undefined
  return body?.error?.verdict === 'not-run' ? 'not-run' : undefined
}

function headersOf (exchange: HttpExchange): Record<string, string> {
  if (exchange.body === undefined || Buffer.isBuffer(exchange.body)) return { ...exchange.headers }
  return { 'content-type': 'application/json', ...exchange.headers }
}

function bodyOf (exchange: HttpExchange): string | Buffer | null {
  if (exchange.body === undefined) return null
  if (Buffer.isBuffer(exchange.body)) return exchange.body
  return JSON.stringify(exchange.body)
}

function errorCode (error: unknown): string {
  const code = (error as { code?: unknown } | undefined)?.code
  return typeof code === 'string' ? code : ''
}

function isAbort (error: unknown): boolean {
  const name = (error as { name?: unknown } | undefined)?.name
  return name === 'AbortError' || errorCode(error) === 'UND_ERR_ABORTED'
}
