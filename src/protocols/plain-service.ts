/** A plain service: calls are passed through with method, path, headers and body. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { PlainCall, PlainResponse } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { connectionFailure, send } from './http.js'
import type { Connections, HttpResponse } from './http.js'

/** Bound on the wait for a response head and between two pieces of a body. */
export const PLAIN_SILENCE: Milliseconds = 30 * SECOND

/** Largest response that is passed through, in bytes. */
const LARGEST_RESPONSE = 16_777_216

/** Headers that belong to one connection (RFC 9110, section 7.6.1), and those that the next hop sets itself. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'proxy-connection', 'host', 'content-length', 'expect'
])

const VERDICT_HEADER = 'hornbeamgap-verdict'

/**
 * Calls a plain service.
 *
 * @param connections for a call that may not be repeated, connections that are never reused: a pooled
 *   one that went silent would leave the call's outcome unknown
 * @throws ServingError; `not-run` only when nothing was sent or the service says so
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
    silence: PLAIN_SILENCE,
    signal: options.signal
  })
  const body = await readBytes(response, address)
  if (refusedBeforeRunning(response, body)) {
    throw new ServingError(`${address}: refused with status ${response.statusCode}`, { code: 'upstream-refused', verdict: 'not-run' })
  }
  return { status: response.statusCode, headers: responseHeaders(response), body: body.toString('base64') }
}

/**
 * Headers without those of one connection, including the ones that `connection` names.
 *
 * @example
 * endToEnd([['Connection', 'close, x-hop'], ['X-Hop', '1'], ['Accept', '*']]) // [['Accept', '*']]
 */
export function endToEnd (headers: readonly (readonly [string, string])[]): [string, string][] {
  const named = headers.flatMap(([name, value]) => name.toLowerCase() === 'connection' ? value.toLowerCase().split(',').map((part) => part.trim()) : [])
  return headers.flatMap(([name, value]): [string, string][] => {
    const key = name.toLowerCase()
    return HOP_BY_HOP.has(key) || named.includes(key) ? [] : [[name, value]]
  })
}

function requestHeaders (call: PlainCall, traceparent: string | undefined): Record<string, string> {
  const headers: Record<string, string> = {}
  // The headers are end to end already: they were made so when the call was received.
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
  return endToEnd(pairs)
}

/** A service may say by header or in `error.verdict` that it refused before it started. */
function refusedBeforeRunning (response: HttpResponse, body: Buffer): boolean {
  if (response.statusCode < 400) return false
  if (response.headers[VERDICT_HEADER] === 'not-run') return true
  return response.statusCode === 503 && body.includes('"verdict":"not-run"')
}

async function readBytes (response: HttpResponse, address: Address): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response.body) {
      size += chunk.length
      if (size > LARGEST_RESPONSE) throw new ServingError(`${address}: the response is larger than ${LARGEST_RESPONSE} bytes`, { code: 'upstream-failed', verdict: 'ran' })
      chunks.push(chunk)
    }
  } catch (error) {
    throw connectionFailure(error, address)
  }
  return Buffer.concat(chunks)
}
