/**
 * Replicates the origins of streams to other nodes and asks them for it.
 *
 * Failure guarded against: a caller loses its node in the middle of a stream and resumes at another one, which sends the rest to an
 * upstream of another version. The caller names the stream by an id of its own, so the record is kept at nodes that follow from
 * this id, and the node that began the stream may be gone.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { ASKED_HOLDERS, createOriginRecords, MAX_STREAM_ID_LENGTH, pickHolders, RECORD_HOLDERS } from '../stream-origins/index.js'
import type { StreamId, StreamOrigin } from '../stream-origins/index.js'
import { startCallTimeout } from '../timeout-signal.js'
import type { NodeRecord } from './node-records.js'
import { createOriginFeeds } from './origin-feeds.js'
import type { PeerHandlers, PeerLink } from './peer-link.js'
import type { ReachablePeers } from './reachable-peers.js'

/** Origins of streams. */
export interface StreamOrigins {
  /** Keeps the origin of a stream whose first event is about to be relayed, here and at its holders. */
  began (stream: StreamId, origin: StreamOrigin): void
  /**
   * @param timeout for the answers of the holders
   * @returns the origin of a stream as this node or a holder knows it; undefined if none does
   */
  find (stream: StreamId, timeout: Milliseconds, signal: AbortSignal): Promise<StreamOrigin | undefined>
  /** Number of records that this node holds. */
  size (): number
  /** Closes the connections to the holders. */
  close (): void
  /** Handlers for the requests of other nodes. */
  readonly answers: Pick<PeerHandlers, 'streamBegan' | 'streamOrigin'>
}

/** Dependencies of {@link createStreamOrigins}. */
export interface StreamOriginsOptions {
  readonly clock: Clock
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
 * const origins = createStreamOrigins({ clock, ownName, nodes, link, reachable })
 * origins.began('9c41d07be2a35f68', { service: 'plans', version: 'v2' })
 */
export function createStreamOrigins ({ clock, ownName, nodes, link, reachable }: StreamOriginsOptions): StreamOrigins {
  const records = createOriginRecords()
  const feeds = createOriginFeeds(clock, reachable)

  function holderAddresses (stream: StreamId, count: number): string[] {
    return pickHolders(stream, nodes().filter(({ name }) => name !== ownName), count).map(({ peer }) => peer)
  }

  async function ask (address: string, stream: StreamId, askSignal: AbortSignal): Promise<StreamOrigin> {
    const { origin } = await link(address).streamOrigin.mutate({ stream }, { signal: askSignal })
    if (origin === null) throw new Error(`${address} does not know the stream`)
    return origin
  }

  async function askHolders (stream: StreamId, timeout: Milliseconds, signal: AbortSignal): Promise<StreamOrigin | undefined> {
    const call = startCallTimeout(timeout, signal)
    const answers = holderAddresses(stream, ASKED_HOLDERS).map((address) => ask(address, stream, call.signal))
    // Answers that do not know the stream, and holders that are gone, leave its origin unknown, which the caller of `find` logs.
    const origin = await Promise.any(answers).catch(() => undefined)
    call.end()
    if (origin !== undefined) records.put(stream, origin, clock.now())
    return origin
  }

  return {
    began: (stream, origin) => {
      if (stream.length > MAX_STREAM_ID_LENGTH) return
      records.put(stream, origin, clock.now())
      for (const address of holderAddresses(stream, RECORD_HOLDERS)) feeds.send(address, { stream, origin })
    },
    find: async (stream, timeout, signal) => {
      if (stream.length > MAX_STREAM_ID_LENGTH) return undefined
      return records.find(stream, clock.now()) ?? askHolders(stream, timeout, signal)
    },
    size: records.size,
    close: feeds.close,
    answers: {
      streamBegan: ({ stream, origin }) => records.put(stream, origin, clock.now()),
      streamOrigin: (stream) => records.find(stream, clock.now())
    }
  }
}
