/** The addresses at which the platform and callers ask a node: readiness, addresses, metrics. */
import type { Server } from 'node:http'
import restana from 'restana'
import type { Milliseconds } from '../clock.js'
import type { NodePaths } from './ports.js'

/** What the paths answer from. */
export interface ServicePathOptions {
  readonly paths: NodePaths
  /** Whether the node takes requests. */
  readonly isReady: () => boolean
  /** Addresses for a caller; empty while none are known. */
  readonly addresses: (caller: string) => readonly string[]
  readonly addressLifetime: Milliseconds
  readonly metricsText: () => string
}

/** Path of the metrics page, on the readiness address. */
export const METRICS_PATH = '/metrics'

/**
 * One server that answers all service paths; a node listens with one for each address it serves.
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
    const known = addresses(`${request.socket.remoteAddress ?? ''}/${failureDomain}`)
    if (known.length === 0) return response.send('', 503)
    response.send(JSON.stringify(paths.writeAddresses(known, addressLifetime)), 200, { 'content-type': 'application/json' })
  })
  return service.getServer() as Server
}
