/** tRPC clients for calls to peers. The bytes of the message bodies are counted. */
import { pipeline, Transform } from 'node:stream'
import { createTRPCClient, httpBatchLink, httpBatchStreamLink, TRPCClientError } from '@trpc/client'
import type { TRPCClient } from '@trpc/client'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { connectionFailure } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import { ServingError } from '../verdict.js'
import { createLinkFetch, isSuccess, sendLinkRequest } from './fetch.js'
import type { ByteCounter } from './fetch.js'
import type { PeerRouter } from './router.js'

/** Client of one peer. */
export type PeerClient = TRPCClient<PeerRouter>

/** Clients of all peers of a node, by address. */
export interface Peers {
  /**
   * Client for short calls. Calls that are made at the same time share one HTTP exchange, and none is answered before all
   * of them are.
   */
  at (address: Address): PeerClient
  /**
   * Client for streams, and for calls that wait for something at the peer. Each call is a separate HTTP exchange, which
   * ends when the signal of the call aborts.
   */
  separateAt (address: Address): PeerClient
  /** Total bytes of message bodies that were sent to and received from peers. */
  bytes (): { sent: number, received: number }
}

/**
 * Maximum time without data from a peer during a call. After a timeout the connection is destroyed, and the next call
 * opens a new connection.
 */
export const PEER_TIMEOUT: Milliseconds = 2 * SECOND

/** Maximum number of short calls in one HTTP exchange. */
const MAX_CALLS_PER_BATCH = 32

/**
 * Creates the clients of a node's peers. A client is created at its first use and is kept.
 *
 * @param peerKey shared secret of the nodes
 * @example
 * const reply = await createPeers(connections, settings.peer_key).at(address).agreement.exchange.mutate(message)
 */
export function createPeers (connections: Connections, peerKey: string): Peers {
  const clients = new Map<Address, PeerClient>()
  const separateClients = new Map<Address, PeerClient>()
  const headers = { authorization: `Bearer ${peerKey}` }
  const counter: ByteCounter = { sent: 0, received: 0 }
  const fetchBuffered = createLinkFetch(connections, counter)

  async function fetchStream (url: unknown, options: object = {}): Promise<any> {
    const response = await sendLinkRequest(connections, counter, url, options)
    if (!isSuccess(response)) return { ok: false, status: response.statusCode, headers: response.headers, json: () => response.body.json() }
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
    return createTRPCClient<PeerRouter>({ links: [httpBatchLink({ url: `http://${address}`, maxItems: MAX_CALLS_PER_BATCH, headers, fetch: fetchBuffered })] })
  }

  function createSeparateClient (address: Address): PeerClient {
    return createTRPCClient<PeerRouter>({ links: [httpBatchStreamLink({ url: `http://${address}`, maxItems: 1, headers, fetch: fetchStream })] })
  }

  return {
    at: (address) => findOrCreate(clients, address, createClient),
    separateAt: (address) => findOrCreate(separateClients, address, createSeparateClient),
    bytes: () => ({ ...counter })
  }
}

/**
 * Converts the failure of a call to a peer into a {@link ServingError}. A failure that the peer reported has the code
 * `upstream-refused` and the verdict `may-have-run`.
 *
 * @example
 * try { await peer.agreement.exchange.mutate(message) } catch (error) { throw peerFailure(error, address) }
 */
export function peerFailure (error: unknown, address: Address): ServingError {
  if (!(error instanceof TRPCClientError)) return connectionFailure(error, address)
  if (error.data) return new ServingError(error.message, { code: 'upstream-refused', verdict: 'may-have-run' })
  return connectionFailure((error.cause as { cause?: unknown } | undefined)?.cause ?? error.cause ?? error, address)
}

function findOrCreate (clients: Map<Address, PeerClient>, address: Address, create: (address: Address) => PeerClient): PeerClient {
  const client = clients.get(address) ?? create(address)
  clients.set(address, client)
  return client
}
