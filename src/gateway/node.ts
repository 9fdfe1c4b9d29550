/** A gateway node put together. */
import type { Server } from 'node:http'
import { randomBytes } from 'node:crypto'
import { listen } from '../entry/listener.js'
import { addressSchema } from '../identifiers.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { Log } from '../log.js'
import { createQuotaLimiter, createRetryBudget } from '../quota/index.js'
import type { RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import type { RoutingConfiguration } from '../routing/index.js'
import { createUsageWindows } from '../usage/index.js'
import { createConfigurationKeeper } from './configuration-keeper.js'
import type { GatewayContext } from './context.js'
import { createUpstreamConnections } from './exchange.js'
import type { FollowContext } from './follow.js'
import { forwardRequest } from './forwarding.js'
import { createCallerServer, limitCallers } from './listener.js'
import { createGatewayMetrics } from './metrics.js'
import { keepNodeRecords } from './node-records.js'
import type { Platform } from './ports.js'
import { createServicePaths } from './service-paths.js'
import { addressOf } from './settings.js'
import type { GatewaySettings, HostPort } from './settings.js'
import { stopNode } from './stopping.js'
import { keepUpstreams } from './upstream-keeper.js'
import { createUpstreamView } from './upstream-view.js'

/** What a node is started with. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly platform: Platform
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

/** A running node. */
export interface GatewayNode {
  /** Stops within the grace; resolves when nothing is left. */
  stop (): Promise<void>
}

/** Part of an upstream's connections that all nodes together may open. */
const CONNECTION_PART = 0.85

/** Parts in which nodes share an upstream's connections until more nodes are known. */
const FEWEST_NODES = 4

/** Lifetime of an address answer: an address that is gone is left by callers after this time. */
const ADDRESS_LIFETIME: Milliseconds = 2_000

/**
 * @throws when an address can't be listened on
 * @example
 * const node = await startGatewayNode({ settings, platform, clock, random, log })
 */
export async function startGatewayNode (options: GatewayOptions): Promise<GatewayNode> {
  const { settings, platform, clock, random, log } = options
  const { bounds } = settings
  const ending = new AbortController()
  let stopBy: Milliseconds | undefined
  const follows: FollowContext = { store: platform.store, clock, random, log, signal: ending.signal }
  const metrics = createGatewayMetrics()
  const upstreams = createUpstreamView()
  const connections = createUpstreamConnections(platform.format)
  const budgets = new Map<string, RetryBudget>()
  const server = createCallerServer((request, response) => {
    inFlight += 1
    if (stopBy !== undefined) response.setHeader('connection', 'close')
    forwardRequest(context, request, response)
      .catch((error) => log.error('request-handler-failed', { error: String(error) }))
      .finally(() => { inFlight -= 1 })
  }, (code) => metrics.count('malformed_requests', { code }))
  let inFlight = 0

  const configuration = createConfigurationKeeper(follows, platform.registry, inForce)
  keepUpstreams(follows, platform.registry, upstreams, connections)
  const nodes = keepNodeRecords(follows, {
    name: settings.name,
    incarnation: `${settings.name}-${randomBytes(4).toString('hex')}`,
    failureDomain: settings.failureDomain,
    front: addressOf(settings.front),
    peer: addressOf(settings.peers)
  })

  const context: GatewayContext = {
    settings,
    clock,
    random,
    log,
    metrics,
    format: platform.format,
    upstreams,
    connections,
    quotas: createQuotaLimiter(),
    usage: createUsageWindows(bounds.usageWindow),
    retryBudget: (service) => findOrCreate(budgets, service, () => createRetryBudget(bounds.retryBudget)),
    table: configuration.table,
    sharedWall: clock.wall,
    stopBy: () => stopBy
  }

  function inForce (next: RoutingConfiguration): void {
    limitCallers(server, next.limits)
    const sharing = Math.max(FEWEST_NODES, nodes.all().length)
    for (const service of next.services) connections.limit(service.name, Math.max(1, Math.floor(service.mostConnections * CONNECTION_PART / sharing)))
  }

  function isReady (): boolean {
    return stopBy === undefined && configuration.table() !== undefined
  }

  function addresses (): readonly string[] {
    const known = nodes.all().map((node) => node.front)
    return known.length > 0 || stopBy !== undefined ? known : [addressOf(settings.front)]
  }

  metrics.gauge('configuration_version', () => configuration.table()?.configuration.version)
  metrics.gauge('requests_in_flight', () => inFlight)
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())

  const servicePaths = { paths: platform.paths, isReady, addresses, addressLifetime: Math.min(ADDRESS_LIFETIME, bounds.addressLifetime), metricsText: metrics.text }
  const servers: Server[] = [server]
  await listenAt(server, settings.front)
  for (const place of [settings.ready, settings.directory]) {
    if (place === undefined) continue
    const paths = createServicePaths(servicePaths)
    servers.push(paths)
    await listenAt(paths, place)
  }
  log.info('node-started', { failureDomain: settings.failureDomain, front: addressOf(settings.front) })

  return {
    stop: async () => {
      if (stopBy !== undefined) return
      stopBy = clock.now() + bounds.grace
      await stopNode({ clock, log, server, stopBy, inFlight: () => inFlight, withdraw: nodes.withdraw })
      ending.abort()
      for (const one of servers) {
        one.close()
        one.closeAllConnections()
      }
      await connections.close()
      log.info('node-stopped')
    }
  }
}

async function listenAt (server: Server, place: HostPort): Promise<void> {
  await listen(server, addressSchema.parse(addressOf(place)))
}

function findOrCreate<T> (known: Map<string, T>, name: string, create: () => T): T {
  const value = known.get(name) ?? create()
  known.set(name, value)
  return value
}
