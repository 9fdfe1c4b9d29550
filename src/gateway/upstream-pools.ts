/** Connection pools to the upstreams, which are replaced when the path that their connections use is lost or regained. */
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Pool } from 'undici'
import type { Clock, Milliseconds } from '../clock.js'
import { hasBeenReset, RESET_CODE } from '../connection-reset.js'
import { createUpstreamPaths } from '../paths/index.js'
import type { RelayNode } from '../paths/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import type { Random } from '../random.js'
import { RELAY_LEAVING } from './tunnel-frames.js'
import { createUpstreamConnector } from './upstream-connector.js'
import type { OpenedConnection } from './upstream-connector.js'

/** A connection to an upstream that could not be opened. */
export interface ConnectionFailure {
  readonly upstream: UpstreamRecord
  readonly error: unknown
  /** Time from the start of the connection to its failure. */
  readonly took: Milliseconds
  /** Time since this node last received anything from the upstream; undefined if it never did. */
  readonly silentFor: Milliseconds | undefined
  /** Time since this node last received anything from any upstream; undefined if it never did. */
  readonly allSilentFor: Milliseconds | undefined
}

/** Dependencies of {@link createUpstreamPools}. */
export interface UpstreamPoolsOptions {
  readonly clock: Clock
  readonly random: Random
  /** Other nodes that may relay connections now. */
  readonly relayNodes: () => readonly RelayNode[]
  /** Failure domain of this node. */
  readonly failureDomain: string
  /** Called with the time that each new connection took. */
  readonly onConnected?: (took: Milliseconds) => void
  readonly onConnectionFailed?: (failure: ConnectionFailure) => void
  /** Called when connections to the upstream are relayed from now on; `relay` is the node that relays the first one. */
  readonly onPathLost?: (upstream: UpstreamRecord, relay: string) => void
  /** Called when connections to the upstream are direct again after `lostFor`. */
  readonly onPathRegained?: (upstream: UpstreamRecord, lostFor: Milliseconds) => void
}

/** Whether an upstream accepts a new connection. */
export interface AcceptanceTest {
  readonly isAccepted: boolean
  /** Name of the node that relayed the connection of the test; undefined where it was direct, or did not open. */
  readonly relay: string | undefined
}

/** Connection pools to all upstreams. */
export interface UpstreamPools {
  /** The pool for new requests. It is opened on first use. */
  of (upstream: UpstreamRecord): Pool
  /** Something has been received from the upstream. */
  heard (upstream: UpstreamRecord): void
  /** Whether a connection to the upstream is being reset, while the exchange on it ends. */
  isResetting (upstream: UpstreamRecord): boolean
  /** Tests whether the upstream accepts a new connection, which is closed at once. Never rejects. */
  accepts (upstream: UpstreamRecord): Promise<AcceptanceTest>
  /** Tests the path to an upstream that has not answered a request in time, unless it has been heard from since. */
  checkPath (upstream: UpstreamRecord, sentAt: Milliseconds): void
  /** Tests the direct paths that are lost, until one of them fails. */
  testLostPaths (): Promise<void>
  /** Whether connections to the upstream are relayed by other nodes. */
  isRelayed (incarnation: UpstreamIncarnation): boolean
  /** Number of upstreams to which connections are relayed. */
  relayedCount (): number
  /** Closes the pools of all other incarnations. Exchanges that are in progress there finish first. */
  closeExcept (incarnations: ReadonlySet<UpstreamIncarnation>): void
  /** Returns the number of open connections. */
  open (): number
  /** Sets the maximum number of connections to each upstream of a service. Applies to pools that are created later. */
  setConnectionLimit (service: string, connections: number): void
  close (): Promise<void>
}

/** Connection pool of one incarnation of an upstream. */
interface IncarnationPool {
  readonly upstream: UpstreamRecord
  readonly pool: Pool
  readonly createdAt: Milliseconds
  /** Time at which this node last received anything from the upstream. */
  heardAt: Milliseconds
  /** Time at which its path was last tested because of a request without an answer. */
  checkedAt: Milliseconds
}

