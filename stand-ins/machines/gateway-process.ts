/** A gateway node as a process of its own, started with the command of the deploy file, with its store, its API and upstreams. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { HEADER, NODE_PATH, STORE_KEY } from '../../platform/names.js'
import type { Clock } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { findFreePorts } from '../free-ports.js'
import { observeProcess } from '../observed-process.js'
import type { ObservedProcess } from '../observed-process.js'
import { serveDutyApi } from './duty-api.js'
import { serveMetadataStore } from './metadata-store.js'
import { serveUpstream } from './upstream.js'
import type { UpstreamStandIn, UpstreamStandInOptions } from './upstream.js'

/** Limits of the machine and of the operator. */
export interface GatewayProcessLimits {
  readonly memoryMb: number
  readonly descriptors: number
  readonly bodyBytes: number
}

/** Ports of a gateway process. */
export interface GatewayPorts {
  readonly front: number
  readonly ready: number
  readonly directory: number
  readonly metrics: number
}

/** A gateway process and what it needs. */
export interface GatewayProcess extends ObservedProcess {
  readonly ports: GatewayPorts
  /** Request line and headers of a POST on the route of a service, without framing. */
  head (service: string, id: string): string
  upstream (service: string): UpstreamStandIn
  close (): Promise<void>
}

/** Host of all routes. */
const HOST = 'api.example'

const LOOPBACK = '127.0.0.1'

/** Longest time that the operator lets a request wait, so that only limits of the node end half a request earlier, in milliseconds. */
const ROUTE_TIMEOUT_MS = 60_000

/**
 * Starts a process and waits until it serves. Each service has an upstream of that name and a route with that prefix.
 *
 * @param givenPeersPort port for other nodes; a free one by default
 * @throws if the process ends before it serves
 * @example
 * const gateway = await startGatewayProcess(clock, { memoryMb: 250, descriptors: 500, bodyBytes: 4_194_304 }, { plain: {} })
 */
export async function startGatewayProcess (clock: Clock, limits: GatewayProcessLimits, services: Readonly<Record<string, Partial<UpstreamStandInOptions>>>, givenPeersPort?: number): Promise<GatewayProcess> {
  const [front, ready, directory, freePeersPort, metrics] = await findFreePorts(5) as [number, number, number, number, number]
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  const upstreams = new Map<string, UpstreamStandIn>()
  store.store.put(STORE_KEY.configuration, JSON.stringify(configuration(Object.keys(services), limits)))
  for (const [service, options] of Object.entries(services)) {
    const upstream = await serveUpstream({ id: `i-${service}`, clock, ...options })
    upstreams.set(service, upstream)
    store.store.put(STORE_KEY.upstreams + upstream.id, JSON.stringify({ service, address: upstream.address, zone: 'zone-a', slots: 64, state: 'ready', sequence: 1 }))
  }
  const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-'))
  const settingsFile = join(folder, 'settings.toml')
  writeFileSync(settingsFile, [
    'nodeName = "node-1"',
    `ip = "${LOOPBACK}"`,
    'zone = "zone-a"',
    `internalPorts = [${givenPeersPort ?? freePeersPort}, ${metrics}]`,
    'bootstrap = true',
    `listen = { front = "${LOOPBACK}:${front}", ready = "${LOOPBACK}:${ready}", directory = "${LOOPBACK}:${directory}" }`,
    `limits = { memoryMb = ${limits.memoryMb}, maxFds = ${limits.descriptors} }`,
    `platform = { address = "${store.address}" }`,
    `cloudApi = { address = "${api.address}", duties = ["usage"] }`
  ].join('\n'))
  const observed = observeProcess({ command: runCommand(), environment: { HORNBEAMGAP_CONFIG: settingsFile }, descriptors: limits.descriptors })
  const close = async (): Promise<void> => {
    await observed.kill()
    await Promise.all([store.kill(), api.kill(), ...[...upstreams.values()].map((upstream) => upstream.close())])
    rmSync(folder, { recursive: true, force: true })
  }
  while (await statusOf(ready, NODE_PATH.ready) !== 200) {
    if (observed.endedWith() !== undefined) {
      await close()
      throw new Error(`the gateway process has ended with ${observed.endedWith()}: ${observed.output()}`)
    }
    await clock.sleep(20)
  }
  return {
    ...observed,
    ports: { front, ready, directory, metrics },
    head: (service, id) => `POST /${service}/x HTTP/1.1\r\nhost: ${HOST}\r\n${HEADER.requestId}: ${id}\r\n${HEADER.deadline}: ${ROUTE_TIMEOUT_MS}\r\n`,
    upstream: (service) => upstreams.get(service)!,
    close
  }
}

function configuration (services: readonly string[], { bodyBytes }: GatewayProcessLimits): object {
  return {
    version: 1,
    limits: { maxBodyBytes: bodyBytes },
    routes: services.map((name) => ({ name, host: HOST, prefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: ROUTE_TIMEOUT_MS, targetLatencyMs: ROUTE_TIMEOUT_MS, service: name, maxAttempts: 1 })),
    services: services.map((name) => ({ name, maxConns: 100 }))
  }
}

/** The command of the deploy file, split at spaces as the platform does. */
function runCommand (): string[] {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as { roles: { gateway: { run: string } } }
  return roles.gateway.run.split(' ')
}

/** @returns 0 if there is no answer */
function statusOf (port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({ host: LOOPBACK, port, path, agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    outgoing.on('error', () => resolve(0))
    outgoing.end()
  })
}
