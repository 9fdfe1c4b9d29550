/** Assembles a gateway node from its parts, starts it and stops it. */
import type { Server } from 'node:http'
import { randomBytes } from 'node:crypto'
import { listen, stopAccepting } from '../protocols/listen.js'
import { addressOf } from '../host-port.js'
import type { HostPort } from '../host-port.js'
import { listenAddressSchema } from '../identifiers.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { chooseUpstream, createEngineSpeeds, ENGINE_COSTS } from '../placement/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import { createQuarantine } from '../quarantine/index.js'
import { createQuotaLimiter, createRetryBudget } from '../quota/index.js'
import type { RetryBudget } from '../quota/index.js'
import type { Random } from '../random.js'
import { repeat } from '../repeat.js'
import { createRouteHistory } from '../routing/index.js'
import type { RouteTable } from '../routing/index.js'
import { createWorkMeter } from '../scaling/index.js'
import { STREAM_RETENTION } from '../stream-origins/index.js'
import { createUsageWindows, windowOf } from '../usage/index.js'
import { refusal } from './acceptance.js'
import { createAnswerPace } from './answer-pace.js'
import { answerFailure } from './answering.js'
import { createArrivals, eventLoopTimes } from './arrivals.js'
import { createBackpressure } from './backpressure.js'
import { createConfigurationWatcher } from './configuration-watcher.js'
import { connectionShare } from './connection-share.js'
import type { GatewayContext, StateFreshness } from './context.js'
import { CRASH_CAUSES_KEY, createCrashCauseRecord } from './crash-cause-record.js'
import { createCrashWatch, pickNode } from './crash-causes.js'
import { createDispatchQueues, wakeOnChange } from './dispatch-queues.js'
import { startDuties } from './duties.js'
import { createDutyHolder, DUTY_KEY } from './duty-holder.js'
import type { DutyHolder } from './duty-holder.js'
import { createEvacuation } from './evacuation.js'
import { createUpstreamConnections } from './exchange.js'
import { joinFleet } from './fleet.js'
import type { Fleet, LocalReport } from './fleet.js'
import type { StoreContext, PrefixSubscription } from './follow.js'
import { forwardRequest } from './forwarding.js'
import { createHeldAnswers } from './held-answers.js'
import { applyCallerLimits, connectionLimits, createCallerServer } from './listener.js'
import { createGatewayMetrics } from './metrics.js'
import { limitCallerConnections } from '../caller/connection-limit.js'
import { trackAnswers } from '../caller/open-answers.js'
import { createRequestMemory } from '../caller/request-memory.js'
import { createPlannedStop } from './planned-stop.js'
import { exposeNodeMetrics } from './node-metrics.js'
import type { Platform } from './ports.js'
import { createStoreUpdateExchange } from './store-updates.js'
import type { StoreUpdateExchange } from './store-updates.js'
import { createRequestSums } from './request-sums.js'
import { startRolloutDuty } from './rollout-duty.js'
import { watchRolloutRecords } from './rollout-records.js'
import { createRollouts } from './rollouts.js'
import { createServicePaths } from './service-paths.js'
import type { GatewaySettings } from './settings.js'
import { stopMarginOf, stopNode } from './stopping.js'
import { createDestinationCheck, MAX_INFERENCE_AGE_FACTOR } from './stream-resumption.js'
import { serveTunnels } from './tunnels.js'
import type { TunnelServer } from './tunnels.js'
import { createSlownessReporter } from './upstream-slowness.js'
import { watchUpstreams } from './upstream-watcher.js'
import { createUpstreamView } from './upstream-view.js'
import { createVersionWatch } from './version-watch.js'

/** Options of `startGatewayNode`. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly platform: Platform
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
}

/** A running node. */
export interface GatewayNode {
  /** Addresses that the node listens on. They differ from the settings if these name port 0. */
  readonly addresses: { readonly front: string, readonly ready: string, readonly directory: string | undefined }
  /** Stops the node within the grace period, once for any number of calls. Resolves when no request and no connection is left. */
  stop (): Promise<void>
}

/** Lifetime of an answer with addresses: callers stop using an address that is gone after this time. */
const ADDRESS_LIFETIME: Milliseconds = 2_000

/** Retry time given to callers whose request arrives while the node starts. Short, so that they may retry almost at once. */
const START_RETRY_AFTER: Milliseconds = 50

/** Delay from the start to the loading of the histogram library, so that the first requests of a restarted node are served first. */
const HISTOGRAM_LOAD_DELAY: Milliseconds = 3_000