/** Idle timeout for upstreams that do not announce their own. Connections are closed before the upstream closes them. */
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 3_000

/**
 * Upper bound of the idle timeout that an upstream announces in `Keep-Alive`. A long timeout saves the upstreams new
 * connections: 838 instead of 1,083 for 3,760 requests at low load.
 */
const MAX_IDLE_TIMEOUT: Milliseconds = 20_000

/** Maximum number of connections to one upstream of a service without a configured limit. */
const DEFAULT_MAX_CONNECTIONS = 64

/** Minimum time between two tests of the path to an upstream whose requests are not answered in time. Each opens a connection. */
const CHECK_INTERVAL: Milliseconds = 1_000

/**
 * Minimum time between two such tests of any upstreams. Failure guarded against: under overload most requests are late, and tests of
 * all upstreams cost a busy node time that its requests need.
 */
const NODE_CHECK_INTERVAL: Milliseconds = 250

const NEVER = -Infinity

/**
 * Creates the pools.
 *
 * @example
 * const pools = createUpstreamPools({ clock, random, relayNodes: fleet.relayNodes, failureDomain: settings.failureDomain })
 * pools.of(upstream).dispatch(request, handler)
 */
export function createUpstreamPools (options: UpstreamPoolsOptions): UpstreamPools {
  const { clock, random, relayNodes, failureDomain, onConnected, onConnectionFailed, onPathLost, onPathRegained } = options
  const paths = createUpstreamPaths()
  const connector = createUpstreamConnector({ clock, random, paths, relayNodes, failureDomain })
  const pools = new Map<UpstreamIncarnation, IncarnationPool>()
  const limits = new Map<string, number>()
  /** Upstreams with a connection that is being reset; the exchange on it ends within the same tick. */
  const resetting = new Set<UpstreamIncarnation>()
  let lastHeardAt = NEVER
  let lastCheckAt = NEVER

  function poolOf (upstream: UpstreamRecord): IncarnationPool {
    const existing = pools.get(upstream.incarnation)
    if (existing === undefined) return createPool(upstream)
    const isCurrent = existing.upstream.address === upstream.address && !paths.isDoubtful(Math.max(existing.createdAt, existing.heardAt))
    return isCurrent ? existing : replacePool(upstream)
  }

  function createPool (upstream: UpstreamRecord, { heardAt, checkedAt }: Pick<IncarnationPool, 'heardAt' | 'checkedAt'> = { heardAt: NEVER, checkedAt: NEVER }): IncarnationPool {
    const pool = new Pool(`http://${upstream.address}`, {
      connections: limits.get(upstream.service) ?? DEFAULT_MAX_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT,
      connect: (_options, callback) => {
        openConnection(upstream).then(({ stream }) => {
          noteResets(upstream, stream)
          stream.once(RELAY_LEAVING, () => { if (pools.get(upstream.incarnation)?.pool === pool) replacePool(upstream) })
          // Undici uses what all duplex streams have.
          callback(null, stream as Socket)
        }, (error) => callback(error, null))
      },
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const created: IncarnationPool = { upstream, pool, createdAt: clock.now(), heardAt, checkedAt }
    pools.set(upstream.incarnation, created)
    return created
  }

  /** Exchanges that are in progress on the connections of the previous pool go on there. */
  function replacePool (upstream: UpstreamRecord): IncarnationPool {
    const previous = pools.get(upstream.incarnation)
    previous?.pool.close().catch(() => {})
    return createPool(upstream, previous)
  }

  async function openConnection (upstream: UpstreamRecord): Promise<OpenedConnection> {
    const start = clock.now()
    try {
      const opened = await connector.connect(upstream)
      onConnected?.(clock.now() - start)
      notePath(upstream, opened)
      heard(upstream)
      return opened
    } catch (error) {
      onConnectionFailed?.({ upstream, error, took: Math.round(clock.now() - start), silentFor: since(pools.get(upstream.incarnation)?.heardAt ?? NEVER), allSilentFor: since(lastHeardAt) })
      throw error
    }
  }

  /** Undici takes a reset for the end of an answer without a length, so resets are noted before it sees them. */
  function noteResets ({ incarnation }: UpstreamRecord, stream: Duplex): void {
    const note = (): void => {
      resetting.add(incarnation)
      queueMicrotask(() => resetting.delete(incarnation))
    }
    stream.on('error', ({ code }: NodeJS.ErrnoException) => { if (code === RESET_CODE) note() })
    stream.on('end', () => { if (stream instanceof Socket && hasBeenReset(stream)) note() })
  }

  async function accepts (upstream: UpstreamRecord): Promise<AcceptanceTest> {
    try {
      const { stream, relay } = await (paths.isRelayed(upstream.incarnation) ? connector.connect(upstream) : connector.connectDirectly(upstream))
      stream.destroy()
      return { isAccepted: true, relay }
    } catch {
      return { isAccepted: false, relay: undefined }
    }
  }

  function notePath (upstream: UpstreamRecord, { relay }: OpenedConnection): void {
    if (relay === undefined) noteDirectPath(upstream)
    else if (paths.relayOpened(upstream.incarnation, clock.now())) {
      onPathLost?.(upstream, relay)
      replaceIfKnown(upstream)
    }
  }

  function noteDirectPath (upstream: UpstreamRecord): void {
    const loss = paths.directOpened(upstream.incarnation)
    if (loss === undefined) return
    onPathRegained?.(upstream, Math.round(clock.now() - loss.since))
    replaceIfKnown(upstream)
  }

  /** A pool that has been closed for good, since its upstream has ended, is not opened again. */
  function replaceIfKnown (upstream: UpstreamRecord): void {
    if (pools.has(upstream.incarnation)) replacePool(upstream)
  }

  function heard (upstream: UpstreamRecord): void {
    lastHeardAt = clock.now()
    const known = pools.get(upstream.incarnation)
    if (known !== undefined) known.heardAt = lastHeardAt
  }

  function since (time: Milliseconds): Milliseconds | undefined {
    return time === NEVER ? undefined : Math.round(clock.now() - time)
  }

  /**
   * Failure guarded against: connections hang behind a lost path, and each request on one of them is lost. Where only a relayed
   * connection opens, the pool is replaced, also if it was relayed before: then its relay no longer answers.
   */
  function checkPath (upstream: UpstreamRecord, sentAt: Milliseconds): void {
    const known = pools.get(upstream.incarnation)
    const now = clock.now()
    if (known === undefined || known.heardAt >= sentAt || now - known.checkedAt < CHECK_INTERVAL || now - lastCheckAt < NODE_CHECK_INTERVAL) return
    known.checkedAt = now
    lastCheckAt = now
    openConnection(upstream).then(({ stream, relay }) => {
      stream.destroy()
      if (relay !== undefined) replaceIfKnown(upstream)
    }, () => { /* logged as any failed connection */ })
  }

  async function testLostPaths (): Promise<void> {
    for (let lost = paths.nextToTest(clock.now()); lost !== undefined; lost = paths.nextToTest(clock.now())) {
      const upstream = pools.get(lost.incarnation)?.upstream
      if (upstream === undefined) return
      const opened = await connector.connectDirectly(upstream).catch(() => undefined)
      if (opened === undefined) return
      opened.stream.destroy()
      noteDirectPath(upstream)
    }
  }

  return {
    of: (upstream) => poolOf(upstream).pool,
    heard,
    isResetting: ({ incarnation }) => resetting.has(incarnation),
    accepts,
    checkPath,
    testLostPaths,
    isRelayed: paths.isRelayed,
    relayedCount: () => paths.lost().length,
    closeExcept: (incarnations) => {
      paths.retainOnly(incarnations)
      for (const [incarnation, { pool }] of pools) {
        if (incarnations.has(incarnation)) continue
        pools.delete(incarnation)
        pool.close().catch(() => {})
      }
    },
    open: () => [...pools.values()].reduce((sum, { pool }) => sum + pool.stats.connected, 0),
    setConnectionLimit: (service, connections) => { limits.set(service, connections) },
    close: async () => { await Promise.all([...pools.values()].map(({ pool }) => pool.destroy())) }
  }
}
