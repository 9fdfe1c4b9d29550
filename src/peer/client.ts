/** Calls to peers, with a bound on each and a count of the bytes. */
import { createTRPCClient, httpBatchStreamLink, TRPCClientError } from '@trpc/client'
import type { TRPCClient } from '@trpc/client'
import { fetch } from 'undici'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { connectionFailure } from '../platform/http.js'
import type { Connections } from '../platform/http.js'
import { ServingError } from '../verdict.js'
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
  let sent = 0
  let received = 0

  function create (address: Address, mostCalls: number): PeerClient {
    return createTRPCClient<PeerRouter>({
      links: [httpBatchStreamLink({
        url: `http://${address}`,
        maxItems: mostCalls,
        headers: { authorization: `Bearer ${peerKey}` },
        fetch: async (url, options) => {
          const body = options?.body
          if (typeof body === 'string') sent += body.length
          const response = await fetch(url as string, { ...options as object, dispatcher: connections })
          return countReceived(response, (bytes) => { received += bytes })
        }
      })]
    })
  }

  function find (known: Map<Address, PeerClient>, address: Address, mostCalls: number): PeerClient {
    const client = known.get(address) ?? create(address, mostCalls)
    known.set(address, client)
    return client
  }

  return {
    at: (address) => find(clients, address, MOST_CALLS),
    streamAt: (address) => find(streamClients, address, 1),
    bytes: () => ({ sent, received })
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
  if (error.data) return new ServingError(error.message, { code: 'upstream-refused', verdict: 'may-have-run', cause: error })
  return connectionFailure((error.cause as { cause?: unknown } | undefined)?.cause ?? error.cause ?? error, address)
}

function countReceived (response: Awaited<ReturnType<typeof fetch>>, count: (bytes: number) => void): any {
  const body = response.body?.pipeThrough(new TransformStream({
    transform (chunk: Uint8Array, controller) {
      count(chunk.length)
      controller.enqueue(chunk)
    }
  }))
  return { ok: response.ok, status: response.status, headers: response.headers, body: body ?? null, json: () => new Response(body as any).json() }
}
