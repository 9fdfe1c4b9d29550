/** HTTP endpoints of a node for the platform and for callers: readiness, node addresses and metrics. */
import type { Server, ServerResponse } from 'node:http'
import restana from 'restana'
import { hasBody } from '../caller/in-turn.js'
import type { RequestMemory } from '../caller/request-memory.js'
import { endUnread } from '../caller/unread-body.js'
import type { Milliseconds } from '../clock.js'
import { createCallerServer } from './listener.js'
import type { NodePaths } from './ports.js'

/** Options of {@link createServicePaths}. */
export interface ServicePathOptions {
  readonly paths: NodePaths
  /** Whether the node accepts requests. */
  readonly isReady: () => boolean
  /** Returns node addresses for a caller; empty while none are known. */
  readonly addresses: (caller: string) => readonly string[]
  readonly addressLifetime: Milliseconds
  readonly metricsText: () => string
  /** Memory of the requests that the node holds. */
  readonly memory: RequestMemory
  /** Called with the error code of each request that the parser refuses. */
  readonly onMalformed: (code: string) => void
}

/** Path of the metrics endpoint, which is served beside the readiness endpoint. */
export const METRICS_PATH = '/metrics'

const TOO_LARGE = 413

/** Time within which the head of a request must have come, in milliseconds. Callers give an answer a second. */
const HEADER_TIMEOUT_MS = 10_000

/** Requests of one connection after which it is closed with an answer, so that no caller keeps the process busy by one after the other. */
const MAX_REQUESTS_PER_CONNECTION = 1_000

/**
 * Creates a server that answers all service paths. A node listens with one server for each service address.
 *
 * Failure guarded against: a caller sends a body, of which none is expected, and it is read for as long as it comes.
 *
 * @example
 * const server = createServicePaths({ paths, isReady, addresses, addressLifetime, metricsText, memory, onMalformed })
 */
export function createServicePaths ({ paths, isReady, addresses, addressLifetime, metricsText, memory, onMalformed }: ServicePathOptions): Server {
  const service = restana()
  service.use((request, response, next) => {
    if (hasBody(request)) refuseBody(response)
    else next()
  })
  service.get(paths.ready, (_request, response) => { response.send('', isReady() ? 200 : 503) })
  service.get(METRICS_PATH, (_request, response) => { response.send(metricsText(), 200, { 'content-type': 'text/plain; version=0.0.4' }) })
  service.get(paths.directory, (request, response) => {
    const { failureDomain = '' } = paths.readAddressQuery(request.query as Record<string, string>)
    const nodeAddresses = addresses(`${request.socket.remoteAddress ?? ''}/${failureDomain}`)
    if (nodeAddresses.length === 0) return response.send('', 503)
    response.send(JSON.stringify(paths.writeAddresses(nodeAddresses, addressLifetime)), 200, { 'content-type': 'application/json' })
  })
  const server = createCallerServer((request, response) => service.handle(request as never, response as never), memory, onMalformed)
  server.headersTimeout = HEADER_TIMEOUT_MS
  server.maxRequestsPerSocket = MAX_REQUESTS_PER_CONNECTION
  return server
}

function refuseBody (response: ServerResponse): void {
  response.writeHead(TOO_LARGE, { 'content-length': 0, connection: 'close' })
  endUnread(response, '')
}
