/** Calls to peers about configuration and membership, each with a timeout. */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { createAgreementClient } from '../peer/agreement-client.js'
import type { AgreementMessage, Delivery, DeliveryReceipt, DeliveryTarget, ProbeAnswer } from '../peer/agreement.js'
import type { PeerClient } from '../peer/client.js'
import { createConnections } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'

/** Calls to peers. Every method rejects if the peer does not answer within its timeout. */
export interface AgreementPeers {
  /** Sends a message and resolves to the answer of the peer. */
  exchange (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  /**
   * Like {@link AgreementPeers.exchange}, on a new connection. A pooled connection may no longer be known to a router
   * between the nodes.
   */
  exchangeOnNewConnection (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  /** Delivers a configuration to a peer and to the nodes below it. Its timeout is the `within_ms` of the delivery. */
  deliver (address: Address, delivery: Delivery, signal: AbortSignal): Promise<DeliveryReceipt>
  /** Asks a peer whether it can reach the target. */
  probe (address: Address, target: DeliveryTarget, signal: AbortSignal): Promise<ProbeAnswer>
}

/** Timeout of an exchange. Calls take milliseconds within a region and tens of milliseconds to other regions. */
export const EXCHANGE_TIMEOUT: Milliseconds = 1.5 * SECOND

/** Timeout of a probe. The probing peer itself waits up to {@link EXCHANGE_TIMEOUT} for the target. */
export const PROBE_TIMEOUT: Milliseconds = 2 * EXCHANGE_TIMEOUT

/** Maximum number of cached clients. A limit is needed because each replaced node has a new address. */
const MAX_CLIENTS = 1_024

/**
 * Creates the calls to peers.
 *
 * @param connections pooled connections of this node
 * @param peerKey secret shared by the processes of the system
 * @example
 * const peers = createAgreementPeers(connections, settings.peer_key)
 */
export function createAgreementPeers (connections: Connections, peerKey: string): AgreementPeers {
  const clients = new Map<Address, PeerClient>()

  function clientFor (address: Address): PeerClient {
    const client = clients.get(address) ?? createAgreementClient(connections, peerKey, address)
    clients.set(address, client)
    if (clients.size > MAX_CLIENTS) clients.delete(clients.keys().next().value as Address)
    return client
  }

  return {
    exchange: (address, message, signal) => clientFor(address).agreement.exchange.mutate(message, withTimeout(EXCHANGE_TIMEOUT, signal)),
    exchangeOnNewConnection: async (address, message, signal) => {
      const newConnection = createConnections(1)
      try {
        return await createAgreementClient(newConnection, peerKey, address).agreement.exchange.mutate(message, withTimeout(EXCHANGE_TIMEOUT, signal))
      } finally {
        await newConnection.destroy()
      }
    },
    deliver: (address, delivery, signal) => clientFor(address).agreement.deliver.mutate(delivery, withTimeout(delivery.within_ms, signal)),
    probe: (address, target, signal) => clientFor(address).agreement.probe.mutate(target, withTimeout(PROBE_TIMEOUT, signal))
  }
}

function withTimeout (timeout: Milliseconds, signal: AbortSignal): { signal: AbortSignal } {
  return { signal: createTimeoutSignal(Math.ceil(timeout), signal) }
}
