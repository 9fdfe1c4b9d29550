/** HTTP endpoints of a node for the platform and for callers: readiness, node addresses and metrics. */
import type { Server } from 'node:http'
import restana from 'restana'
import type { Milliseconds } from '../clock.js'
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
}

/** Path of the metrics endpoint, which is served beside the readiness endpoint. */
export const METRICS_PATH = '/metrics'

/**
 * Creates a server that answers all service paths. A node listens with one server for each service address.
 *
 * @example
 * const server = createServicePaths({ paths, isReady, addresses, addressLifetime, metricsText })
 */
export function createServicePaths ({ paths, isReady, addresses, addressLifetime, metricsText }: ServicePathOptions): Server {
  const service = restana()
  service.get(paths.ready, (_request, response) => { response.send('', isReady() ? 200 : 503) })
  service.get(METRICS_PATH, (_request, response) => { response.send(metricsText(), 200, { 'content-type': 'text/plain; version=0.0.4' }) })
  service.get(paths.directory, (request, response) => {
    const { failureDomain = '' } = paths.readAddressQuery(request.query as Record<string, string>)
    const nodeAddresses = addresses(`${request.socket.remoteAddress ?? ''}/${failureDomain}`)
    if (nodeAddresses.length === 0) return response.send('', 503)
    response.send(JSON.stringify(paths.writeAddresses(nodeAddresses, addressLifetime)), 200, { 'content-type': 'application/json' })
  })
  return service.getServer() as Server
}
