/** Client of a plain service, which is any HTTP service other than a model engine. Calls are forwarded with method, path, headers and body. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { PlainCall, PlainResponse } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { hasFraming, hasOtherCoding, readBytes, send } from './http.js'
import type { Connections, HttpResponse } from './http.js'
import { acceptsConnections } from './plain-connections.js'

/** Maximum time until the response's headers, and between two chunks of its body. */
export const PLAIN_IDLE_TIMEOUT: Milliseconds = 30 * SECOND

/** Maximum size of a response body. */
const MAX_RESPONSE_BYTES = 16_777_216

/** Headers of one connection (RFC 9110, section 7.6.1), and headers that the next hop sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'proxy-connection', 'host', 'content-length', 'expect'
])

/** Response header in which a service states the verdict of a refused call. */
const VERDICT_HEADER = 'hornbeamgap-verdict'

/**
 * Calls a plain service.
 *
 * @param connections those of {@link PlainConnections}; for a call that must not be repeated, connections that are never reused. If
 *   the network has dropped the state of a pooled connection, the outcome of the call is unknown
 * @throws ServingError with the verdict `not-run` only if nothing was sent or the service states it
 * @example
 * const response = await callPlainService(connections, address, call, { signal })
 */
export async function callPlainService (connections: Connections, address: Address, call: PlainCall, options: { signal: AbortSignal, traceparent?: string | undefined }): Promise<PlainResponse> {
  const response = await send(connections, {
    address,
    method: call.method,
    path: call.path,
    headers: requestHeaders(call, options.traceparent),
    ...(call.body === '' ? {} : { body: Buffer.from(call.body, 'base64') }),
    idleTimeout: PLAIN_IDLE_TIMEOUT,
    signal: options.signal
  })
  if (hasOtherCoding(call.method, response.statusCode, response.headers)) {
    response.body.destroy()
    throw new ServingError(`${address}: the response has a transfer coding that is not read`, { code: 'upstream-failed', verdict: 'may-have-run' })
  }
  const body = await readBytes(response, address, MAX_RESPONSE_BYTES)
  const endedWithConnection = !hasFraming(call.method, response.statusCode, response.headers)
  if (endedWithConnection && !await acceptsConnections(address)) throw new ServingError(`${address}: the service ended with its answer`, { code: 'connection-lost', verdict: 'may-have-run' })
  if (refusedBeforeRunning(response, body)) {
    throw new ServingError(`${address}: refused with status ${response.statusCode}`, { code: 'upstream-refused', verdict: 'not-run' })
  }
  return { status: response.statusCode, headers: responseHeaders(response), body: body.toString('base64'), ...(endedWithConnection ? { endedWithConnection } : {}) }
}

/**
 * Removes hop-by-hop headers, including those that the `connection` header names.
 *
 * @example
 * endToEndHeaders([['Connection', 'close, x-hop'], ['X-Hop', '1'], ['Accept', '*']]) // [['Accept', '*']]
 */
export function endToEndHeaders (headers: readonly (readonly [string, string])[]): [string, string][] {
  const connectionOptions = headers.flatMap(([name, value]) => name.toLowerCase() === 'connection' ? value.toLowerCase().split(',').map((part) => part.trim()) : [])
  return headers.flatMap(([name, value]): [string, string][] => {
    const key = name.toLowerCase()
    return HOP_BY_HOP_HEADERS.has(key) || connectionOptions.includes(key) ? [] : [[name, value]]
  })
}

function requestHeaders (call: PlainCall, traceparent: string | undefined): Record<string, string> {
  const headers: Record<string, string> = {}
  // Hop-by-hop headers were already removed when the call was received.
  for (const [name, value] of call.headers) {
    const key = name.toLowerCase()
    headers[key] = headers[key] === undefined ? value : `${headers[key]}, ${value}`
  }
  return traceparent === undefined ? headers : { ...headers, traceparent }
}

function responseHeaders (response: HttpResponse): [string, string][] {
  const pairs = Object.entries(response.headers).flatMap(([name, value]): [string, string][] => {
    if (value === undefined) return []
    return Array.isArray(value) ? value.map((item) => [name, item]) : [[name, value]]
  })
  return endToEndHeaders(pairs)
}

/** Whether the service states, in a header or in `error.verdict`, that it refused the call before it started. */
function refusedBeforeRunning (response: HttpResponse, body: Buffer): boolean {
  if (response.statusCode < 400) return false
  if (response.headers[VERDICT_HEADER] === 'not-run') return true
  return response.statusCode === 503 && body.includes('"verdict":"not-run"')
}
