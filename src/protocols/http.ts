/** HTTP client for the platform, upstreams and peers: connection pools, and the mapping of failures to verdicts. */
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import type { Address } from '../identifiers.js'
import { parseJson } from '../json.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { readAnswers } from './answer-reading.js'

/** Connections of this process to other processes. */
export type Connections = Dispatcher

/** One HTTP request with its timeout. */
export interface HttpExchange {
  readonly address: Address
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  /** Sent as it is if it is a Buffer, otherwise as JSON. */
  readonly body?: unknown
  /** Maximum time until the response's headers, and between two chunks of its body. */
  readonly idleTimeout: Milliseconds
  /** Largest size of the response's body in bytes, for {@link exchangeJson}. */
  readonly maxBytes?: number
  readonly signal?: AbortSignal
}

/** A response whose body has not been read yet. */
export type HttpResponse = Dispatcher.ResponseData

/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT: Milliseconds = 1_000

/** Time after which an idle connection of the pool is closed. */
const KEEP_ALIVE_TIMEOUT: Milliseconds = 10_000

/** How connections are opened: options for undici's connector, or another connector. */
export type Connect = NonNullable<Agent.Options['connect']>

const DEFAULT_CONNECT: Connect = { timeout: CONNECT_TIMEOUT }

/** Largest size of a response's body in bytes, where none is given. Changes of the platform's store may come many at a time. */
const MAX_BODY_BYTES = 67_108_864

/** The coding that undici's parser takes for chunks, alone. Several headers are joined by commas. */
const CHUNKED = /^chunked *$/i

const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** Codes of errors that undici throws before it has written any byte of the request. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Codes of errors that undici throws after the idle timeout. */
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])

/**
 * Creates a pool of connections that are reused.
 *
 * @param connections maximum number of connections to one address
 * @returns connections that the caller closes with `destroy`
 * @example
 * const connections = createConnections(64)
 */
export function createConnections (connections: number, connect: Connect = DEFAULT_CONNECT): Connections {
  return new Agent({ connections, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_TIMEOUT, connect }).compose(readAnswers)
}

/**
 * Creates connections of which each serves a single exchange.
 *
 * Failure guarded against: the network drops the state of an idle connection. The next call on it gets no answer, and
 * whether the call ran is unknown. A connection that is opened for the call is either established or fails with the
 * verdict `not-run`.
 *
 * @param connections maximum number of connections to one address
 * @example
 * const fresh = createFreshConnections(64)
 */
export function createFreshConnections (connections: number, connect: Connect = DEFAULT_CONNECT): Connections {
  const agent = new Agent({ connections, pipelining: 1, connect })
  return agent.compose(readAnswers, (dispatch) => (options, handler) => dispatch({ ...options, reset: true }, handler))
}

/**
 * Sends a request and returns the response before its body has been read.
 *
 * @throws ServingError with the verdict that the failure proves, see {@link connectionFailure}
 * @example
 * const response = await send(connections, { address, method: 'GET', path: '/v1/load', idleTimeout: 2 * SECOND })
 */
export async function send (connections: Connections, exchange: HttpExchange): Promise<HttpResponse> {
  try {
    return await connections.request({
      origin: `http://${exchange.address}`,
      path: exchange.path,
      method: exchange.method,
      headers: headersOf(exchange),
      body: bodyOf(exchange),
      headersTimeout: exchange.idleTimeout,
      bodyTimeout: exchange.idleTimeout,
      signal: exchange.signal ?? null
    })
  } catch (error) {
    throw connectionFailure(error, exchange.address)
  }
}

/**
 * Sends a request and parses the JSON response with a schema.
 *
 * @throws ServingError for a failed exchange, a status of 400 or higher, or a response that does not match the schema
 * @example
 * const report = await exchangeJson(connections, exchange, loadReportSchema)
 */
