/** Everything a node does about reclaims of upstreams, put together. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { Log } from '../log.js'
import type { Peers } from '../peer/client.js'
import type { ReclaimHandlers } from '../peer/reclaim.js'
import { createCloud } from '../protocols/cloud.js'
import type { Connections } from '../protocols/http.js'
import type { Address } from '../identifiers.js'
import type { MembershipKeeper } from './membership-keeper.js'
import { createNoticeKeeper } from './notice-keeper.js'
import type { NoticeKeeper } from './notice-keeper.js'
import { createReclaimCoordinator } from './reclaim-coordinator.js'
import { startReclaimKeeper } from './reclaim-keeper.js'
import type { Streams } from './streams.js'
import type { Executions } from './submission.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** What reclaims need from their node. */
export interface ReclaimsOptions {
  /** Address of the cloud's API. */
  readonly cloud: Address
  readonly connections: Connections
  readonly directory: UpstreamDirectory
  readonly membership: MembershipKeeper
  readonly executions: Executions
  readonly streams: Streams
  readonly peers: Peers
  readonly freshPeers: Peers
  readonly configuration: () => Configuration | undefined
  /** Called once when the cloud takes back the instance of this node. */
  readonly onOwnNotice: (deadline: Milliseconds) => void
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** The running parts. */
export interface Reclaims {
  readonly handlers: ReclaimHandlers
  readonly notices: NoticeKeeper
}

/**
 * @example
 * const reclaims = startReclaims(options)
 * createPeerServer(key, { ...handlers, reclaim: reclaims.handlers })
 */
export function startReclaims (options: ReclaimsOptions): Reclaims {
  const { membership, directory, connections, clock, log, signal } = options
  const notices = createNoticeKeeper({
    ...options,
    cloud: createCloud(connections, options.cloud),
    own: membership.own,
    nodes: membership.nodes
  })
  const coordinator = createReclaimCoordinator({ directory, connections, configuration: options.configuration, clock, signal })
  startReclaimKeeper({
    notices,
    coordinator,
    streams: options.streams,
    openOf: options.executions.openOf,
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
