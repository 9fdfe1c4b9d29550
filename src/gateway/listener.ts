/** The callers' listener: limits on what a caller may send and how long it may take. */
import { createServer } from 'node:http'
import type { RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerLimits } from '../routing/index.js'

/** How often connections beyond their time are looked for, in milliseconds. */
const CHECK_PERIOD = 1_000

/** Headers that the parser takes in before the configured limit is applied to a whole head. */
const PARSER_HEADER_BYTES = 65_536

/** Milliseconds beyond the idle limit for which a connection is kept, so that a request that crosses the limit is served. */
const IDLE_SLACK = 1_000

/** Descriptors of a process that its files and the connections between nodes take. */
const RESERVED_DESCRIPTORS = 300

/** Part of the other descriptors that callers may take; the rest is for upstreams. */
const CALLERS_PART = 0.7

/** Status of an error that the parser raises; anything else is a malformed request. */
const PARSER_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/**
 * A server that doesn't listen yet. The parser refuses ambiguous framing (RFC 9112, 6.3): both lengths at
 * once, two lengths, chunked that isn't last.
 *
 * @param malformed called for each request that the parser refuses
 * @example
 * const server = createCallerServer((request, response) => forward(request, response), (code) => metrics.count(code))
 */
export function createCallerServer (handle: RequestListener, malformed: (code: string) => void): Server {
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    connectionsCheckingInterval: CHECK_PERIOD,
    requestTimeout: 0,
    noDelay: true
  }, handle)
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    malformed(error.code ?? 'unknown')
    // Failure guarded against: a malformed second request on a connection whose first is being answered;
    // an error written here would be read as the first one's answer.
    if (isAnswering(socket)) socket.destroy()
    else socket.end(`HTTP/1.1 ${PARSER_STATUS[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })
  return server
}

/** Puts configured limits in force on a running server. */
export function limitCallers (server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTime
  server.keepAliveTimeout = limits.idleTime + IDLE_SLACK
}

/**
 * Failure guarded against: callers open so many connections that none is left for upstreams, and every
 * request is refused. Connections beyond this part are closed before a byte of them is read, and their
 * callers choose another node.
 *
 * @param descriptors most open descriptors of this process
 * @example
 * server.maxConnections = callerConnections(4_100) // 2_660
 */
export function callerConnections (descriptors: number): number {
  return Math.max(1, Math.floor((descriptors - RESERVED_DESCRIPTORS) * CALLERS_PART))
}

function isAnswering (socket: Socket): boolean {
  // node:http keeps the answer that is being written here; there is no public way to ask.
  const { _httpMessage: answer } = socket as Socket & { _httpMessage?: ServerResponse | null }
  return answer != null
}