export async function exchangeJson<T> (connections: Connections, exchange: HttpExchange, schema: z.ZodType<T>): Promise<T> {
  const response = await send(connections, exchange)
  const text = await readBody(response, exchange.address, exchange.maxBytes)
  if (response.statusCode >= 400) throw statusError(response.statusCode, text, exchange.address)
  const parsed = schema.safeParse(parseJson(text))
  if (parsed.success) return parsed.data
  throw new ServingError(`${exchange.address}${exchange.path}: unexpected answer: ${parsed.error.issues[0]?.message ?? 'no detail'}`, {
    code: 'upstream-failed',
    verdict: 'ran'
  })
}

/**
 * Reads the whole body of a response as text.
 *
 * @throws ServingError with the code `connection-lost`, `timeout` or `cancelled` if the body is incomplete, `upstream-failed` if it is too long
 * @example
 * const text = await readBody(response, address)
 */
export async function readBody (response: HttpResponse, address: Address, maxBytes = MAX_BODY_BYTES): Promise<string> {
  return (await readBytes(response, address, maxBytes)).toString('utf8')
}

/**
 * Reads the whole body of a response.
 *
 * Failure guarded against: a response without end fills the memory of the process. Its connection is closed.
 *
 * @throws ServingError as {@link readBody}
 * @example
 * const bytes = await readBytes(response, address, 16_777_216)
 */
export async function readBytes (response: HttpResponse, address: Address, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response.body) {
      size += chunk.length
      if (size > maxBytes) throw new ServingError(`${address}: the response is larger than ${maxBytes} bytes`, { code: 'upstream-failed', verdict: 'ran' })
      chunks.push(chunk)
    }
  } catch (error) {
    throw connectionFailure(error, address)
  }
  return Buffer.concat(chunks, size)
}

/**
 * Whether an answer itself tells where it ends. Otherwise the end of its connection ends it (RFC 9112, 6.3).
 *
 * @example
 * hasFraming('GET', 200, { connection: 'close' }) // false
 */
export function hasFraming (method: string, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
  if (isBodiless(method, status)) return true
  return headers['content-length'] !== undefined || (headers['transfer-encoding'] !== undefined && !hasOtherCoding(method, status, headers))
}

/**
 * Whether the body of an answer has a transfer coding other than chunks alone, which is not decoded.
 *
 * Failure guarded against: half an answer with the coding `x-chunked` looks whole. Undici's parser reads any coding that it does not
 * recognise as chunks, such as `chunked` with a tab behind it, up to the end of the connection. Here it counted as chunks, whose end the parser
 * had seen. So only what that parser takes for chunks is one, see {@link CHUNKED}.
 *
 * @example
 * hasOtherCoding('GET', 200, { 'transfer-encoding': 'gzip, chunked' }) // true
 */
export function hasOtherCoding (method: string, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
  const coding = headers['transfer-encoding']
  return coding !== undefined && !isBodiless(method, status) && !CHUNKED.test(String(coding))
}

function isBodiless (method: string, status: number): boolean {
  return method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED
}

/**
 * Converts an error of a connection into a {@link ServingError}. Only an error before the first byte of the request was
 * written proves `not-run`. A connection that is reset later may have delivered the request.
 *
 * @example
 * connectionFailure(error, address).verdict // 'may-have-run' for ECONNRESET
 */
export function connectionFailure (error: unknown, address: Address): ServingError {
  if (error instanceof ServingError) return error
  const code = errorCode(error)
  const verdict: Verdict = NOT_SENT_CODES.has(code) ? 'not-run' : 'may-have-run'
  // The trailing colon makes ServingError put this message before the message of the cause.
  if (isAbort(error)) return new ServingError(`${address}: cancelled:`, { code: 'cancelled', verdict, cause: error })
  return new ServingError(`${address}:`, { code: TIMEOUT_CODES.has(code) ? 'timeout' : 'connection-lost', verdict, cause: error })
}

function statusError (status: number, text: string, address: Address): ServingError {
  const verdict = verdictInBody(text) ?? 'may-have-run'
  return new ServingError(`${address}: status ${status}: ${text.slice(0, 200)}`, { code: 'upstream-refused', verdict })
}

/** Reads `error.verdict`, in which an upstream or a platform service states that it refused the request before it started. */
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