/** Period at which this node's shares are recomputed. They are also recomputed at each report of other nodes. */
const SHARE_PERIOD: Milliseconds = 500

/** Period at which lost paths to upstreams are tested. Each test opens a connection. */
const PATH_TEST_PERIOD: Milliseconds = 1_000

/** Period at which the estimates of engine speeds are updated. A node observes about ten prompts in this time. */
const SPEED_PERIOD: Milliseconds = 1_000

/** Part of the time from the cut-off to the kill that the last write of a stop may take. */
const LAST_WRITE_FRACTION = 1 / 2

/** Part of the memory of the process that the answers take which it holds. A node without any takes about a fourth. */
const HELD_ANSWERS_SHARE = 1 / 5

/** Part of it that the requests take which it holds. The rest is for answers, the runtime, and what it has yet to collect. */
const REQUEST_MEMORY_SHARE = 1 / 8

/** Number of past usage windows that are reported to other nodes, beside the present one. Older ones are in the store. */
const REPORTED_PAST_WINDOWS = 1

/**
 * Starts a node: listens on its addresses, joins the other nodes and follows the store.
 *
 * @throws if the node cannot listen on one of its addresses
 * @example
 * const node = await startGatewayNode({ settings, platform, clock, random, log })
 */
export async function startGatewayNode (options: GatewayOptions): Promise<GatewayNode> {
  const { settings, platform, clock, random, log } = options
  const { bounds } = settings
  const startedAt = clock.now()
  const incarnation = `${settings.name}-${randomBytes(4).toString('hex')}`
  const shutdown = new AbortController()
  const storeUpdates = createStoreUpdateExchange(clock)
  const followContext: StoreContext & { readonly storeUpdates: StoreUpdateExchange } = { store: platform.store, clock, random, log, signal: shutdown.signal, storeUpdates }
  platform.store.epochs.onRestore((restore) => log.warn('store-restored', { ...restore }))
  const metrics = createGatewayMetrics()
  const backpressure = createBackpressure({ node: settings.name, clock, log, upstreams: () => upstreams })
  const dispatchQueues = createDispatchQueues({ clock, random, log, upstreamCount: (service) => upstreams.notLeaving(service, new Set()).length })
  const upstreams = wakeOnChange(createUpstreamView(backpressure), dispatchQueues.wake)
  metrics.family('dispatch_queue', 'service', dispatchQueues.sizes)
  const connections = createUpstreamConnections({
    format: platform.format,
    clock,
    random,
    relayNodes: () => fleet.relayNodes(),
    failureDomain: settings.failureDomain,
    onConnected: (took) => metrics.record('connecting', took),
    onConnectionFailed: ({ upstream, error, took, silentFor, allSilentFor }) => log.info('connection-failed', { upstream: upstream.id, error: String(error), took, silentFor, allSilentFor }),
    onPathLost: (upstream, relay) => log.info('path-lost', { upstream: upstream.id, relay }),
    onPathRegained: (upstream, lostFor) => log.info('path-regained', { upstream: upstream.id, lostFor }),
    onSignals: backpressure.heard,
    onConnectionEnd: ({ upstream, ...ended }) => log.info('answer-ended-with-connection', { upstream: upstream.id, ...ended })
  })
  let tunnels: TunnelServer | undefined
  const speeds = createEngineSpeeds()
  const quotas = createQuotaLimiter(random, bounds.quotaMargin)
  const quarantine = createQuarantine()
  const routeHistory = createRouteHistory(STREAM_RETENTION)
  const versions = createVersionWatch({ clock, present: upstreams.all, maxAge: MAX_INFERENCE_AGE_FACTOR * bounds.upstreamDrain })
  const usage = createUsageWindows(bounds.usageWindow)
  const sums = createRequestSums(clock.now())
  const work = createWorkMeter()
  const heldAnswers = createHeldAnswers(settings.memory * HELD_ANSWERS_SHARE)
  const requestMemory = createRequestMemory(settings.memory * REQUEST_MEMORY_SHARE, clock)
  const budgets = new Map<string, RetryBudget>()
  let sharedAmong = 0
  let context = undefined as GatewayContext | undefined
  const stopMargin = stopMarginOf(bounds.grace)
  const plannedStop = createPlannedStop({ clock, log, hasOtherNode: () => fleet.hasOtherReadyNode() })

  const arrivals = createArrivals({ clock, eventLoop: eventLoopTimes })
  const server = createCallerServer((request, response) => {
    answers.opened(response)
    // The node needs the address to register, so the server listens before the rest of the node is ready.
    if (context === undefined) return answerFailure(response, platform.format, undefined, refusal('no-configuration', 'the node starts', START_RETRY_AFTER))
    if (isStopping()) response.setHeader('connection', 'close')
    forwardRequest(context, request, response).catch((error) => log.error('request-handler-failed', { error: String(error) }))
  }, requestMemory, countMalformed)
  server.on('connection', arrivals.accepted)
  const answers = trackAnswers(server)
  const limits = connectionLimits(settings.mostDescriptors)
  limitAddress(server, 'front', limits.front)
  const front = await listenAt(server, settings.front)

  const rolloutRecords = watchRolloutRecords(followContext, platform.registry.rollouts, bounds.configurationApplies, (service) => {
    rollouts.changed(service)
    dispatchQueues.wake()
  })
  const configuration = createConfigurationWatcher(followContext, platform.registry, bounds.configurationApplies, applyTable, rolloutRecords.handler)
  const rollouts = createRollouts({ clock, random, log, bounds: bounds.rollout, records: rolloutRecords, hasOtherCause: (incarnation) => crashes.explains(incarnation), nodes: () => fleet.maxNodeCount(), ordersReceivedAt: configuration.subscription.lastContactAt })
  const holder: DutyHolder = createDutyHolder({ context: followContext, node: settings.name, incarnation, leaseTime: bounds.lease, firstStart: settings.firstStart, isCandidate: () => context !== undefined && !fleet.isMember() })
  const crashes = createCrashWatch({ clock, log, node: settings.name, nodeNames: () => fleet.nodeNames(), wall: () => fleet.wall(), announce: () => fleet.announce() })
  const crashCauseRecord = createCrashCauseRecord({ context: followContext, crashes, isWriter: () => pickNode(CRASH_CAUSES_KEY, fleet.nodeNames()) === settings.name })
  const servers: Server[] = [server]
  const fleet = await joinFleet({
    context: followContext,
    self: { name: settings.name, incarnation, failureDomain: settings.failureDomain, front, processor: settings.processor },
    streamOrigins: { firstStart: settings.firstStart, versions, storeWriteRate: settings.storeWriteRate, onRecorded: dispatchQueues.wake },
    listen: (peerServer) => {
      servers.push(peerServer)
      tunnels = serveTunnels(peerServer, { clock, find: findRelayable })
      return listenAt(peerServer, settings.peers)
    },
    configuration,
    maxAddresses: platform.paths.maxAddresses,
    isReady,
    report,
    heard: applyReports,
    reading: (notice) => upstreams.notePrefill(notice.from, notice.upstream, notice.reading, clock.now()),
    onRecordsLoaded: () => applyShares(),
    onOtherEntry: ({ key, value }) => { if (key === CRASH_CAUSES_KEY) crashCauseRecord.received(value) },
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
      const target = chooseUpstream({ service, parts: [], promptTokens: 0, target: Infinity, lostOnReclaim: true, streams: true }, candidates, settings, ENGINE_COSTS, { speed: speeds.of(service), slotTime: upstreams.slotTimes.of(service, true) }, random)?.upstream
      if (target !== undefined) backpressure.taken(target.incarnation, clock.now())
      return target
    },
    mayMove: (service) => retryBudget(service).take(clock.now()),
    signal: shutdown.signal
  })
  context = {
    settings,
    clock,
    random,
    arrivals,
    log,
    metrics,
    format: platform.format,
    upstreams,
    speeds,
    connections,
    quotas,
    quarantine,
    crashes,
    backpressure,
    dispatchQueues,
    evacuation,
    rollouts,
    usage,
    sums,
    work,
    retryBudget,
    announcePrefill: fleet.announcePrefill,
    streamOrigins: fleet.streamOrigins,
    onlyVersion: versions.only,
    ledOnlyTo: createDestinationCheck(routeHistory, versions, settings.firstStart, clock),
    versionFacts: versions.facts,
    routeTable: configuration.table,
    sharedWall: fleet.wall,
    firstContact: fleet.firstContact,
    freshness: sources,
    plannedStop,
    heldAnswers,
    requestMemory,
    beginPacedAnswer: createAnswerPace(clock)
  }
  const upstreamsSubscription = watchUpstreams(followContext, platform.registry, upstreams, connections, { drain: bounds.upstreamDrain, onSeen: versions.seen, onLeaving: evacuation.leaving })
  versions.follow(upstreamsSubscription)
  const duties = platform.duties && startDuties({ context: followContext, settings, incarnation, calls: platform.duties, holder, fleet, usage, work, upstreams, speeds, carriesTraffic: rollouts.carriesTraffic, table: configuration.table })

  startRolloutDuty({ context: followContext, registry: platform.registry.rollouts, bounds: bounds.rollout, records: rolloutRecords, rollouts, upstreams, fleet, duty: holder })

  // Failure guarded against: no node is a candidate for the duties while the nodes start. Without this call the duties stay
  // vacant until the next periodic check of their key about ten seconds later, and surplus upstreams run on at full cost.
  holder.onLeaseDeleted()
  const reportSlowness = createSlownessReporter({ clock, log, metrics, upstreams, routeTable: configuration.table })
  repeat({ clock, log, signal: shutdown.signal }, 'shares', SHARE_PERIOD, () => {
    backpressure.setNodes(fleet.nodeNames())
    applyShares()
    reportSlowness()
  })
  repeat({ clock, log, signal: shutdown.signal }, 'lost-paths', PATH_TEST_PERIOD, connections.testLostPaths)
  repeat({ clock, log, signal: shutdown.signal }, 'speeds', SPEED_PERIOD, speeds.update)
  exposeNodeMetrics({ metrics, clock, log, signal: shutdown.signal, sums, sources, fleet, upstreams, connections, backpressure, crashes, quotas, budgets, rollouts: rollouts.sums, inFlight: answers.count, heldAnswerBytes: heldAnswers.bytes, requestMemory, tunnels: () => tunnels?.open() ?? 0, holdsDuties: () => holder.proof() !== undefined })

  const ready = await servePaths(settings.ready, 'ready', limits.check)
  await servePaths(settings.metrics, 'metrics', limits.check)
  const directory = settings.directory === undefined ? undefined : await servePaths(settings.directory, 'directory', limits.directory)
  clock.sleep(HISTOGRAM_LOAD_DELAY, shutdown.signal).then(metrics.load).catch((error) => { if (!shutdown.signal.aborted) log.warn('histograms-not-loaded', { error: String(error) }) })
  log.info('node-started', { incarnation, failureDomain: settings.failureDomain, front })

  function countMalformed (code: string): void {
    metrics.count('malformed_requests', { code })
  }

  /** Limits the connections to one of the addresses that callers reach. */
  function limitAddress (limited: Server, address: string, max: number): void {
    limitCallerConnections(limited, {
      max,
      clock,
      onFull: (what) => {
        metrics.count('connections_full', { address, what })
        log.warn('connections-full', { address, what })
      }
    })
  }

  async function servePaths (hostPort: HostPort, address: string, maxConnections: number): Promise<string> {
    const paths = createServicePaths({ paths: platform.paths, isReady, addresses: fleet.addresses, addressLifetime: Math.min(ADDRESS_LIFETIME, bounds.addressLifetime), metricsText: metrics.text, memory: requestMemory, onMalformed: countMalformed })
    limitAddress(paths, address, maxConnections)
    servers.push(paths)
    return listenAt(paths, hostPort)
  }

  /** A stopping node relays no new connections: they would break off with its process. */
  function findRelayable (incarnation: UpstreamIncarnation): UpstreamRecord | undefined {
    const upstream = upstreams.find(incarnation)
    return isStopping() || upstream?.leaving !== false || connections.isRelayed(incarnation) ? undefined : upstream
  }

  function sources (): StateFreshness {
    return {
      configuration: configuration.table()?.configuration.version,
      configurationAge: ageOf(configuration.subscription),
      upstreamsAge: versions.viewAge(),
      nodes: fleet.maxNodeCount()
    }
  }

  function ageOf (subscription: PrefixSubscription): Milliseconds | undefined {
    const receivedAt = subscription.lastContactAt()
    return receivedAt === undefined ? undefined : Math.round(clock.now() - receivedAt)
  }

  function isStopping (): boolean {
    return plannedStop.times() !== undefined
  }

  function isReady (): boolean {
    return !isStopping() && configuration.table() !== undefined
  }

  /** No connection is accepted any more, and what comes on an open one is refused. */
  function closeToCallers (): void {
    stopAccepting(server)
    plannedStop.close()
  }

  /** Writes the usage counts of requests served during the stop. Bounded, since the store may be unavailable and the kill is near. */
  async function writeLastCounts (): Promise<void> {
    if (duties === undefined) return
    const since = clock.now()
    const isDone = new AbortController()
    const written = duties.writeUsageCounts().then(() => true, (error) => {
      log.warn('last-counts-not-written', { error: String(error) })
      return false
    })
    const timeout = clock.sleep(stopMargin * LAST_WRITE_FRACTION, isDone.signal).then(() => false, () => false)
    const isWritten = await Promise.race([written, timeout])
    isDone.abort()
    log.info('last-counts-awaited', { isWritten, took: Math.round(clock.now() - since) })
  }

  /** The state that this node reports to the other nodes. */
  function report (): LocalReport {
    const now = clock.now()
    const present = windowOf(fleet.wall(), bounds.usageWindow)
    const windows = Array.from({ length: REPORTED_PAST_WINDOWS + 1 }, (_, back) => present - back)
    return {
      ready: isReady(),
      configuration: configuration.table()?.configuration.version ?? 0,
      demand: quotas.demand(now),
      granted: quotas.granted(now),
      ...upstreams.told(now),
      work: work.rates(now),
      speeds: speeds.ownEstimates(),
      usage: Object.fromEntries(windows.map((window) => [window, usage.counts(window)])),
      crashes: quarantine.own(now),
      crashCauses: crashes.told(),
      rollouts: rollouts.told(),
      ...backpressure.told()
    }
  }

  /** Applies what the other nodes have reported. */
  function applyReports (): void {
    const others = fleet.others()
    upstreams.observe(fleet.loads(), clock.now())
    upstreams.receiveTimes(others, clock.now())
    speeds.receive(others.map((report) => report.speeds))
    quarantine.observe(fleet.brokenRuns())
    crashes.observe(fleet.crashEvidence())
    rollouts.observe(others.map((report) => report.rollouts))
    backpressure.observe(others)
    applyShares()
  }

  /** Recomputes this node's shares of quotas, retry budgets and connections. */
  function applyShares (): void {
    // The node records may be listed before the node is assembled. The first periodic run follows right after that.
    if (context === undefined) return
    const nodes = fleet.maxNodeCount()
    const others = fleet.others()
    quotas.observe(others, nodes, clock.now())
    for (const budget of budgets.values()) budget.setNodeCount(nodes)
    if (nodes === sharedAmong) return
    sharedAmong = nodes
    limitConnections()
    log.info('shares-dealt', { nodes, heard: others.reduce((sum, report) => sum + report.nodes, 0) })
  }

  function applyTable (table: RouteTable): void {
    applyCallerLimits(server, table.configuration.limits)
    routeHistory.put(table, clock.now())
    limitConnections()
  }

  /** Limits the connections to each upstream to this node's share of what the upstream accepts. */
  function limitConnections (): void {
    for (const { name, maxConnections } of configuration.table()?.configuration.services ?? []) {
      connections.setConnectionLimit(name, connectionShare(maxConnections, sharedAmong))
    }
  }

  function createBudget (knownFleet: Fleet): RetryBudget {
    const budget = createRetryBudget(bounds.retryBudget, settings.firstStart ? -Infinity : startedAt)
    budget.setNodeCount(knownFleet.maxNodeCount())
    return budget
  }

  async function runStop (): Promise<void> {
    const since = clock.now()
    const cutOff = since + bounds.grace - stopMargin
    plannedStop.begin({ since, cutOff })
    tunnels?.leave()
    await stopNode({ clock, log, answers, cutOff, margin: stopMargin, relayed: () => tunnels?.open() ?? 0, close: closeToCallers, withdraw: async () => { await Promise.allSettled([fleet.withdraw(), duties?.release()]) } })
    await writeLastCounts()
    plannedStop.end()
    const brokenOff = { inFlight: answers.count(), relayed: tunnels?.open() ?? 0 }
    shutdown.abort()
    for (const one of servers) {
      one.close()
      one.closeAllConnections()
    }
    tunnels?.close()
    await Promise.all([connections.close(), fleet.close()])
    log.info('node-stopped', brokenOff)
  }

  let stopped: Promise<void> | undefined
  return {
    addresses: { front, ready, directory },
    stop: () => (stopped ??= runStop())
  }
}

/** @returns the address that is listened on */
async function listenAt (server: Server, hostPort: HostPort): Promise<string> {
  return listen(server, listenAddressSchema.parse(addressOf(hostPort)))
}

function findOrCreate<T> (known: Map<string, T>, name: string, create: () => T): T {
  const value = known.get(name) ?? create()
  known.set(name, value)
  return value
}
