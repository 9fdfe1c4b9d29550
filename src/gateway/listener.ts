/** HTTP server for callers, with limits on the size and duration of requests. */
import { createServer } from 'node:http'
import type { RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { inTurn } from '../caller/in-turn.js'
import { paceReading } from '../caller/paced-reading.js'
import type { RequestMemory } from '../caller/request-memory.js'
import type { Milliseconds } from '../clock.js'
import type { CallerLimits } from '../routing/index.js'

/** Interval of the checks for connections that have exceeded a time limit, in milliseconds. */
const CHECK_PERIOD_MS = 1_000

/** Maximum header size for the parser. The configured limit, which applies to the whole head, is checked later. */
const MAX_PARSER_HEADER_BYTES = 65_536

/**
 * Milliseconds for which a connection is kept beyond the idle limit, so that a request sent just before the limit is
 * served.
 */
const IDLE_TOLERANCE_MS = 1_000

/** File descriptors reserved for files and for connections between nodes. */
const RESERVED_DESCRIPTORS = 300

/** Share of the remaining descriptors that connections to the callers' address may use. The rest is for upstreams. */
const CALLER_SHARE = 0.7

/** Share of them that connections to the directory's address may use. Its answers are immediate. */
const DIRECTORY_SHARE = 0.1

/** Share of them that connections to the address of the readiness check, or of the metrics, may use. */
const CHECK_SHARE = 0.02

/** Connections that each of these addresses takes on any machine. */
const MIN_SERVICE_CONNECTIONS = 8

/** Time for which a connection that has been refused is kept for its caller to close it. */
const CLOSE_TIMEOUT: Milliseconds = 1_000

/** Statuses of parser errors. Any other error is answered with 400. */
const PARSER_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/**
 * Creates a server that is not listening yet. Its parser refuses ambiguous framing (RFC 9112, 6.3): `Content-Length`
 * together with `Transfer-Encoding`, two lengths, or a transfer encoding that does not end with `chunked`.
 *
 * @param memory for the requests that wait behind others
 * @param onMalformed called with the error code of each request that the parser refuses
 * @example
 * const server = createCallerServer((request, response) => forward(request, response), memory, (code) => metrics.count(code))
 */
export function createCallerServer (handle: RequestListener, memory: RequestMemory, onMalformed: (code: string) => void): Server {
  const server = createServer({
    maxHeaderSize: MAX_PARSER_HEADER_BYTES,
    connectionsCheckingInterval: CHECK_PERIOD_MS,
    requestTimeout: 0,
    noDelay: true
  }, inTurn(handle, memory))
  paceReading(server, memory)
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    onMalformed(error.code ?? 'unknown')
    // Failure guarded against: a malformed second request arrives while the first one is being answered, and an error
    // written here would be read as the answer to the first request.
    if (isAnswering(socket)) socket.destroy()
    else refuse(socket, PARSER_STATUS[error.code ?? ''] ?? '400 Bad Request')
  })
  return server
}

/** Failure guarded against: the caller doesn't close its end, and holds the connection and its descriptor for as long as it likes. */
function refuse (socket: Socket, status: string): void {
  const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT)
  socket.once('close', () => clearTimeout(timer))
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}

/**
 * Applies configured limits to a running server.
 *
 * @example
 * applyCallerLimits(server, configuration.limits)
 */
export function applyCallerLimits (server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeout
  server.keepAliveTimeout = limits.idleTimeout + IDLE_TOLERANCE_MS
}

/** Most connections at a time to each address of a node. */
export interface ConnectionLimits {
  /** Of callers. */
  readonly front: number
  readonly directory: number
  /** Of the readiness check, and of the metrics. */
  readonly check: number
}

/**
 * Shares the descriptors of a process out to its addresses.
 *
 * Failure guarded against: callers use up the file descriptors, no connection to an upstream can be opened, and every
 * request is refused. So each address that callers reach has a limit of its own.
 *
 * @param descriptors maximum number of open descriptors of this process
 * @example
 * connectionLimits(4_100) // { front: 2_660, directory: 380, check: 76 }
 */
export function connectionLimits (descriptors: number): ConnectionLimits {
  const shared = descriptors - RESERVED_DESCRIPTORS
  return {
    front: Math.max(1, Math.floor(shared * CALLER_SHARE)),
    directory: Math.max(MIN_SERVICE_CONNECTIONS, Math.floor(shared * DIRECTORY_SHARE)),
    check: Math.max(MIN_SERVICE_CONNECTIONS, Math.floor(shared * CHECK_SHARE))
  }
}

function isAnswering (socket: Socket): boolean {
  // node:http keeps the response in progress in this property. There is no public API for it.
  const { _httpMessage: answer } = socket as Socket & { _httpMessage?: ServerResponse | null }
  return answer != null
}
