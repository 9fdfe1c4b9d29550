/** HTTP server for callers, with limits on header size, request time and number of connections. */
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { Socket } from 'node:net'
import { inTurn } from '../caller/in-turn.js'
import { paceReading } from '../caller/paced-reading.js'
import type { RequestMemory } from '../caller/request-memory.js'
import type { EntryMetrics } from '../metrics.js'
import type { EntrySettings } from '../settings.js'

/** Interval of the checks for connections that have exceeded a time limit, in milliseconds. */
const CONNECTIONS_CHECK_PERIOD = 500

/**
 * Creates a server that is not listening yet.
 *
 * Failure guarded against: callers that connect and send nothing, or one byte at a time, occupy all connections. A
 * connection that has not sent its headers or its body in time is closed, even if it has not sent anything. Connections
 * beyond the limit are refused immediately.
 *
 * @param memory for the requests that wait behind others
 * @example
 * const server = createCallerServer(settings.limits, metrics, memory, handle)
 */
export function createCallerServer (limits: EntrySettings['limits'], metrics: EntryMetrics, memory: RequestMemory, handle: RequestListener): Server {
  const server = createServer({
    maxHeaderSize: limits.header_bytes,
    headersTimeout: limits.header_timeout_ms,
    requestTimeout: limits.request_timeout_ms,
    keepAliveTimeout: limits.request_timeout_ms,
    connectionsCheckingInterval: CONNECTIONS_CHECK_PERIOD
  }, inTurn(handle, memory))
  paceReading(server, memory)
  server.maxConnections = limits.connections
  server.on('drop', () => metrics.count('connections_refused'))
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    metrics.count('invalid_requests')
    refuse(error, socket)
  })
  return server
}

/** Responses by the error code of the HTTP parser. */
const REFUSAL_RESPONSES: Readonly<Record<string, { status: string, type: string, message: string }>> = {
  HPE_HEADER_OVERFLOW: { status: '431 Request Header Fields Too Large', type: 'too-large', message: 'the headers are too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: '408 Request Timeout', type: 'timeout', message: 'the request did not arrive in time' }
}

/** Response to any other parser error. */
const MALFORMED_RESPONSE = { status: '400 Bad Request', type: 'invalid-request', message: 'this is not an HTTP request' }

/** Answers with the verdict `not-run`, because the request was never parsed completely. */
function refuse (error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const { status, type, message } = REFUSAL_RESPONSES[error.code ?? ''] ?? MALFORMED_RESPONSE
  const body = JSON.stringify({ error: { message, type, verdict: 'not-run' } })
  const head = `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nhornbeamgap-verdict: not-run\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n`
  socket.end(head + body, () => socket.destroy())
}
