/** A gateway node put together. */
import type { Server } from 'node:http'
import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { listen } from '../protocols/listen.js'
import { addressSchema } from '../identifiers.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { chooseUpstream, createEngineSpeeds, ENGINE_COSTS } from '../placement/index.js'
import { createQuarantine } from '../quarantine/index.js'
import { createQuotaLimiter, createRetryBudget } from '../quota/index.js'
import type { RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import { repeat } from '../repeat.js'
import type { RoutingConfiguration } from '../routing/index.js'
import { createWorkMeter } from '../scaling/index.js'
import { createUsageWindows, windowOf } from '../usage/index.js'
import { refusal } from './acceptance.js'
import { answerFailure } from './answering.js'
import { createBackpressure } from './backpressure.js'
import { createConfigurationWatcher } from './configuration-watcher.js'
import type { GatewayContext, Sources, StopTimes } from './context.js'
import { startDuties } from './duties.js'
import { createDutyHolder, DUTY_KEY } from './duty-holder.js'
import type { DutyHolder } from './duty-holder.js'
import { createEvacuation } from './evacuation.js'
import { createUpstreamConnections } from './exchange.js'
import { joinFleet } from './fleet.js'
import type { Fleet, LocalReport } from './fleet.js'
import type { StoreContext, PrefixSubscription } from './follow.js'
import { forwardRequest } from './forwarding.js'
import { callerConnections, createCallerServer, limitCallers } from './listener.js'
import { createGatewayMetrics } from './metrics.js'
import { exposeNode } from './node-metrics.js'
import type { Platform } from './ports.js'
import { createStoreUpdateExchange } from './store-updates.js'
import type { StoreUpdateExchange } from './store-updates.js'
import { createRequestSums } from './request-sums.js'
import { keepRolloutDuty } from './rollout-duty.js'
import { keepRolloutRecords } from './rollout-records.js'
import { createRollouts } from './rollouts.js'
import { createServicePaths } from './service-paths.js'
import { addressOf } from './settings.js'
import type { GatewaySettings, HostPort } from './settings.js'
import { STOP_MARGIN, stopNode } from './stopping.js'
import { keepUpstreams } from './upstream-keeper.js'
import { createUpstreamView } from './upstream-view.js'

/** What a node is started with. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly platform: Platform
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
}

/** A running node. */
export interface GatewayNode {
  /** Addresses that it listens on; they differ from the settings' where these name port 0. */
  readonly addresses: { readonly front: string, readonly ready: string, readonly directory: string | undefined }
  /** Stops within the grace; resolves when nothing is left. */
  stop (): Promise<void>
}

/** Part of an upstream's connections that all nodes together may open. */
const CONNECTION_PART = 0.85

/** Parts in which nodes share an upstream's connections until more nodes are known. */
const FEWEST_NODES = 4

/** Lifetime of an address answer: an address that is gone is left by callers after this time. */
const ADDRESS_LIFETIME: Milliseconds = 2_000

/** A caller that meets a node in the moment of its start may ask again at once. */
const START_WAIT: Milliseconds = 50

/** Time after the start at which histograms are loaded: the first requests of a restarted node go first. */
const METRICS_AFTER: Milliseconds = 3_000

/** How often this node's shares follow the number of nodes, beside each news of their demand. */
const SHARE_PERIOD: Milliseconds = 500

/** How often what was seen of engines changes what is reckoned with; a node sees some ten prompts in it. */
const SPEED_PERIOD: Milliseconds = 1_000

/** Bound on the last write of a stop; half of what is left until the kill. */
const LAST_WRITE: Milliseconds = STOP_MARGIN / 2

/** Windows whose counts are told to other nodes, beside the present one. The store has older ones. */
const TOLD_WINDOWS = 1

/**
 * @throws when an address can't be listened on
 * @example
 * const node = await startGatewayNode({ settings, platform, clock, random, log })
 */
export async function startGatewayNode (options: GatewayOptions): Promise<GatewayNode> {
  const { settings, platform, clock, random, log } = options
  const { bounds } = settings
  const incarnation = `${settings.name}-${randomBytes(4).toString('hex')}`
  const ending = new AbortController()
  // Each call to the store and each sleeper listens to it; the default of ten would be taken for a leak.
  setMaxListeners(0, ending.signal)
  const relay = createStoreUpdateExchange(clock)
  const follows: StoreContext & { readonly storeUpdates: StoreUpdateExchange } = { store: platform.store, clock, random, log, signal: ending.signal, storeUpdates: relay }
  platform.store.epochs.onRestore((restore) => log.warn('store-restored', { ...restore }))
  const metrics = createGatewayMetrics()
  const backpressure = createBackpressure({ node: settings.name, clock, log, upstreams: () => upstreams })
  const upstreams = createUpstreamView(backpressure)
  const connections = createUpstreamConnections(platform.format, clock, (took) => metrics.record('connecting', took), backpressure.heard)
  const speeds = createEngineSpeeds()
  const quotas = createQuotaLimiter(random, bounds.quotaMargin)
  const quarantine = createQuarantine()
  const usage = createUsageWindows(bounds.usageWindow)
  const sums = createRequestSums(clock.now())
  const work = createWorkMeter()
  const budgets = new Map<string, RetryBudget>()
  let inFlight = 0
  let dealtTo = 0
  let context = undefined as GatewayContext | undefined
  let stopping: StopTimes | undefined

  const server = createCallerServer((request, response) => {
    // The address must be known before the node can register, and is listened on by then.
    if (context === undefined) return answerFailure(response, platform.format, undefined, refusal('no-configuration', 'the node starts', START_WAIT))
    inFlight += 1
    if (stopping !== undefined) response.setHeader('connection', 'close')
    forwardRequest(context, request, response)
      .catch((error) => log.error('request-handler-failed', { error: String(error) }))
      .finally(() => { inFlight -= 1 })
  }, (code) => metrics.count('malformed_requests', { code }))
  server.maxConnections = callerConnections(settings.mostDescriptors)
  const front = await listenAt(server, settings.front)

  const rolloutRecords = keepRolloutRecords(follows, platform.registry.rollouts, bounds.configurationApplies, (service) => rollouts.changed(service))
  const configuration = createConfigurationWatcher(follows, platform.registry, bounds.configurationApplies, applyLimits, rolloutRecords.follower)
  const rollouts = createRollouts({ clock, random, log, bounds: bounds.rollout, records: rolloutRecords, nodes: () => fleet.maxNodeCount(), ordersHeardAt: configuration.subscription.lastContactAt })
  const holder: DutyHolder = createDutyHolder({ context: follows, node: settings.name, incarnation, leaseTime: bounds.lease, firstStart: settings.firstStart, isCandidate: () => context !== undefined && !fleet.isMember() })
  const servers: Server[] = [server]
  const fleet = await joinFleet({
    context: follows,
    self: { name: settings.name, incarnation, failureDomain: settings.failureDomain, front, processor: settings.processor },
    listen: (peerServer) => {
      servers.push(peerServer)
      return listenAt(peerServer, settings.peers)
    },
    configuration,
    maxAddresses: platform.paths.mostAddresses,
    isReady,
    report,
    heard,
    reading: (note) => upstreams.noteReading(note.from, note.upstream, note.reading, clock.now()),
    onRecordsLoaded: () => applyShares(),
    onOtherKeyDeleted: (key) => { if (key === DUTY_KEY) holder.onLeaseDeleted() }
  })
  const retryBudget = (service: string): RetryBudget => findOrCreate(budgets, service, () => createBudget(fleet))
  const evacuation = createEvacuation({
    clock,
    log,
    calls: platform.engines,
    chooseTarget: (source, excluded) => {
      const { service } = source
      const candidates = upstreams.candidates(service, excluded, clock.now(), (present) => present.filter((target) => rollouts.mayMove(source, target)))
      const target = chooseUpstream({ service, parts: [], promptTokens: 0, target: Infinity, bound: true }, candidates, settings, ENGINE_COSTS, speeds.of(service))?.upstream
      if (target !== undefined) backpressure.taken(target.life, clock.now())
      return target
    },
    mayMove: (service) => retryBudget(service).take(clock.now()),
    signal: ending.signal
  })
  context = {
    settings,
    clock,
    random,
    log,
    metrics,
    format: platform.format,
    upstreams,
    speeds,
    connections,
    quotas,
    quarantine,
    backpressure,
    evacuation,
    rollouts,
    usage,
    sums,
    work,
    retryBudget,
    tellReading: fleet.announcePrefill,
    table: configuration.table,
    sharedWall: fleet.wall,
    sources,
    stop: () => stopping
  }
  const upstreamsFollowing = keepUpstreams(follows, platform.registry, upstreams, connections, bounds.upstreamDrain, evacuation.leaving)
  const duties = platform.duties && startDuties({ context: follows, settings, incarnation, calls: platform.duties, holder, fleet, usage, work, upstreams, speeds, carries: rollouts.carries, table: configuration.table })

  keepRolloutDuty({ context: follows, registry: platform.registry.rollouts, bounds: bounds.rollout, records: rolloutRecords, rollouts, upstreams, fleet, duty: holder })

  // Failure guarded against: nobody may take the duties while the nodes are put together, and the fleet that is found at the
  // start runs on, paid for, until the next look at their key some ten seconds later.
  holder.onLeaseDeleted()
  repeat({ clock, log, signal: ending.signal }, 'shares', SHARE_PERIOD, () => {
    backpressure.deal(fleet.nodeNames())
    applyShares()
  })
  repeat({ clock, log, signal: ending.signal }, 'speeds', SPEED_PERIOD, speeds.update)
  exposeNode({ metrics, clock, log, signal: ending.signal, sums, sources, fleet, upstreams, connections, backpressure, quotas, budgets, rollouts: rollouts.sums, inFlight: () => inFlight, holdsDuties: () => holder.proof() !== undefined })

  const ready = await servePaths(settings.ready)
  await servePaths(settings.metrics)
  const directory = settings.directory === undefined ? undefined : await servePaths(settings.directory)
  clock.sleep(METRICS_AFTER, ending.signal).then(metrics.load).catch((error) => { if (!ending.signal.aborted) log.warn('histograms-not-loaded', { error: String(error) }) })
  log.info('node-started', { incarnation, failureDomain: settings.failureDomain, front })

  async function servePaths (place: HostPort): Promise<string> {
    const paths = createServicePaths({ paths: platform.paths, isReady, addresses: fleet.addresses, addressLifetime: Math.min(ADDRESS_LIFETIME, bounds.addressLifetime), metricsText: metrics.text })
    servers.push(paths)
    return listenAt(paths, place)
  }

  function sources (): Sources {
    return {
      configuration: configuration.table()?.configuration.version,
      configurationAge: ageOf(configuration.subscription),
      upstreamsAge: ageOf(upstreamsFollowing),
      nodes: fleet.maxNodeCount()
    }
  }

  function ageOf (following: PrefixSubscription): Milliseconds | undefined {
    const heardAt = following.lastContactAt()
    return heardAt === undefined ? undefined : Math.round(clock.now() - heardAt)
  }

  function isReady (): boolean {
    return stopping === undefined && configuration.table() !== undefined
  }

  /** What was served during the stop; the store may be away, and the kill is near. */
  async function writeLastCounts (): Promise<void> {
    if (duties === undefined) return
    const written = duties.writeUsageCounts().catch((error) => log.warn('last-counts-not-written', { error: String(error) }))
    await Promise.race([written, clock.sleep(LAST_WRITE)])
  }

  /** What the other nodes are told. */
  function report (): LocalReport {
    const now = clock.now()
    const present = windowOf(fleet.wall(), bounds.usageWindow)
    const windows = Array.from({ length: TOLD_WINDOWS + 1 }, (_, back) => present - back)
    return {
      ready: isReady(),
      configuration: configuration.table()?.configuration.version ?? 0,
      demand: quotas.demand(now),
      granted: quotas.granted(now),
      inFlight: upstreams.inFlight(now),
      work: work.rates(now),
      speeds: speeds.own(),
      usage: Object.fromEntries(windows.map((window) => [window, usage.counts(window)])),
      crashes: quarantine.own(now),
      rollouts: rollouts.told(),
      ...backpressure.told()
    }
  }

  function heard (): void {
    const others = fleet.others()
    upstreams.observe(fleet.loads(), clock.now())
    speeds.hear(others.map((report) => report.speeds))
    quarantine.observe(fleet.brokenRuns())
    rollouts.hear(others.map((report) => report.rollouts))
    backpressure.observe(others)
    applyShares()
  }

  /** This node's parts of what all nodes together may use. */
  function applyShares (): void {
    // Records may be listed while the node is put together; the first of the periodic runs follows at once.
    if (context === undefined) return
    const nodes = fleet.maxNodeCount()
    const others = fleet.others()
    quotas.observe(others, nodes)
    for (const budget of budgets.values()) budget.share(nodes)
    if (nodes === dealtTo) return
    dealtTo = nodes
    limitConnections()
    log.info('shares-dealt', { nodes, heard: others.reduce((sum, report) => sum + report.nodes, 0) })
  }

  function applyLimits (next: RoutingConfiguration): void {
    limitCallers(server, next.limits)
    limitConnections()
  }

  /** Connections to new upstreams keep to this node's part of what each accepts. */
  function limitConnections (): void {
    for (const { name, mostConnections } of configuration.table()?.configuration.services ?? []) {
      connections.limit(name, Math.max(1, Math.floor(mostConnections * CONNECTION_PART / Math.max(FEWEST_NODES, dealtTo))))
    }
  }

  function createBudget (known: Fleet): RetryBudget {
    const budget = createRetryBudget(bounds.retryBudget)
    budget.share(known.maxNodeCount())
    return budget
  }

  return {
    addresses: { front, ready, directory },
    stop: async () => {
      if (stopping !== undefined) return
      const now = clock.now()
      stopping = { since: now, cutOff: now + bounds.grace - STOP_MARGIN }
      await stopNode({ clock, log, server, cutOff: stopping.cutOff, inFlight: () => inFlight, withdraw: async () => { await Promise.allSettled([fleet.withdraw(), duties?.release()]) } })
      await writeLastCounts()
      ending.abort()
      for (const one of servers) {
        one.close()
        one.closeAllConnections()
      }
      await Promise.all([connections.close(), fleet.close()])
      log.info('node-stopped')
    }
  }
}

/** @returns the address that is listened on */
async function listenAt (server: Server, place: HostPort): Promise<string> {
  return listen(server, addressSchema.parse(addressOf(place)))
}

function findOrCreate<T> (known: Map<string, T>, name: string, create: () => T): T {
  const value = known.get(name) ?? create()
  known.set(name, value)
  return value
}
