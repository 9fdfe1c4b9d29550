/** Calls to peers, with a bound on each and a count of the bytes. */
import { pipeline, Transform } from 'node:stream'
import { createTRPCClient, httpBatchLink, httpBatchStreamLink, TRPCClientError } from '@trpc/client'
import type { TRPCClient } from '@trpc/client'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { connectionFailure } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import { ServingError } from '../verdict.js'
import { createLinkFetch, isOk, linkExchange } from './fetch.js'
import type { ByteCounter } from './fetch.js'
import type { PeerRouter } from './router.js'

/** One peer as this node calls it. */
export type PeerClient = TRPCClient<PeerRouter>

/** The peers of a node. */
export interface Peers {
  /** For short calls; those made together share one exchange. */
  at (address: Address): PeerClient
  /** For streams: each call is an exchange of its own, which its signal ends. */
  streamAt (address: Address): PeerClient
  /** Bytes of messages sent to and received from peers, bodies only. */
  bytes (): { sent: number, received: number }
}

/** Bound on the silence of a peer; on a timeout the connection is destroyed and the next call opens a new one. */
export const PEER_TIMEOUT: Milliseconds = 2 * SECOND

/** Short calls that share one exchange. */
const MOST_CALLS = 32

/**
 * @example
 * const reply = await createPeers(connections, settings.peer_key).at(address).agreement.exchange.mutate(message)
 */
export function createPeers (connections: Connections, peerKey: string): Peers {
  const clients = new Map<Address, PeerClient>()
  const streamClients = new Map<Address, PeerClient>()
  const headers = { authorization: `Bearer ${peerKey}` }
  const counter: ByteCounter = { sent: 0, received: 0 }
  const fetchWhole = createLinkFetch(connections, counter)

  async function fetchStream (url: unknown, options: object = {}): Promise<any> {
    const response = await linkExchange(connections, counter, url, options)
    if (!isOk(response)) return { ok: false, status: response.statusCode, headers: response.headers, json: () => response.body.json() }
    const body = new Transform({
      transform: (chunk: Buffer, _encoding, done) => {
        counter.received += chunk.length
        done(null, chunk)
      }
    })
    pipeline(response.body, body, () => {})
    return { ok: true, status: response.statusCode, headers: response.headers, body }
  }

  function createClient (address: Address): PeerClient {
    return createTRPCClient<PeerRouter>({ links: [httpBatchLink({ url: `http://${address}`, maxItems: MOST_CALLS, headers, fetch: fetchWhole })] })
  }

  function createStreamClient (address: Address): PeerClient {
    return createTRPCClient<PeerRouter>({ links: [httpBatchStreamLink({ url: `http://${address}`, maxItems: 1, headers, fetch: fetchStream })] })
  }

  return {
    at: (address) => findOrCreate(clients, address, createClient),
    streamAt: (address) => findOrCreate(streamClients, address, createStreamClient),
    bytes: () => ({ ...counter })
  }
}

/**
 * Failure of a call to a peer as a {@link ServingError}.
 *
 * @example
 * try { await peer.agreement.exchange.mutate(message) } catch (error) { throw peerFailure(error, address) }
 */
export function peerFailure (error: unknown, address: Address): ServingError {
  if (!(error instanceof TRPCClientError)) return connectionFailure(error, address)
  if (error.data) return new ServingError(error.message, { code: 'upstream-refused', verdict: 'may-have-run' })
  return connectionFailure((error.cause as { cause?: unknown } | undefined)?.cause ?? error.cause ?? error, address)
}

function findOrCreate (known: Map<Address, PeerClient>, address: Address, create: (address: Address) => PeerClient): PeerClient {
  const client = known.get(address) ?? create(address)
  known.set(address, client)
  return client
}
