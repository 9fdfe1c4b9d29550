/**
 * Replicates the origins of streams to other nodes and asks them for it.
 *
 * Failure guarded against: a caller loses its node in the middle of a stream and resumes at another one, which sends the rest to an
 * upstream of another version. The caller names the stream by an id of its own, so the record is kept at nodes that follow from
 * this id, and the node that began the stream may be gone. Where all of these are, the checkpoints in the store are left.
 */
import { onAbort } from '../abort-listeners.js'
import type { Milliseconds } from '../clock.js'
import { ASKED_HOLDERS, createOpenStreams, createOriginRecords, pickHolders, RECORD_HOLDERS, streamIdSchema } from '../stream-origins/index.js'
import type { OpenStream, StreamId, StreamOrigin } from '../stream-origins/index.js'
import { startCallTimeout } from '../timeout-signal.js'
import type { NodeRecord } from './node-records.js'
import { createOriginCheckpoints } from './origin-checkpoints.js'
import type { OriginCheckpoints, OriginCheckpointsOptions } from './origin-checkpoints.js'
import { createOriginFeeds } from './origin-feeds.js'
import type { PeerHandlers, PeerLink } from './peer-link.js'
import type { ReachablePeers } from './reachable-peers.js'
import type { VersionWatch } from './version-watch.js'

/** Origins of streams. */
export interface StreamOrigins {
  /** Keeps the origin of a stream of which this node is about to relay the first event, or the first one since its caller took it up. */
  began (stream: StreamId, route: string, opened: OpenStream): void
  /** The whole stream has been sent. */
  ended (stream: StreamId): void
  /** @returns the origin of a stream as this node, a holder or the store knows it; undefined if none does */
  find (stream: StreamId, timeout: Milliseconds, signal: AbortSignal): Promise<StreamOrigin | undefined>
  /** Whether streams may begin at this version, see {@link OriginCheckpoints}. */
  readonly mayBegin: OriginCheckpoints['mayBegin']
  /** Number of records that this node holds. */
  size (): number
  /** Closes the connections to the holders. */
  close (): void
  /** Handlers for the requests of other nodes. */
  readonly answers: Pick<PeerHandlers, 'streamBegan' | 'streamOrigin'>
}

/** What the node that creates them contributes. */
export interface StreamOriginsSettings extends Pick<OriginCheckpointsOptions, 'firstStart' | 'storeWriteRate' | 'onRecorded'> {
  readonly versions: VersionWatch
}

/** Dependencies of {@link createStreamOrigins}. */
export interface StreamOriginsOptions extends StreamOriginsSettings, Pick<OriginCheckpointsOptions, 'context' | 'incarnation'> {
  readonly ownName: string
  /** All registered nodes. */
  readonly nodes: () => readonly NodeRecord[]
  /** Returns the client for a peer's address. */
  readonly link: (address: string) => PeerLink
  readonly reachable: ReachablePeers
}

/**
 * Creates the origins of one node.
 *
 * @example
 * const origins = createStreamOrigins({ ...settings, context, incarnation, ownName, nodes, link, reachable })
 * origins.began('9c41d07be2a35f68', 'api.example/plans/', { origin: { service: 'plans', version: 'v2' }, until: limit.end, isInferable: () => false })
 */
export function createStreamOrigins (options: StreamOriginsOptions): StreamOrigins {
  const { context, ownName, nodes, link, reachable } = options
  const { clock } = context
  const records = createOriginRecords()
  const openStreams = createOpenStreams()
  const feeds = createOriginFeeds(clock, reachable)
  const checkpoints = createOriginCheckpoints({ ...options, streams: recordedStreams, records, nodeCount: () => nodes().length })

  function holderAddresses (stream: StreamId, count: number): string[] {
    return pickHolders(stream, nodes().filter(({ name }) => name !== ownName), count).map(({ peer }) => peer)
  }

  async function ask (address: string, stream: StreamId, askSignal: AbortSignal): Promise<StreamOrigin> {
    const { origin } = await link(address).streamOrigin.mutate({ stream }, { signal: askSignal })
    if (origin === null) throw new Error(`${address} does not know the stream`)
    return origin
  }

  async function askStore (stream: StreamId): Promise<StreamOrigin> {
    await checkpoints.refresh()
    const origin = records.find(stream, clock.now())
    if (origin === undefined) throw new Error('the store does not know the stream')
    return origin
  }

  async function askOthers (stream: StreamId, timeout: Milliseconds, signal: AbortSignal): Promise<StreamOrigin | undefined> {
    const call = startCallTimeout(timeout, signal)
    const answers = holderAddresses(stream, ASKED_HOLDERS).map((address) => ask(address, stream, call.signal))
    answers.push(untilAborted(askStore(stream), call.signal))
    // Answers that do not know the stream, and holders that are gone, leave its origin unknown, which the caller of `find` logs.
    const origin = await Promise.any(answers).catch(() => undefined)
    call.end()
    if (origin !== undefined) records.put(stream, origin, clock.now())
    return origin
  }

  function replicate (stream: StreamId, origin: StreamOrigin): void {
    records.put(stream, origin, clock.now())
    for (const address of holderAddresses(stream, RECORD_HOLDERS)) feeds.send(address, { stream, origin })
  }

  /** Streams whose origin other nodes cannot infer. It could be inferred of some until another version came. */
  function recordedStreams (): ReadonlyMap<StreamId, StreamOrigin> {
    const now = clock.now()
    for (const [stream, origin] of openStreams.takeDue(now)) replicate(stream, origin)
    return openStreams.recorded(now)
  }

  return {
    began: (stream, route, opened) => {
      options.versions.began(route, opened.origin.service)
      if (!streamIdSchema.safeParse(stream).success) return
      if (openStreams.begin(stream, opened)) replicate(stream, opened.origin)
    },
    ended: (stream) => openStreams.end(stream, clock.now()),
    find: async (stream, timeout, signal) => {
      if (!streamIdSchema.safeParse(stream).success) return undefined
      return records.find(stream, clock.now()) ?? askOthers(stream, timeout, signal)
    },
    mayBegin: checkpoints.mayBegin,
    size: records.size,
    close: feeds.close,
    answers: {
      streamBegan: ({ stream, origin }) => records.put(stream, origin, clock.now()),
      streamOrigin: (stream) => records.find(stream, clock.now())
    }
  }
}

/** Settles as the promise does, or rejects once the signal aborts. */
function untilAborted<Value> (promise: Promise<Value>, signal: AbortSignal): Promise<Value> {
  return new Promise((resolve, reject) => {
    const stopListening = onAbort(signal, () => reject(signal.reason))
    promise.then(resolve, reject).finally(stopListening)
  })
}
