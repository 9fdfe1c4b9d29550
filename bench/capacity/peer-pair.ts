/** Two nodes for measurements: the peers' server of one, and what the other knows of it. */
import type { AddressInfo } from 'node:net'
import { addressSchema, incarnationSchema } from '../../src/identifiers.js'
import type { Address } from '../../src/identifiers.js'
import { nodeRecordSchema } from '../../src/membership/index.js'
import type { NodeRecord } from '../../src/membership/index.js'
import type { PeerHandlers } from '../../src/peer/router.js'
import { createPeerServer } from '../../src/peer/server.js'
import type { SuspicionHandlers } from '../../src/peer/suspicion.js'

/** Requests a second at one node at the target: 1,500 over 370 nodes. */
export const REQUESTS_PER_SECOND = 1_500 / 370

export const PEER_KEY = 'peer-key-for-measurement'

export const HOME = incarnationSchema.parse('entry-123-0123456789ab')
export const PEER = incarnationSchema.parse('entry-321-ba9876543210')

/** A listening peer. */
export interface MeasuredPeer {
  readonly address: Address
  readonly record: NodeRecord
  close (): Promise<void>
}

/**
 * @example
 * const peer = await listenAsPeer({ notes }, permits.handlers)
 */
export async function listenAsPeer (handlers: Partial<PeerHandlers>, suspicion?: SuspicionHandlers): Promise<MeasuredPeer> {
  const server = createPeerServer(PEER_KEY, handlers as PeerHandlers, suspicion as SuspicionHandlers)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = addressSchema.parse(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  return {
    address,
    record: nodeRecordSchema.parse({ instance: 'entry-321', incarnation: PEER, failureDomain: 'zone-b', address, peerAddress: address, leaving: false }),
    close: async () => {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
