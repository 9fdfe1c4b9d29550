/** Opens connections to upstreams, directly or relayed by another node. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { onAbort } from '../abort-listeners.js'
import type { Clock, Milliseconds } from '../clock.js'
import { resetOnError } from '../connection-reset.js'
import { createRelayPeers, MAX_ASKED_RELAYS } from '../paths/index.js'
import type { RelayNode, UpstreamPaths } from '../paths/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import type { Random } from '../random.js'
import { ServingError } from '../verdict.js'
import { startStaggered } from './staggered-attempts.js'
import type { StaggeredAttempt } from './staggered-attempts.js'
import { connectSocket, openTunnel } from './tunnels.js'

/** A connection to an upstream that has opened. */
export interface OpenedConnection {
  readonly stream: Duplex
  /** Name of the node that relays it; undefined where it is direct. */
  readonly relay: string | undefined
}

/** A connection that another node relays. */
interface RelayedConnection {
  readonly stream: Duplex
  readonly relay: RelayNode
}

/** Opens connections to upstreams. */
export interface UpstreamConnector {
  /** @throws ServingError `not-run` if neither a direct nor a relayed connection opens in time */
  connect (upstream: UpstreamRecord): Promise<OpenedConnection>
  /** Opens a direct connection. @throws ServingError `not-run` */
  connectDirectly (upstream: UpstreamRecord): Promise<OpenedConnection>
}

/** Dependencies of {@link createUpstreamConnector}. */
export interface UpstreamConnectorOptions {
  readonly clock: Clock
  readonly random: Random
  readonly paths: UpstreamPaths
  /** Other nodes that may relay connections now. */
  readonly relayNodes: () => readonly RelayNode[]
  /** Failure domain of this node. */
  readonly failureDomain: string
}

/**
 * Timeout for opening a connection by any path. Latency between failure domains is only 1.4 ms one way, so an upstream that
 * has not accepted a connection within this time is gone or unreachable.
 */
const CONNECT_TIMEOUT: Milliseconds = 600

/** Pause before a further node is asked to relay, while those before have not answered. */
const RELAY_STAGGER: Milliseconds = 50

/**
 * @example
 * const connector = createUpstreamConnector({ clock, random, paths, relayNodes: fleet.relayNodes, failureDomain: settings.failureDomain })
 * const { stream } = await connector.connect(upstream)
 */
export function createUpstreamConnector ({ clock, random, paths, relayNodes, failureDomain }: UpstreamConnectorOptions): UpstreamConnector {
  const relays = createRelayPeers(random)
  /** Searches for a path that are in progress, with the node that each finds. */
  const searches = new Map<UpstreamIncarnation, Promise<RelayNode | undefined>>()

  async function openDirectly (upstream: UpstreamRecord, signal: AbortSignal): Promise<OpenedConnection> {
    return { stream: resetOnError(await waitUntilConnected(connectSocket(upstream.address), signal)), relay: undefined }
  }

  async function openByRelay (relay: RelayNode, upstream: UpstreamRecord, signal: AbortSignal): Promise<RelayedConnection> {
    const { name, peer } = relay
    const start = clock.now()
    try {
      const stream = await openTunnel(peer, upstream, signal)
      relays.succeeded(name)
      return { stream, relay }
    } catch (error) {
      // A node that the next one outran has had its time. One that was not needed may be as good as any.
      if (!signal.aborted || clock.now() - start >= RELAY_STAGGER) relays.failed(name, clock.now())
      throw error
    }
  }

  /** Asks other nodes one after the other, until one of them relays the connection. */
  async function search (upstream: UpstreamRecord, signal: AbortSignal): Promise<RelayedConnection> {
    const nodes = relays.order(relayNodes(), new Set([failureDomain, upstream.failureDomain]), clock.now())
    if (nodes.length === 0) throw new Error('there is no other node')
    const attempts = nodes.map((node): StaggeredAttempt<RelayedConnection> => ({ delay: RELAY_STAGGER, start: (ended) => withEither(ended, signal, (either) => openByRelay(node, upstream, either)) }))
    try {
      return await startStaggered(clock, attempts, ({ stream }) => stream.destroy())
    } catch (error) {
      if (!signal.aborted) paths.searchFailed(upstream.incarnation, clock.now())
      throw error
    }
  }

  /**
   * Failure guarded against: an upstream ends, and each of its many requests asks as many nodes for a path to it, which costs busy nodes
   * the time that their other requests need. Connections that fail at the same time share one search.
   */
  async function openRelayed (upstream: UpstreamRecord, signal: AbortSignal): Promise<RelayedConnection> {
    for (let running = searches.get(upstream.incarnation); running !== undefined; running = searches.get(upstream.incarnation)) {
      const relay = await running
      signal.throwIfAborted()
      if (relay !== undefined) return openByRelay(relay, upstream, signal)
    }
    if (!paths.maySearch(upstream.incarnation, clock.now())) throw new Error('no other node had a path to it')
    const opened = search(upstream, signal)
    searches.set(upstream.incarnation, opened.then(({ relay }) => relay, () => undefined))
    try {
      return await opened
    } finally {
      searches.delete(upstream.incarnation)
    }
  }

  function attemptsFor (upstream: UpstreamRecord, limit: AbortSignal): StaggeredAttempt<OpenedConnection>[] {
    const direct = (delay: Milliseconds): StaggeredAttempt<OpenedConnection> => ({ delay, start: (signal) => withEither(signal, limit, (either) => openDirectly(upstream, either)) })
    const relayed = (delay: Milliseconds): StaggeredAttempt<OpenedConnection> => ({
      delay,
      start: async (signal) => {
        const { stream, relay } = await withEither(signal, limit, (either) => openRelayed(upstream, either))
        return { stream, relay: relay.name }
      }
    })
    return paths.isRelayed(upstream.incarnation) ? [relayed(0), direct(RELAY_STAGGER * MAX_ASKED_RELAYS)] : [direct(0), relayed(paths.headStart())]
  }

  async function withinTimeout<Result> (upstream: UpstreamRecord, open: (limit: AbortSignal) => Promise<Result>): Promise<Result> {
    const limit = new AbortController()
    const cancel = clock.schedule(CONNECT_TIMEOUT, () => limit.abort(new Error(`no connection within ${CONNECT_TIMEOUT} ms`)))
    try {
      return await open(limit.signal)
    } catch (error) {
      throw new ServingError(`no connection to ${upstream.address}:`, { code: 'connection-lost', verdict: 'not-run', cause: error })
    } finally {
      cancel()
    }
  }

  return {
    connect: (upstream) => withinTimeout(upstream, (limit) => startStaggered(clock, attemptsFor(upstream, limit), ({ stream }) => stream.destroy())),
    connectDirectly: (upstream) => withinTimeout(upstream, (limit) => openDirectly(upstream, limit))
  }
}

/** Runs a call with a signal that aborts with either of two signals. */
async function withEither<Result> (first: AbortSignal, second: AbortSignal, call: (either: AbortSignal) => Promise<Result>): Promise<Result> {
  const controller = new AbortController()
  const stops = [first, second].map((signal) => onAbort(signal, () => controller.abort(signal.reason)))
  try {
    return await call(controller.signal)
  } finally {
    for (const stop of stops) stop()
  }
}

function waitUntilConnected (socket: Socket, signal: AbortSignal): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const stopListening = onAbort(signal, () => {
      socket.destroy()
      reject(signal.reason)
    })
    const fail = (error: Error): void => {
      stopListening()
      reject(error)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      stopListening()
      socket.off('error', fail)
      resolve(socket)
    })
  })
}
