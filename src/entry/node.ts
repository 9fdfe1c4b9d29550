/** Entry node. Assembles the modules of one process. */
import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import restana from 'restana'
import { createScheduler } from '../admission/index.js'
import { registerCallerApi } from '../caller/api.js'
import { sendFailure } from '../caller/http.js'
import { trackAnswers } from '../caller/open-answers.js'
import { createRequestMemory } from '../caller/request-memory.js'
import type { Clock, Milliseconds } from '../clock.js'
import { incarnationSchema } from '../identifiers.js'
import type { Address, Incarnation } from '../identifiers.js'
import { createLog } from '../log.js'
import { createEntryMetrics } from '../metrics.js'
import { registerOperatorApi } from '../operator/api.js'
import { createInquiryHandlers } from '../operator/inquiry.js'
import { createPeers } from '../peer/client.js'
import { createPeerServer } from '../peer/server.js'
import { createSuspicionClient } from '../peer/suspicion-client.js'
import { createConnections, createFreshConnections } from '../protocols/http.js'
import { createPlainConnections } from '../protocols/plain-connections.js'
import { createInstanceList, peerAddresses } from '../protocols/instance-list.js'
import { createKeyValue } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import { createFactStore, createLedger } from '../report/index.js'
import { createHomeTable, createRetryPolicy } from '../request/index.js'
import type { HomeTable } from '../request/index.js'
import type { EntrySettings } from '../settings.js'
import { createTracing } from '../tracing.js'
import { ServingError } from '../verdict.js'
import { createAgreementPeers } from './agreement-peers.js'
import { createBookkeeping } from './bookkeeping.js'
import { createClaimStore, writePause } from './claim-store.js'
import { createConfigurationWatcher } from './configuration-watcher.js'
import type { ExecutionContext } from './context.js'
import { createDispatcher } from './dispatcher.js'
import { startDrainWatcher } from './drain-watcher.js'
import { closeServer, listen } from '../protocols/listen.js'
import { createCallerServer } from './listener.js'
import { createMembershipTracker } from './membership-tracker.js'
import type { MembershipTracker } from './membership-tracker.js'
import { createNotes } from './note-receiver.js'
import { registerObservationApi } from './observation.js'
import type { EntryParts } from './parts.js'
import { createPermits } from './permits.js'
import { startReclaims } from './reclaims.js'
import type { Reclaims } from './reclaims.js'
import { createRelay } from './relay.js'
import { createReportWriter } from './report-writer.js'
import { createRequestHandlers } from './request-handlers.js'
import { createRouting } from './routing.js'
import { startSchedulerFeed } from './scheduler-feed.js'
import { createStop } from './stopping.js'
import { createStreams } from './streams.js'
import { createExecutions } from './submission.js'
import { createUpstreamDirectory } from './upstream-directory.js'

/** A running entry node. */
export interface EntryNode {
  readonly incarnation: Incarnation
  /** Address for callers, with the port that is actually bound. */
  readonly address: Address
  readonly parts: EntryParts
  /**
   * Stops the node without cutting off requests.
   *
   * @param deadline time of the node's clock at which the platform reclaims the instance; undefined for a planned stop
   */
  stop (deadline?: Milliseconds): Promise<void>
  /** Stops the node immediately, as a crash of the process would. */
  kill (): Promise<void>
}

const CONNECTIONS_PER_ADDRESS = 256

/** Maximum memory for facts about recent requests. */
const FACT_STORE_BYTES = 8_388_608

/** Time after which a caller may retry a request that arrived while the node was starting. */
const STARTING_RETRY_AFTER: Milliseconds = 500

const MAX_SEED = 2 ** 30

/**
 * Starts an entry node. Resolves after the first attempt to read the instance list, the configuration and the
 * membership.
 *
 * @throws ServingError when an address cannot be listened on
 * @example
 * const node = await startEntryNode({ settings, clock, random })
 */
