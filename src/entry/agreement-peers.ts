/** The agreement's calls to peers, each with a bound. */
import { createTimeoutSignal } from '../bound-signal.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { createAgreementClient } from '../peer/agreement-client.js'
import type { AgreementMessage, Delivery, DeliveryReceipt, DeliveryTarget, ProbeAnswer } from '../peer/agreement.js'
import type { PeerClient } from '../peer/client.js'
import { createConnections } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'

/** Calls to peers as the agreement makes them. Every method rejects when the peer does not answer in time. */
export interface AgreementPeers {
  exchange (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  /** The same on a connection of its own that nothing between the ends can have forgotten. */
  exchangeAnew (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  deliver (address: Address, delivery: Delivery, signal: AbortSignal): Promise<DeliveryReceipt>
  probe (address: Address, target: DeliveryTarget, signal: AbortSignal): Promise<ProbeAnswer>
}

/** Bound on an exchange: peers are milliseconds away, other regions some tens. */
export const EXCHANGE_TIMEOUT: Milliseconds = 1.5 * SECOND

/** Bound on a probe: the helper itself waits for an exchange. */
export const PROBE_TIMEOUT: Milliseconds = 2 * EXCHANGE_TIMEOUT

/** Clients kept; addresses change with every replaced node. */
const CLIENTS_KEPT = 1_024

/**
 * @param connections the node's connections
 * @param peerKey shared secret of the system's own processes
 * @example
 * const peers = createAgreementPeers(connections, settings.peer_key)
 */
export function createAgreementPeers (connections: Connections, peerKey: string): AgreementPeers {
  const clients = new Map<Address, PeerClient>()

  function at (address: Address): PeerClient {
    const client = clients.get(address) ?? createAgreementClient(connections, peerKey, address)
    clients.set(address, client)
    if (clients.size > CLIENTS_KEPT) clients.delete(clients.keys().next().value as Address)
    return client
  }

  return {
    exchange: (address, message, signal) => at(address).agreement.exchange.mutate(message, within(EXCHANGE_TIMEOUT, signal)),
    exchangeAnew: async (address, message, signal) => {
      const own = createConnections(1)
      try {
        return await createAgreementClient(own, peerKey, address).agreement.exchange.mutate(message, within(EXCHANGE_TIMEOUT, signal))
      } finally {
        await own.destroy()
      }
    },
    deliver: (address, delivery, signal) => at(address).agreement.deliver.mutate(delivery, within(delivery.within_ms, signal)),
    probe: (address, target, signal) => at(address).agreement.probe.mutate(target, within(PROBE_TIMEOUT, signal))
  }
}

function within (timeout: Milliseconds, signal: AbortSignal): { signal: AbortSignal } {
  return { signal: createTimeoutSignal(Math.ceil(timeout), signal) }
}
