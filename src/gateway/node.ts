/** A gateway node put together. */
import type { Server } from 'node:http'
import { randomBytes } from 'node:crypto'
import { listen } from '../entry/listener.js'
import { addressSchema } from '../identifiers.js'
import type { Clock, Milliseconds } from '../clock.js'
import { createSharedWall } from '../gossip/index.js'
import type { NodeState } from '../gossip/index.js'
import type { Log } from '../log.js'
import { createConnections } from '../protocols/http.js'
import { createQuotaLimiter, createRetryBudget } from '../quota/index.js'
import type { RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import { createWorkMeter, sumWork } from '../scaling/index.js'
import type { OfferedWork } from '../scaling/index.js'
import type { RoutingConfiguration } from '../routing/index.js'
import { createUsageWindows, windowOf } from '../usage/index.js'
import { createConfigurationKeeper } from './configuration-keeper.js'
import type { GatewayContext } from './context.js'
import { createDutyHolder, DUTY_KEY } from './duty-holder.js'
import { createUpstreamConnections } from './exchange.js'
import type { FollowContext } from './follow.js'
import { forwardRequest } from './forwarding.js'
import { keepGossip } from './gossip-keeper.js'
import { createCallerServer, limitCallers } from './listener.js'
import { createGatewayMetrics } from './metrics.js'
import { keepNodeRecords } from './node-records.js'
import { createPeerLinks, createPeerLinkServer } from './peer-link.js'
import type { Platform } from './ports.js'
import { keepScaling } from './scaling-keeper.js'
import { createServicePaths } from './service-paths.js'
import { addressOf } from './settings.js'
import type { GatewaySettings, HostPort } from './settings.js'
import { stopNode } from './stopping.js'
import { keepUsage } from './usage-keeper.js'
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

/** Connections to one other node: exchanges are short. */
const PEER_CONNECTIONS = 2

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
  const wall = createSharedWall()
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
  const incarnation = `${settings.name}-${randomBytes(4).toString('hex')}`
  const duty = createDutyHolder({ context: follows, node: settings.name, incarnation, leaseTime: bounds.lease, firstStart: settings.firstStart })
  const self = { name: settings.name, incarnation, failureDomain: settings.failureDomain, front: addressOf(settings.front), peer: addressOf(settings.peers) }
  const nodes = keepNodeRecords(follows, self, (key) => { if (key === DUTY_KEY) duty.vacant() })
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
    work: createWorkMeter(),
    retryBudget: (service) => findOrCreate(budgets, service, () => newBudget()),
    table: configuration.table,
    sharedWall,
    stopBy: () => stopBy
  }

  const peerConnections = createConnections(PEER_CONNECTIONS)
  const peerBytes = { sent: 0, received: 0 }
  const gossip = keepGossip({
    wall,
    incarnation,
    clock,
    random,
    log,
    signal: ending.signal,
    link: createPeerLinks(peerConnections, peerBytes),
    describe,
    addresses: () => nodes.all().map((node) => node.peer),
    configuration: configuration.text,
    offerConfiguration: configuration.offer,
    heard
  })
  const peerServer = createPeerLinkServer(gossip.answers)

  let usageKeeper: { flush: () => Promise<void> } | undefined
  if (platform.duties !== undefined && settings.duties.usage) {
    usageKeeper = keepUsage({
      context: follows,
      incarnation,
      windows: context.usage,
      windowLength: bounds.usageWindow,
      due: bounds.usageDue,
      sharedWall,
      duty,
      calls: platform.duties,
      heard: (window) => new Map(gossip.table.all().map((state) => [state.incarnation, state.usage[String(window)] ?? {}]))
    })
  }
  if (platform.duties !== undefined && settings.duties.scaling) {
    keepScaling({ context: follows, failureDomains: settings.failureDomains, table: configuration.table, upstreams, duty, calls: platform.duties, work: fleetWork })
  }

  function sharedWall (): Milliseconds {
    return wall.at(clock.wall(), clock.now())
  }

  /** Sum over this node and the live others. */
  function fleetWork (): Record<string, OfferedWork> {
    return sumWork([context.work.rates(clock.now()), ...gossip.table.live(clock.now()).map((state) => state.work)])
  }

  /** What the other nodes are told. */
  function describe (): NodeState {
    const now = clock.now()
    const window = windowOf(sharedWall(), bounds.usageWindow)
    return {
      ...self,
      sequence: 0,
      ready: isReady(),
      configuration: configuration.table()?.configuration.version ?? 0,
      demand: context.quotas.demand(now),
      inFlight: upstreams.inFlight(),
      work: context.work.rates(now),
      usage: Object.fromEntries([window - 2, window - 1, window].map((one) => [one, context.usage.counts(one)])),
      crashes: {}
    }
  }

  /** Other nodes have told something new. */
  function heard (): void {
    const live = gossip.table.live(clock.now())
    upstreams.observe(live.map((state) => state.inFlight))
    const serving = live.filter((state) => state.ready)
    context.quotas.observe(live.map((state) => state.demand), serving.length + 1)
    for (const budget of budgets.values()) budget.share(fleetSize())
  }

  /** Nodes that may serve, as many as either source knows of: a share that is too small breaks no bound. */
  function fleetSize (): number {
    return Math.max(1, nodes.all().length, gossip.table.live(clock.now()).length + 1)
  }

  function inForce (next: RoutingConfiguration): void {
    limitCallers(server, next.limits)
    const sharing = Math.max(FEWEST_NODES, nodes.all().length)
    for (const service of next.services) connections.limit(service.name, Math.max(1, Math.floor(service.mostConnections * CONNECTION_PART / sharing)))
  }

  function newBudget (): RetryBudget {
    const budget = createRetryBudget(bounds.retryBudget)
    budget.share(fleetSize())
    return budget
  }

  function isReady (): boolean {
    return stopBy === undefined && configuration.table() !== undefined
  }

  function addresses (): readonly string[] {
    const states = new Map(gossip.table.live(clock.now()).map((state) => [state.name, state]))
    const known = nodes.all().filter((node) => node.name !== settings.name && states.get(node.name)?.ready !== false).map((node) => node.front)
    for (const state of states.values()) if (state.ready && !known.includes(state.front)) known.push(state.front)
    if (isReady()) known.push(self.front)
    return known
  }

  metrics.gauge('configuration_version', () => configuration.table()?.configuration.version)
  metrics.gauge('requests_in_flight', () => inFlight)
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())

  const servicePaths = { paths: platform.paths, isReady, addresses, addressLifetime: Math.min(ADDRESS_LIFETIME, bounds.addressLifetime), metricsText: metrics.text }
  const servers: Server[] = [server]
  await listenAt(server, settings.front)
  servers.push(peerServer)
  await listenAt(peerServer, settings.peers)
  for (const place of [settings.ready, settings.directory]) {
    if (place === undefined) continue
    const paths = createServicePaths(servicePaths)
    servers.push(paths)
    await listenAt(paths, place)
  }
  log.info('node-started', { failureDomain: settings.failureDomain, front: addressOf(settings.front) })

  /** Tells everybody that this node leaves, and hands over what only it knows. */
  async function withdraw (): Promise<void> {
    gossip.spread()
    await Promise.allSettled([nodes.withdraw(), duty.release(), usageKeeper?.flush()])
  }

  return {
    stop: async () => {
      if (stopBy !== undefined) return
      stopBy = clock.now() + bounds.grace
      await stopNode({ clock, log, server, stopBy, inFlight: () => inFlight, withdraw })
      ending.abort()
      for (const one of servers) {
        one.close()
        one.closeAllConnections()
      }
      await Promise.all([connections.close(), peerConnections.destroy()])
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
