/**
 * tRPC client for the agreement procedures. The calls are frequent and small, so the overhead of each call matters.
 * The client sends plain HTTP requests, without the default headers of `fetch` and without the framing of batches
 * and streams.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import { createLinkFetch } from './fetch.js'
import type { Address } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { PeerClient } from './client.js'
import type { PeerRouter } from './router.js'

/**
 * Creates the client of one peer. The bytes of its messages are not counted.
 *
 * @param address address of the peer's listener for peers
 * @example
 * const reply = await createAgreementClient(connections, settings.peer_key, address).agreement.exchange.mutate(message)
 */
export function createAgreementClient (connections: Connections, peerKey: string, address: Address): PeerClient {
  return createTRPCClient<PeerRouter>({
    links: [httpLink({
      url: `http://${address}`,
      headers: { authorization: `Bearer ${peerKey}` },
      fetch: createLinkFetch(connections, { sent: 0, received: 0 })
    })]
  })
}
