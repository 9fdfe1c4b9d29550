/** Assembles the modules with which a node handles reclaims of upstream instances and of its own instance. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { Log } from '../log.js'
import type { Peers } from '../peer/client.js'
import type { ReclaimHandlers } from '../peer/reclaim.js'
import { createCloud } from '../protocols/cloud.js'
import type { Connections } from '../protocols/http.js'
import type { Address } from '../identifiers.js'
import type { MembershipTracker } from './membership-tracker.js'
import { createNoticeWatcher } from './notice-watcher.js'
import type { NoticeWatcher } from './notice-watcher.js'
import { createReclaimCoordinator } from './reclaim-coordinator.js'
import { startReclaimController } from './reclaim-controller.js'
import type { Streams } from './streams.js'
import type { Executions } from './submission.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Options of {@link startReclaims}. */
export interface ReclaimsOptions {
  /** Address of the cloud's API. */
  readonly cloud: Address
  readonly connections: Connections
  readonly directory: UpstreamDirectory
  readonly membership: MembershipTracker
  readonly executions: Executions
  readonly streams: Streams
  readonly peers: Peers
  /** Clients that open a new connection for each call, for use after a failure. */
  readonly freshPeers: Peers
  readonly configuration: () => Configuration | undefined
  /** Called once when the cloud announces the reclaim of this node's instance, with the deadline. */
  readonly onOwnNotice: (deadline: Milliseconds) => void
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Reclaim handling of one node. */
export interface Reclaims {
  /** Handlers of calls from peers. */
  readonly handlers: ReclaimHandlers
  readonly notices: NoticeWatcher
}

/**
 * Starts reclaim handling, which runs until `signal` is aborted.
 *
 * @example
 * const reclaims = startReclaims(options)
 * createPeerServer(key, { ...handlers, reclaim: reclaims.handlers })
 */
export function startReclaims (options: ReclaimsOptions): Reclaims {
  const { membership, directory, connections, clock, log, signal } = options
  const notices = createNoticeWatcher({
    ...options,
    cloud: createCloud(connections, options.cloud),
    own: membership.own,
    nodes: membership.nodes
  })
  const coordinator = createReclaimCoordinator({ directory, connections, configuration: options.configuration, clock, signal })
  startReclaimController({
    notices,
    coordinator,
    streams: options.streams,
    findOpenExecution: options.executions.findOpen,
    own: membership.own,
    nodes: () => membership.nodes().filter((node) => !node.leaving && !membership.isDown(node.incarnation)),
    peers: options.peers,
    configuration: options.configuration,
    clock,
    log,
    signal
  })
  notices.events.once('own').then(({ deadline }) => options.onOwnNotice(deadline)).catch(() => {})
  return { handlers: { notices: notices.handlers.notices, ...coordinator }, notices }
}
