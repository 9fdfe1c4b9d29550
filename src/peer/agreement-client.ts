/**
 * Calls about agreement, by tRPC over plain HTTP requests. They are many and small, so what rides
 * with each counts: the headers that a browser's `fetch` adds, and the framing of batches and
 * streams, are left out. The figures are in the measurements of agreement.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import { createLinkFetch } from './fetch.js'
import type { Address } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { PeerClient } from './client.js'
import type { PeerRouter } from './router.js'

/**
 * @param address where the peer listens for peers
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