export async function startEntryNode (options: { settings: EntrySettings, clock: Clock, random: Random }): Promise<EntryNode> {
  const { settings, clock, random } = options
  const controller = new AbortController()
  const { signal } = controller
  setMaxListeners(0, signal)
  const log = createLog(settings.instance, settings.log_level, clock.wall)
  const incarnation = incarnationSchema.parse(`${settings.instance}-${randomBytes(6).toString('hex')}`)
  const connections = createConnections(CONNECTIONS_PER_ADDRESS)
  const freshConnections = createFreshConnections(CONNECTIONS_PER_ADDRESS)
  const plainConnections = createPlainConnections(CONNECTIONS_PER_ADDRESS)
  const peers = createPeers(connections, settings.peer_key)
  const freshPeers = createPeers(freshConnections, settings.peer_key)
  const keyValue = createKeyValue(connections, settings.platform.key_value, freshConnections)
  const metrics = createEntryMetrics()
  const tracing = createTracing(settings.instance, settings.trace_collector)
  const ledger = createLedger({ wall: clock.wall })
  const facts = createFactStore({ bytes: FACT_STORE_BYTES })

  const instanceList = createInstanceList(connections, settings.platform.instance_list, log)
  const directory = createUpstreamDirectory({ instanceList, clock, log, signal })
  startDrainWatcher({ keyValue, directory, clock, log, signal })
  let ready = false
  let leaving = false
  // The configuration watcher calls `watching` immediately, when `membership` does not exist yet, and again after a
  // second. `ready` prevents the early access.
  const configuration = createConfigurationWatcher({ keyValue, clock, log, signal, random, watching: () => ready && membership.watching() })
  const currentConfiguration = () => configuration.current()?.configuration
  const permits = createPermits({
    own: incarnation,
    nodes: () => membership.nodes(),
    client: createSuspicionClient({ connections, freshConnections, peerKey: settings.peer_key, clock, signal }),
    clock
  })
  const notes = createNotes(incarnation, clock)
  const context: ExecutionContext = {
    permits,
    notes: notes.journal,
    directory,
    dispatcher: createDispatcher({ scheduler: createScheduler({ random, node: settings.instance }), directory, configuration: currentConfiguration, clock }),
    bookkeeping: createBookkeeping({ ledger, facts, metrics, clock, configuration: currentConfiguration }),
    tracing,
    retryPolicy: createRetryPolicy(),
    connections,
    unpooledConnections: freshConnections,
    plainConnections,
    configuration: currentConfiguration,
    usable: () => configuration.usable(clock.now()),
    mayDispatch: (id) => home.mayDispatch(id),
    clock,
    random,
    signal
  }
  const home: HomeTable = createHomeTable({ own: incarnation, seed: random.integer(MAX_SEED) })
  const executions = createExecutions(context, home)
  const streams = createStreams(context, executions)

  const requestMemory = createRequestMemory(settings.limits.request_memory_bytes, clock)
  metrics.gauge('requests_held_bytes', requestMemory.bytes)
  metrics.gauge('requests_yielded', () => requestMemory.counts().yielded)
  metrics.gauge('requests_without_room', () => requestMemory.counts().refused)
  const service = restana({ prioRequestsProcessing: false, defaultRoute: (_request: unknown, response: any) => sendFailure(response, unknownRouteFailure()) })
  const server = createCallerServer(settings.limits, metrics, requestMemory, (request, response) => service.handle(request as never, response as never))
  const answers = trackAnswers(server)
  service.use((_request: unknown, response: any, next: () => void) => {
    answers.opened(response)
    next()
  })
  service.use((_request: unknown, response: any, next: () => void) => ready ? next() : sendFailure(response, startingFailure()))
  const peerServer = createPeerServer(settings.peer_key, {
    agreement: {
      exchange: (message) => membership.handlers.exchange(message),
      deliver: (delivery) => membership.handlers.deliver(delivery),
      probe: (target) => membership.handlers.probe(target)
    },
    inquiry: {
      explain: (id) => inquiry.explain(id),
      state: () => inquiry.state(),
      writeReport: () => inquiry.writeReport()
    },
    request: createRequestHandlers({ executions, home, clock, stopping: () => leaving, onHandOver: notes.handedOver }),
    notes: notes.handlers,
    reclaim: {
      notices: (message) => reclaims.handlers.notices(message),
      plan: (request) => reclaims.handlers.plan(request),
      turn: (request) => reclaims.handlers.turn(request),
      turnEnded: (end) => reclaims.handlers.turnEnded(end)
    }
  }, permits.handlers)
  const address = await listen(server, settings.listen)
  const peerAddress = await listen(peerServer, settings.peer_listen)
  const record = { instance: settings.instance, incarnation, failureDomain: settings.failure_domain, address, peerAddress, leaving: false }
  const membership: MembershipTracker = createMembershipTracker({
    record,
    keyValue,
    peers: createAgreementPeers(connections, settings.peer_key),
    configuration,
    listPeerAddresses: async () => peerAddresses(await instanceList.read(signal)),
    clock,
    random,
    log,
    signal
  })

  notes.start({ buddy: membership.buddy, peers, home, executions, onGone: (listener) => membership.events.on('gone', ({ incarnation: gone }) => listener(gone)), onCounts: ledger.nodeDied, log, signal })
  membership.events.on('gone', ({ incarnation: gone }) => permits.releaseHolder(gone))
  membership.events.on('changed', ({ nodes }) => permits.tellNewNodes(nodes))
  const reclaims: Reclaims = startReclaims({
    cloud: settings.platform.cloud,
    connections,
    directory,
    membership,
    executions,
    streams,
    peers,
    freshPeers,
    configuration: currentConfiguration,
    onOwnNotice: (deadline) => { stop(deadline).catch((error) => log.error('stop-failed', { error: String(error) })) },
    clock,
    log,
    signal
  })
  const relay = createRelay({ own: incarnation, peers, unpooledPeers: freshPeers, membership: () => membership, clock })
  const claims = createClaimStore({ keyValue, clock, signal, pause: () => writePause(membership.count()) })
  const routing = createRouting({ context, executions, relay, claims })
  registerCallerApi(service, {
    incarnation,
    routing,
    configuration: currentConfiguration,
    addresses: (organisation) => membership.addressAnswer(organisation, settings.addresses.lifetime_ms),
    metrics,
    bodyLimit: settings.limits.body_bytes,
    requestMemory
  })
  const parts: EntryParts = { settings, clock, random, log, signal, keyValue, peers, directory, configuration, membership, context, home, executions, streams, reclaims, ledger, facts, metrics }
  registerObservationApi(service, parts)
  const reports = createReportWriter({ incarnation, instance: settings.instance, ledger, keyValue, clock, random, log, signal })
  const inquiry = createInquiryHandlers({ ...parts, reports })
  registerOperatorApi(service, { ...parts, reports })
  await Promise.allSettled([directory.refresh(), configuration.refresh(), membership.refresh()])
  startSchedulerFeed({ dispatcher: context.dispatcher, directory, node: settings.instance, connections, nodeCount: () => membership.count(), clock, signal })
  ready = true
  log.info('started', { address, incarnation })

  const nodeStop = createStop({
    own: incarnation,
    home,
    executions,
    peers,
    freshPeers,
    successors: () => membership.successors(),
    membership,
    permits,
    notes,
    reports,
    server,
    answers,
    addressLifetime: settings.addresses.lifetime_ms,
    onLeaving: () => { leaving = true },
    clock,
    log,
    signal
  })

  async function kill (): Promise<void> {
    controller.abort()
    await Promise.all([closeServer(server), closeServer(peerServer), connections.destroy(), freshConnections.destroy(), plainConnections.close(), tracing.close()])
  }

  async function stop (deadline?: Milliseconds): Promise<void> {
    await nodeStop.begin(deadline)
    log.info('stopped', { open: executions.open().length })
    await kill()
  }

  return { incarnation, address, parts, stop, kill }
}

function unknownRouteFailure (): ServingError {
  return new ServingError('no such route', { code: 'not-found', verdict: 'not-run' })
}

function startingFailure (): ServingError {
  return new ServingError('this node is starting', { code: 'no-configuration', verdict: 'not-run', retryAfter: STARTING_RETRY_AFTER })
}
